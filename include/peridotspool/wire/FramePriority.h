#pragma once

namespace peridotspool::wire {

/** In which order frames to one peer are sent. */
enum class FramePriority
{
  kNormal,
  /** After all normal frames; dropped first. For what is sent again until it
   * is confirmed. */
  kBulk,
};

} // namespace peridotspool::wire
