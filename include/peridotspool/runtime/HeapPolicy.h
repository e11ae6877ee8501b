#pragma once

namespace peridotspool::runtime {

/** Has the memory of large buffers returned to the system once it is freed. */
void
ReturnLargeBuffers();

} // namespace peridotspool::runtime
