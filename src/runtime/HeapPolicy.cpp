#include "peridotspool/runtime/HeapPolicy.h"

#include <malloc.h>

namespace peridotspool::runtime {

namespace {

constexpr int kLargeBuffer = 256 << 10;

} // namespace

// The C library raises this threshold to the largest buffer that was freed.
// Settings and the messages with them would then come from the heaps of several
// threads, which keep the gaps between them, and a process would hold a
// multiple of what it uses.
void
ReturnLargeBuffers()
{
  ::mallopt(M_MMAP_THRESHOLD, kLargeBuffer);
}

} // namespace peridotspool::runtime
