#include "peridotspool/limits/QuotaQueue.h"

#include <algorithm>

namespace peridotspool::limits {

namespace {

/** Balances accrue in steps of 10 ms and the queue is looked at every 10 ms, so
 * that units are granted up to this much later than they accrue. */
constexpr Duration kGrantDelay = std::chrono::milliseconds(20);
/** How long a refused request counts as contending. Refused callers usually
 * return within that time. */
constexpr Duration kContentionMemory = std::chrono::seconds(1);
/** Room kept for a refused request, as a fraction of the account. With more,
 * the account could fill up and lose units that accrue. */
constexpr double kMaxRoomFraction = 0.5;
/** Priorities whose refusals are remembered; bounds the memory. */
constexpr std::size_t kMaxPriorities = 16;
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(50);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(10);

bool
IsBefore(const QuotaQueueItem& aLeft, const QuotaQueueItem& aRight)
{
  return aLeft.mPriority != aRight.mPriority
           ? aLeft.mPriority < aRight.mPriority
           : aLeft.mLatestStart < aRight.mLatestStart;
}

Duration
TimeFor(double aUnits, const QuotaSupply& aSupply)
{
  if (aUnits <= 0.0) {
    return Duration(0);
  }
  const double seconds =
    aSupply.mPerSecond > 0.0 ? aUnits / aSupply.mPerSecond : 1e3;
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(std::min(seconds, 1e3)));
}

} // namespace

std::size_t
QuotaQueue::PositionOf(const QuotaQueueItem& aItem) const
{
  const auto place =
    std::upper_bound(mItems.begin(), mItems.end(), aItem, IsBefore);
  return static_cast<std::size_t>(place - mItems.begin());
}

double
QuotaQueue::UnitsBefore(std::size_t aPosition) const
{
  double units = 0.0;
  for (std::size_t i = 0; i < aPosition; ++i) {
    units += mItems[i].mUnits;
  }
  return units;
}

/** Returns how many units too few accrue for the item to be admitted. */
double
QuotaQueue::MissingUnits(const QuotaQueueItem& aItem,
                         const QuotaSupply& aSupply,
                         TimePoint aNow) const
{
  double units = aItem.mUnits;
  Duration wait =
    std::max(Duration(0), aItem.mLatestStart - aNow - kGrantDelay);
  bool isContended = false;
  for (const auto& [priority, refusals] : mRefusals) {
    if (priority > aItem.mPriority) {
      break;
    }
    if (aNow - kContentionMemory < refusals.mUnitsAt) {
      units = std::max(units, refusals.mUnits);
      isContended = true;
    }
    if (aNow - kContentionMemory < refusals.mWaitAt) {
      wait = std::min(wait, refusals.mWait);
      isContended = true;
    }
  }
  // While others are refused, all of one priority see the same queue, wherever
  // they would be in it.
  std::size_t ahead = PositionOf(aItem);
  while (isContended && ahead < mItems.size() &&
         mItems[ahead].mPriority == aItem.mPriority) {
    ++ahead;
  }
  return UnitsBefore(ahead) + units - aSupply.UnitsBy(aNow + wait);
}

/** Returns true iff the item would take units that have been promised to later
 * items of its own priority. */
bool
QuotaQueue::DelaysItsPriority(const QuotaQueueItem& aItem,
                              const QuotaSupply& aSupply) const
{
  std::size_t next = PositionOf(aItem);
  double units = UnitsBefore(next) + aItem.mUnits;
  for (; next < mItems.size() && mItems[next].mPriority == aItem.mPriority;
       ++next) {
    units += mItems[next].mUnits;
    if (units > aSupply.UnitsBy(mItems[next].mLatestStart - kGrantDelay)) {
      return true;
    }
  }
  return false;
}

QuotaQueue::Refusals*
QuotaQueue::RecordRefusal(const QuotaQueueItem& aItem,
                          const QuotaSupply& aSupply,
                          TimePoint aNow)
{
  if (mRefusals.size() >= kMaxPriorities &&
      !mRefusals.contains(aItem.mPriority)) {
    return nullptr;
  }
  Refusals& refusals = mRefusals[aItem.mPriority];
  const double units =
    std::min(aItem.mUnits, kMaxRoomFraction * aSupply.mMaxUnits);
  if (units >= refusals.mUnits ||
      aNow - kContentionMemory >= refusals.mUnitsAt) {
    refusals.mUnits = units;
    refusals.mUnitsAt = aNow;
  }
  return &refusals;
}

// Only waits that were asked for count. What is left of the wait of an item
// that had to be removed later says nothing about those to come.
void
QuotaQueue::RecordRefusedWait(const QuotaQueueItem& aItem,
                              const QuotaSupply& aSupply,
                              TimePoint aNow)
{
  Refusals* refusals = RecordRefusal(aItem, aSupply, aNow);
  const Duration wait =
    std::max(Duration(0), aItem.mLatestStart - aNow - kGrantDelay);
  if (refusals != nullptr && (wait <= refusals->mWait ||
                              aNow - kContentionMemory >= refusals->mWaitAt)) {
    refusals->mWait = wait;
    refusals->mWaitAt = aNow;
  }
}

