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

/** A queued request. */
struct QueuedRequest
{
  RequestKey mKey;
  /** Lower values are more urgent. */
  std::int32_t mPriority = 0;
  /** Cost of serving the request, such as its expected tokens; above zero. */
  double mCost = 1;
  TimePoint mDeadline;

  auto operator<=>(const QueuedRequest&) const = default;
};

struct FairQueueOptions
{
  /** Maximum queued requests of all customers together. */
  std::size_t mMaxQueued = 1024;
  /**
   * Cost, divided by the customer's weight, by which urgent requests may take a
   * customer past its fair share.
   */
  double mUrgentBurst = 4;
};

/**
 * Start-time fair queueing among customers. A customer's share follows its
 * weight, whatever the demand of the others. Within its share a customer's
 * urgent requests are served before less urgent ones of others. Beyond its
 * share they wait like all others, so that marking every request urgent gains
 * nothing.
 *
 * The capacity of the queue is divided by weight too, so that a full queue
 * still accepts requests of a customer without any in it.
 */
class FairQueue
{
public:
  explicit FairQueue(FairQueueOptions aOptions);

  /** Adds the customer if needed. Customers without a weight have weight 1. */
  void SetWeight(const CustomerName& aCustomer, double aWeight);

  /** Returns false iff the customer's part of the queue is full. */
  bool Push(QueuedRequest aRequest);

  /**
   * Removes and returns the next request to serve; empty iff none is queued.
   */
  std::optional<QueuedRequest> Pop();

  /** Removes and returns all requests whose deadline is before aTime. */
  std::vector<QueuedRequest> TakeExpired(TimePoint aTime);

  std::size_t Size() const { return mSize; }
  /** Number of the customer's queued requests. */
  std::size_t SizeOf(const CustomerName& aCustomer) const;
  /**
   * The customer's share of the service while all known customers have
   * requests.
   */
  double ShareOf(const CustomerName& aCustomer) const;

private:
  struct Customer
  {
    double mWeight = 1;
    /**
     * Virtual finish time of its last request: served cost divided by weight.
     */
    double mFinish = 0;
    /** Queues by priority, each first in, first out. */
    std::map<std::int32_t, std::deque<QueuedRequest>> mWaiting;
    std::size_t mSize = 0;
  };

  double StartTag(const Customer& aCustomer) const;
  bool IsServedBefore(const Customer& aLeft, const Customer& aRight) const;
  QueuedRequest TakeFirst(Customer& aCustomer);
  static std::size_t TakeExpired(Customer& aCustomer,
                                 TimePoint aTime,
                                 std::vector<QueuedRequest>& aLate);
  /** Returns the customer; adds it with weight 1 if needed. */
  Customer& FindOrAdd(const CustomerName& aCustomer);

  FairQueueOptions mOptions;
  std::map<CustomerName, Customer> mCustomers;
  double mWeightSum = 0;
  double mVirtualTime = 0;
  std::size_t mSize = 0;
};

} // namespace peridotspool::routing
