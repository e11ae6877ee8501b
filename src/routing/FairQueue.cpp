#include "peridotspool/routing/FairQueue.h"

#include <algorithm>
#include <cmath>

namespace peridotspool::routing {

FairQueue::FairQueue(FairQueueOptions aOptions)
  : mOptions(aOptions)
{
}

void
FairQueue::SetWeight(const CustomerName& aCustomer, double aWeight)
{
  Customer& customer = FindOrAdd(aCustomer);
  mWeightSum += aWeight - customer.mWeight;
  customer.mWeight = aWeight;
}

FairQueue::Customer&
FairQueue::FindOrAdd(const CustomerName& aCustomer)
{
  const auto [found, added] = mCustomers.try_emplace(aCustomer);
  if (added) {
    mWeightSum += found->second.mWeight;
  }
  return found->second;
}

double
FairQueue::ShareOf(const CustomerName& aCustomer) const
{
  const auto found = mCustomers.find(aCustomer);
  return found == mCustomers.end() ? 0 : found->second.mWeight / mWeightSum;
}

std::size_t
FairQueue::SizeOf(const CustomerName& aCustomer) const
{
  const auto found = mCustomers.find(aCustomer);
  return found == mCustomers.end() ? 0 : found->second.mSize;
}

bool
FairQueue::Push(QueuedRequest aRequest)
{
  Customer& customer = FindOrAdd(aRequest.mKey.mCustomer);
  const double part =
    static_cast<double>(mOptions.mMaxQueued) * customer.mWeight / mWeightSum;
  const auto room =
    std::max<std::size_t>(1, static_cast<std::size_t>(std::floor(part)));
  if (customer.mSize >= room) {
    return false;
  }
  // A customer that was idle starts at the current virtual time, without credit
  // for the idle time.
  if (customer.mSize == 0) {
    customer.mFinish = std::max(customer.mFinish, mVirtualTime);
  }
  customer.mWaiting[aRequest.mPriority].push_back(std::move(aRequest));
  ++customer.mSize;
  ++mSize;
  return true;
}

double
FairQueue::StartTag(const Customer& aCustomer) const
{
  return std::max(aCustomer.mFinish, mVirtualTime);
}

bool
FairQueue::IsServedBefore(const Customer& aLeft, const Customer& aRight) const
{
  const double left = StartTag(aLeft);
  const double right = StartTag(aRight);
  // Without this bound on the lead, a large customer that marks every request
  // urgent would starve the small ones.
  const double burst = mOptions.mUrgentBurst;
  const bool bothWithin = left <= mVirtualTime + burst / aLeft.mWeight &&
                          right <= mVirtualTime + burst / aRight.mWeight;
  const std::int32_t leftPriority = aLeft.mWaiting.begin()->first;
  const std::int32_t rightPriority = aRight.mWaiting.begin()->first;
  if (bothWithin && leftPriority != rightPriority) {
    return leftPriority < rightPriority;
  }
  return left < right;
}

QueuedRequest
FairQueue::TakeFirst(Customer& aCustomer)
{
  const auto first = aCustomer.mWaiting.begin();
  QueuedRequest request = std::move(first->second.front());
  first->second.pop_front();
  if (first->second.empty()) {
    aCustomer.mWaiting.erase(first);
  }
  --aCustomer.mSize;
  --mSize;
  return request;
}

std::optional<QueuedRequest>
FairQueue::Pop()
{
  Customer* best = nullptr;
  double minStart = 0;
  for (auto& [name, customer] : mCustomers) {
    if (customer.mSize == 0) {
      continue;
    }
    minStart = best == nullptr ? StartTag(customer)
                               : std::min(minStart, StartTag(customer));
    if (best == nullptr || IsServedBefore(customer, *best)) {
      best = &customer;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  // Advances to the minimum start tag of all customers with queued requests. An
  // urgent request that is served early therefore does not advance the virtual
  // time of the others.
  mVirtualTime = std::max(mVirtualTime, minStart);
  const double start = StartTag(*best);
  QueuedRequest request = TakeFirst(*best);
  best->mFinish = start + request.mCost / best->mWeight;
  return request;
}

std::size_t
FairQueue::TakeExpired(Customer& aCustomer,
                       TimePoint aTime,
                       std::vector<QueuedRequest>& aLate)
{
  std::size_t removed = 0;
  for (auto level = aCustomer.mWaiting.begin();
       level != aCustomer.mWaiting.end();) {
    removed += std::erase_if(level->second, [&](const QueuedRequest& aRequest) {
      const bool isLate = aRequest.mDeadline < aTime;
      if (isLate) {
        aLate.push_back(aRequest);
      }
      return isLate;
    });
    level = level->second.empty() ? aCustomer.mWaiting.erase(level)
                                  : std::next(level);
  }
  return removed;
}

std::vector<QueuedRequest>
FairQueue::TakeExpired(TimePoint aTime)
{
  std::vector<QueuedRequest> late;
  for (auto& [name, customer] : mCustomers) {
    customer.mSize -= TakeExpired(customer, aTime, late);
  }
  mSize -= late.size();
  return late;
}

} // namespace peridotspool::routing
