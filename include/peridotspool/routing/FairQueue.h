#pragma once

#include "peridotspool/base/RequestKey.h"
#include "peridotspool/base/Time.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace peridotspool::routing {

/** One request that waits for its turn. */
struct QueuedRequest
{
  RequestKey mKey;
  /** Lower is more urgent. */
  std::int32_t mPriority = 0;
  /** What serving it takes, such as its expected tokens; above zero. */
  double mCost = 1;
  TimePoint mDeadline;

  auto operator<=>(const QueuedRequest&) const = default;
};

struct FairQueueOptions
{
  /** Requests that wait at once, all customers together. */
  std::size_t mMaxQueued = 1024;
  /** How far an urgent request may take its customer past its fair share. */
  double mUrgentBurst = 4;
};

/**
 * Start-time fair queueing among customers. A customer's share follows its
 * weight however much others ask for. Within its share a customer's urgent
 * requests go before others' less urgent ones; past it they wait as others do,
 * so marking everything urgent wins nothing.
 *
 * The room of the queue is divided by weight too, so that a full queue has
 * room for a customer that has not asked yet.
 */
class FairQueue
{
public:
  explicit FairQueue(FairQueueOptions aOptions);

  /** Makes a customer known; one that is not known has weight 1. */
  void SetWeight(const CustomerName& aCustomer, double aWeight);

  /** Returns false iff the customer's part of the queue is full. */
  bool Push(QueuedRequest aRequest);

  /** Takes the next request to serve; empty iff none waits. */
  std::optional<QueuedRequest> Pop();

  /** Takes all requests whose deadline is before aTime. */
  std::vector<QueuedRequest> TakeExpired(TimePoint aTime);

  std::size_t Size() const { return mSize; }
  /** Requests of a customer that wait. */
  std::size_t SizeOf(const CustomerName& aCustomer) const;
  /** The customer's part of the service while all known customers ask. */
  double ShareOf(const CustomerName& aCustomer) const;

private:
  struct Customer
  {
    double mWeight = 1;
    /** Where its service stands, in cost by weight. */
    double mFinish = 0;
    /** By priority, first come first served within one. */
    std::map<std::int32_t, std::deque<QueuedRequest>> mWaiting;
    std::size_t mSize = 0;
  };

  double StartTag(const Customer& aCustomer) const;
  bool IsServedBefore(const Customer& aLeft, const Customer& aRight) const;
  QueuedRequest TakeFirst(Customer& aCustomer);
  static std::size_t TakeExpired(Customer& aCustomer,
                                 TimePoint aTime,
                                 std::vector<QueuedRequest>& aLate);
  /** Returns the customer, added with weight 1 if it was not known. */
  Customer& FindOrAdd(const CustomerName& aCustomer);

  FairQueueOptions mOptions;
  std::map<CustomerName, Customer> mCustomers;
  double mWeightSum = 0;
  double mVirtualTime = 0;
  std::size_t mSize = 0;
};

} // namespace peridotspool::routing