Duration
QuotaQueue::RetryAfter(const QuotaQueueItem& aItem,
                       const QuotaSupply& aSupply,
                       TimePoint aNow) const
{
  if (aItem.mUnits > aSupply.mMaxUnits) {
    return kMaxRetryAfter;
  }
  return std::clamp(TimeFor(MissingUnits(aItem, aSupply, aNow), aSupply),
                    kMinRetryAfter,
                    kMaxRetryAfter);
}

QuotaVerdict
QuotaQueue::Add(const QuotaQueueItem& aItem,
                const QuotaSupply& aSupply,
                TimePoint aNow)
{
  QuotaVerdict verdict;
  const auto queued =
    std::find_if(mItems.begin(), mItems.end(), [&](const QuotaQueueItem& aOne) {
      return aOne.mTag == aItem.mTag && aOne.mFrom == aItem.mFrom;
    });
  if (queued != mItems.end()) {
    verdict.mPosition = static_cast<std::size_t>(queued - mItems.begin());
    verdict.mExpectedWait = TimeFor(
      UnitsBefore(verdict.mPosition + 1) - aSupply.UnitsBy(aNow), aSupply);
    return verdict;
  }
  if (aItem.mUnits > aSupply.mMaxUnits) {
    verdict.mKind = QuotaVerdictKind::kTooLarge;
  } else if (MissingUnits(aItem, aSupply, aNow) > 0.0 ||
             DelaysItsPriority(aItem, aSupply)) {
    verdict.mKind = QuotaVerdictKind::kTooLate;
    RecordRefusedWait(aItem, aSupply, aNow);
  } else if (mItems.size() >= kMaxQueuedOfCustomer) {
    verdict.mKind = QuotaVerdictKind::kFull;
    RecordRefusedWait(aItem, aSupply, aNow);
  }
  if (verdict.mKind != QuotaVerdictKind::kQueued) {
    verdict.mRetryAfter = RetryAfter(aItem, aSupply, aNow);
    return verdict;
  }
  verdict.mPosition = PositionOf(aItem);
  verdict.mExpectedWait = TimeFor(UnitsBefore(verdict.mPosition) +
                                    aItem.mUnits - aSupply.UnitsBy(aNow),
                                  aSupply);
  mItems.insert(mItems.begin() + static_cast<std::ptrdiff_t>(verdict.mPosition),
                aItem);
  return verdict;
}

bool
QuotaQueue::MayPass(std::uint32_t aPriority,
                    double aUnits,
                    const QuotaSupply& aSupply,
                    TimePoint aNow)
{
  // The last of its priority: it was promised nothing.
  const QuotaQueueItem item{ .mFrom = {},
                             .mTag = 0,
                             .mUnits = aUnits,
                             .mPriority = aPriority,
                             .mLatestStart = aNow };
  std::size_t ahead = PositionOf(item);
  while (ahead < mItems.size() && mItems[ahead].mPriority == aPriority) {
    ++ahead;
  }
  const bool mayPass = MissingUnits(item, aSupply, aNow) <= 0.0 &&
                       UnitsBefore(ahead) + aUnits <= aSupply.mAvailable;
  if (!mayPass && aUnits <= aSupply.mMaxUnits) {
    RecordRefusal(item, aSupply, aNow);
  }
  return mayPass;
}

std::vector<QuotaQueueItem>
QuotaQueue::TakeInfeasible(const QuotaSupply& aSupply, TimePoint aNow)
{
  std::vector<QuotaQueueItem> infeasible;
  double units = 0.0;
  std::erase_if(mItems, [&](const QuotaQueueItem& aItem) {
    const bool isFeasible =
      aItem.mUnits <= aSupply.mMaxUnits && aNow <= aItem.mLatestStart &&
      units + aItem.mUnits <= aSupply.UnitsBy(aItem.mLatestStart);
    if (isFeasible) {
      units += aItem.mUnits;
    } else {
      infeasible.push_back(aItem);
    }
    return !isFeasible;
  });
  for (const QuotaQueueItem& item : infeasible) {
    RecordRefusal(item, aSupply, aNow);
  }
  return infeasible;
}

bool
QuotaQueue::Cancel(const Address& aFrom, std::uint64_t aTag)
{
  return std::erase_if(mItems, [&](const QuotaQueueItem& aItem) {
           return aItem.mTag == aTag && aItem.mFrom == aFrom;
         }) > 0;
}

const QuotaQueueItem*
QuotaQueue::Head() const
{
  return mItems.empty() ? nullptr : &mItems.front();
}

void
QuotaQueue::PopHead()
{
  mItems.erase(mItems.begin());
}

bool
QuotaQueue::IsContended(TimePoint aNow) const
{
  return !mItems.empty() ||
         std::any_of(mRefusals.begin(), mRefusals.end(), [&](const auto& aOne) {
           return aNow - kContentionMemory < aOne.second.mUnitsAt;
         });
}

} // namespace peridotspool::limits
