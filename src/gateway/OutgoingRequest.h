#pragma once

#include <memory>
#include <string>

namespace peridotspool::gateway {

/** A request on its way to an upstream. */
struct OutgoingRequest
{
  std::string mHead;
  /** Shared with the exchange, which may send it once more. */
  std::shared_ptr<const std::string> mBody;
};

} // namespace peridotspool::gateway
