#pragma once

#include "peridotspool/runtime/HeapPolicy.h"

#include <exception>
#include <iostream>

namespace peridotspool::runtime {

/** Runs a program; an error that nothing expected ends it with a message. */
template<typename Program>
int
GuardedMain(Program aProgram, int aCount, char** aArguments)
{
  ReturnLargeBuffers();
  try {
    return aProgram(aCount, aArguments);
  } catch (const std::exception& error) {
    std::cerr << "stopped by an unexpected error: " << error.what() << "\n";
    return 1;
  }
}

} // namespace peridotspool::runtime
