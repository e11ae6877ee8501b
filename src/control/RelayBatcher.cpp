#include "peridotspool/control/RelayBatcher.h"

#include <utility>

namespace peridotspool::control {

bool
RelayBatcher::Add(const Address& aTo, RelayedRequest aRequest)
{
  auto& requests = mBatches[aTo].mRequests;
  if (requests.size() >= kMaxBatch) {
    return false;
  }
  requests.push_back(std::move(aRequest));
  return true;
}

std::vector<RelayBatch>
RelayBatcher::TakeDue(TimePoint aNow)
{
  std::vector<RelayBatch> due;
  if (mBatches.empty() || aNow - mTakenAt < kPeriod) {
    return due;
  }
  mTakenAt = aNow;
  for (auto& [address, requests] : mBatches) {
    due.push_back({ .mTo = address, .mRequests = std::move(requests) });
  }
  mBatches.clear();
  return due;
}

} // namespace peridotspool::control
