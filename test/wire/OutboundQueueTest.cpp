// ctest-labels: promise-config
#include "wire/OutboundQueue.h"

#include <catch2/catch.hpp>

namespace peridotspool::wire {

// Guards against settings that wait behind announcements on a slow link.
TEST_CASE("NormalFramesOvertakeBulkFrames")
{
  OutboundQueue queue(100);
  CHECK(queue.Push("rows 1", FramePriority::kBulk));
  CHECK(queue.Push("rows 2", FramePriority::kBulk));
  CHECK(queue.Push("settings 1", FramePriority::kNormal));
  CHECK(queue.Push("settings 2", FramePriority::kNormal));
  CHECK(queue.Bytes() == 32);
  CHECK(queue.Pop() == "settings 1");
  CHECK(queue.Pop() == "settings 2");
  CHECK(queue.Pop() == "rows 1");
  CHECK(queue.Pop() == "rows 2");
  CHECK_FALSE(queue.Pop());
  CHECK(queue.Bytes() == 0);
}

// Guards against settings that are dropped because announcements fill a queue.
TEST_CASE("OnlyBulkFramesAreBounded")
{
  OutboundQueue queue(10);
  CHECK(queue.Push(std::string(50, 'a'), FramePriority::kBulk));
  CHECK_FALSE(queue.Push("b", FramePriority::kBulk));
  CHECK(queue.Push(std::string(50, 's'), FramePriority::kNormal));
  CHECK(queue.Pop()->front() == 's');
  CHECK(queue.Pop()->front() == 'a');
  CHECK(queue.Push("b", FramePriority::kBulk));
}

} // namespace peridotspool::wire
