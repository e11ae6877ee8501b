#pragma once

#include "peridotspool/limits/QuotaQueueItem.h"
#include "peridotspool/limits/QuotaSupply.h"
#include "peridotspool/limits/QuotaVerdict.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace peridotspool::limits {

/** Items of one customer that wait at once. Covers two seconds of 250 small
 * requests a second, the most that a customer of today's deployments sends
 * within its limit. */
constexpr std::size_t kMaxQueuedOfCustomer = 512;

/**
 * Requests of one customer that wait for units of its limit. They are ordered
 * by priority, then by latest start, then by arrival; the head reserves the
 * balance as it accrues.
 *
 * Within one priority no size is preferred: while requests of the same or a
 * higher priority are refused, a smaller one is admitted only where the largest
 * refused one would have been, too. Otherwise small requests would take each
 * unit of room before there is enough for a large one.
 *
 * Does no I/O and reads no clock. Not thread-safe.
 */
class QuotaQueue
{
public:
  /** Queues the request or tells why not. An item that is queued already
   * keeps its place. Items behind it may have to be refused: see
   * TakeInfeasible. */
  QuotaVerdict Add(const QuotaQueueItem& aItem,
                   const QuotaSupply& aSupply,
                   TimePoint aNow);
  /** Returns true iff a request that can't wait may be granted its units now,
   * before the items of lower priorities. Records it as refused if not. */
  bool MayPass(std::uint32_t aPriority,
               double aUnits,
               const QuotaSupply& aSupply,
               TimePoint aNow);
  /** Removes and returns the items that can't be granted by their latest start
   * any more. */
  std::vector<QuotaQueueItem> TakeInfeasible(const QuotaSupply& aSupply,
                                             TimePoint aNow);
  /** Removes an item that nobody waits for; returns true iff it was queued. */
  bool Cancel(const Address& aFrom, std::uint64_t aTag);
  /** Returns null if the queue is empty. */
  const QuotaQueueItem* Head() const;
  void PopHead();
  /** Returns after which time such an item would be queued, if no others came.
   */
  Duration RetryAfter(const QuotaQueueItem& aItem,
                      const QuotaSupply& aSupply,
                      TimePoint aNow) const;
  /** Returns true iff requests wait or have been refused lately. */
  bool IsContended(TimePoint aNow) const;
  std::size_t Size() const { return mItems.size(); }

private:
  /** The hardest requests to admit among those refused lately. */
  struct Refusals
  {
    double mUnits = 0.0;
    TimePoint mUnitsAt = TimePoint::min();
    Duration mWait{ 0 };
    TimePoint mWaitAt = TimePoint::min();
  };

  std::size_t PositionOf(const QuotaQueueItem& aItem) const;
  double UnitsBefore(std::size_t aPosition) const;
  double MissingUnits(const QuotaQueueItem& aItem,
                      const QuotaSupply& aSupply,
                      TimePoint aNow) const;
  bool DelaysItsPriority(const QuotaQueueItem& aItem,
                         const QuotaSupply& aSupply) const;
  /** Returns null if no more priorities can be recorded. */
  Refusals* RecordRefusal(const QuotaQueueItem& aItem,
                          const QuotaSupply& aSupply,
                          TimePoint aNow);
  void RecordRefusedWait(const QuotaQueueItem& aItem,
                         const QuotaSupply& aSupply,
                         TimePoint aNow);

  /** In the order in which they are granted. */
  std::vector<QuotaQueueItem> mItems;
  std::map<std::uint32_t, Refusals> mRefusals;
};

} // namespace peridotspool::limits
