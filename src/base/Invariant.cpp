#include "peridotspool/base/Invariant.h"

#include <cstdio>
#include <cstdlib>

namespace peridotspool {

void
FailInvariant(const char* aExpression, const char* aFile, int aLine)
{
  std::fprintf(
    stderr, "invariant broken: %s at %s:%d\n", aExpression, aFile, aLine);
  std::abort();
}

} // namespace peridotspool
