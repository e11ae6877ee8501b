#pragma once

#include "peridotspool/request/Effect.h"

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace peridotspool::runtime {

/** Keeps the latest requests' upstream choices for `peridotctl explain`. */
class ExplainLog
{
public:
  explicit ExplainLog(std::size_t aMaxRequests)
    : mMaxRequests(aMaxRequests)
  {
  }

  void Add(request::ExplainEffect aEffect);
  /** Returns the choices as JSON; empty text if none are kept. */
  std::string Json(const RequestKey& aKey) const;

private:
  std::size_t mMaxRequests;
  std::deque<RequestKey> mOrder;
  std::unordered_map<RequestKey, std::vector<request::ExplainEffect>> mKept;
};

} // namespace peridotspool::runtime
