#include "peridotspool/routing/SlotQueue.h"

#include <algorithm>
#include <set>
#include <unordered_map>

namespace peridotspool::routing {

namespace {

/** All reserved shares together: the highest priority keeps at least half. */
constexpr double kMaxReserved = 0.5;
/** Bounds on what other processes state. */
constexpr double kMinWeight = 1e-6;
constexpr double kMinCost = 1e-3;
/** Sends by which a customer that was idle may be ahead of its share. With one,
 * a customer below its share is late when it sends three at once. */
constexpr double kQuantum = 4.0;
/** Accounts that are kept while they are ahead of nothing. */
constexpr std::size_t kMaxIdleAccounts = 512;
/** Starts behind the share that late sends have of them. */
constexpr double kLateShareSamples = 64.0;
/** Starts after which a share that nobody tests any more counts little. */
constexpr double kLateShareRecovery = 512.0;
/** Lower shares are as good as none. */
constexpr double kMinLateShare = 1e-3;

} // namespace

SlotQueue::SlotQueue(SlotQueueOptions aOptions)
  : mOptions(aOptions)
{
}

bool
SlotQueue::HasRoomFor(const CustomerName& aCustomer) const
{
  const auto waiting =
    std::count_if(mWaiting.begin(), mWaiting.end(), [&](const Item& aOne) {
      return aOne.mSend.mCustomer == aCustomer;
    });
  return static_cast<std::size_t>(waiting) < mOptions.mMaxOfCustomer;
}

std::optional<WaitingSend>
SlotQueue::Push(WaitingSend aSend, TimePoint aNow)
{
  aSend.mPriority =
    std::min(aSend.mPriority, static_cast<std::uint32_t>(kPriorities - 1));
  aSend.mWeight = std::max(kMinWeight, aSend.mWeight);
  aSend.mCost = std::max(kMinCost, aSend.mCost);
  Account& account = mAccounts[{ aSend.mPriority, aSend.mCustomer }];
  ++account.mWaiting;
  mWaiting.push_back({ .mSend = std::move(aSend),
                       .mAccount = &account,
                       .mNumber = ++mLastNumber });
  if (mWaiting.size() <= mOptions.mMaxWaiting) {
    return std::nullopt;
  }
  WaitingSend last = Expected(aNow).back().first;
  Remove(last.mEntry, last.mTag);
  return last;
}

// A customer that was idle may start one quantum ahead of the others.
double
SlotQueue::StartTag(const Account* aAccount, const WaitingSend& aSend) const
{
  const double credit = kQuantum * aSend.mCost / aSend.mWeight;
  return std::max(mVirtualTimes.at(aSend.mPriority) - credit,
                  aAccount == nullptr ? 0.0 : aAccount->mFinish);
}

SlotQueue::Place
SlotQueue::PlaceOf(const Item& aItem, TimePoint aNow) const
{
  return { .mIsLate = aItem.mSend.mLatestStart < aNow,
           .mPriority = aItem.mSend.mPriority,
           .mStartTag = StartTag(aItem.mAccount, aItem.mSend),
           .mLatestStart = aItem.mSend.mLatestStart,
           .mNumber = aItem.mNumber,
           .mSend = &aItem.mSend,
           .mAccount = aItem.mAccount };
}

double
SlotQueue::ReservedShare(std::size_t aPriorities) const
{
  return aPriorities < 2
           ? 0.0
           : std::min(mOptions.mReservedShare,
                      kMaxReserved / static_cast<double>(aPriorities - 1));
}

// Returns the priority whose reserved start is due. Only waiting priorities
// below the highest one accumulate reserved starts.
std::optional<std::uint32_t>
SlotQueue::TakeReservedStart()
{
  std::set<std::uint32_t> present;
  for (const Item& item : mWaiting) {
    present.insert(item.mSend.mPriority);
  }
  const double share = ReservedShare(present.size());
  std::optional<std::uint32_t> due;
  for (std::uint32_t priority = 0; priority < kPriorities; ++priority) {
    double& reserved = mReserved.at(priority);
    if (!present.contains(priority) || priority == *present.begin()) {
      reserved = 0.0;
      continue;
    }
    reserved += share;
    if (reserved >= 1.0) {
      due = priority;
    }
  }
  if (due) {
    mReserved.at(*due) -= 1.0;
  }
  return due;
}

std::optional<WaitingSend>
SlotQueue::Pop(TimePoint aNow)
{
  if (mWaiting.empty()) {
    return std::nullopt;
  }
  const auto reserved = TakeReservedStart();
  std::size_t best = 0;
  std::optional<Place> bestPlace;
  for (std::size_t i = 0; i < mWaiting.size(); ++i) {
    if (reserved && mWaiting[i].mSend.mPriority != *reserved) {
      continue;
    }
    const Place place = PlaceOf(mWaiting[i], aNow);
    if (!bestPlace || place < *bestPlace) {
      best = i;
      bestPlace = place;
    }
  }
  RecordLateShare(bestPlace->mIsLate, aNow);
  WaitingSend send = mWaiting[best].mSend;
  double& virtualTime = mVirtualTimes.at(send.mPriority);
  virtualTime = std::max(virtualTime, bestPlace->mStartTag);
  mWaiting[best].mAccount->mFinish =
    bestPlace->mStartTag + send.mCost / send.mWeight;
  Erase(best);
  return send;
}

// Timely sends that arrive later go before late ones. How many of the starts
// were left to late sends says how long one has to wait.
void
SlotQueue::RecordLateShare(bool aIsLate, TimePoint aNow)
{
  const bool hasLate =
    std::any_of(mWaiting.begin(), mWaiting.end(), [&](const Item& aOne) {
      return aOne.mSend.mLatestStart < aNow;
    });
  if (hasLate) {
    mLateShare += ((aIsLate ? 1.0 : 0.0) - mLateShare) / kLateShareSamples;
  } else {
    mLateShare += (1.0 - mLateShare) / kLateShareRecovery;
  }
}

double
SlotQueue::ExpectedLateStarts(TimePoint aNow) const
{
  const auto late =
    std::count_if(mWaiting.begin(), mWaiting.end(), [&](const Item& aOne) {
      return aOne.mSend.mLatestStart < aNow;
    });
  const auto timely =
    static_cast<double>(mWaiting.size()) - static_cast<double>(late);
  return timely +
         static_cast<double>(late + 1) / std::max(kMinLateShare, mLateShare);
}

bool
SlotQueue::Remove(const Address& aEntry, std::uint64_t aTag)
{
  for (std::size_t i = 0; i < mWaiting.size(); ++i) {
    if (mWaiting[i].mSend.mTag == aTag && mWaiting[i].mSend.mEntry == aEntry) {
      Erase(i);
      return true;
    }
  }
  return false;
}

void
SlotQueue::RemoveEntry(const Address& aEntry)
{
  for (std::size_t i = mWaiting.size(); i-- > 0;) {
    if (mWaiting[i].mSend.mEntry == aEntry) {
      Erase(i);
    }
  }
}

bool
SlotQueue::Contains(const Address& aEntry, std::uint64_t aTag) const
{
  return std::any_of(mWaiting.begin(), mWaiting.end(), [&](const Item& aOne) {
    return aOne.mSend.mTag == aTag && aOne.mSend.mEntry == aEntry;
  });
}

void
SlotQueue::Erase(std::size_t aIndex)
{
  const std::uint32_t priority = mWaiting[aIndex].mSend.mPriority;
  --mWaiting[aIndex].mAccount->mWaiting;
  std::swap(mWaiting[aIndex], mWaiting.back());
  mWaiting.pop_back();
  PruneAccounts(priority);
  if (mWaiting.empty()) {
    mLateShare = 1.0;
  }
}

// Without waiting sends of the priority, its accounts have nothing to be
// compared with. If there are too many, those without a debt are dropped.
void
SlotQueue::PruneAccounts(std::uint32_t aPriority)
{
  const bool isIdle =
    std::none_of(mAccounts.begin(), mAccounts.end(), [&](const auto& aPair) {
      return aPair.first.first == aPriority && aPair.second.mWaiting > 0;
    });
  const bool isFull =
    mAccounts.size() > mOptions.mMaxWaiting + kMaxIdleAccounts;
  std::erase_if(mAccounts, [&](const auto& aPair) {
    return aPair.first.first == aPriority && aPair.second.mWaiting == 0 &&
           (isIdle ||
            (isFull && aPair.second.mFinish <= mVirtualTimes.at(aPriority)));
  });
  if (isIdle) {
    mVirtualTimes.at(aPriority) = 0.0;
  }
}

// Sorts the sends as they would be started: each customer's later ones after
// the cost of its earlier ones.
std::vector<SlotQueue::Place>
SlotQueue::ProjectedOrder(std::vector<Place> aPlaces) const
{
  std::sort(aPlaces.begin(), aPlaces.end());
  std::unordered_map<const Account*, double> timely;
  std::unordered_map<const Account*, double> late;
  for (Place& place : aPlaces) {
    double& cost = (place.mIsLate ? late : timely)[place.mAccount];
    place.mStartTag += cost;
    cost += place.mSend->mCost / place.mSend->mWeight;
  }
  std::sort(aPlaces.begin(), aPlaces.end());
  return aPlaces;
}

// Reserved starts delay the highest priority, and bound the delay of others.
std::vector<double>
SlotQueue::StartsOf(const std::vector<Place>& aOrder) const
{
  std::array<std::size_t, kPriorities> ofPriority{};
  std::uint32_t highest = kPriorities;
  for (const Place& place : aOrder) {
    ++ofPriority.at(place.mPriority);
    highest = std::min(highest, place.mPriority);
  }
  const std::size_t present =
    kPriorities - static_cast<std::size_t>(std::count(
                    ofPriority.begin(), ofPriority.end(), std::size_t{ 0 }));
  const double share = ReservedShare(present);
  ofPriority.fill(0);
  const auto timely =
    std::count_if(aOrder.begin(), aOrder.end(), [](const Place& aOne) {
      return !aOne.mIsLate;
    });
  std::vector<double> starts;
  for (const Place& place : aOrder) {
    const auto own = static_cast<double>(++ofPriority.at(place.mPriority));
    const auto inOrder = static_cast<double>(starts.size() + 1);
    const bool isHighest = place.mPriority == highest;
    const auto others = static_cast<double>(present - 1);
    double expected = inOrder;
    if (place.mIsLate) {
      expected =
        static_cast<double>(timely) + (inOrder - static_cast<double>(timely)) /
                                        std::max(kMinLateShare, mLateShare);
    } else if (isHighest) {
      expected = std::min(static_cast<double>(aOrder.size()),
                          inOrder / (1.0 - share * others));
    } else if (share > 0.0) {
      expected = std::min(inOrder, own / share);
    }
    starts.push_back(expected);
  }
  return starts;
}

std::vector<std::pair<WaitingSend, double>>
SlotQueue::Expected(TimePoint aNow) const
{
  std::vector<Place> places;
  places.reserve(mWaiting.size());
  for (const Item& item : mWaiting) {
    places.push_back(PlaceOf(item, aNow));
  }
  const std::vector<Place> order = ProjectedOrder(std::move(places));
  const std::vector<double> starts = StartsOf(order);
  std::vector<std::pair<WaitingSend, double>> expected;
  expected.reserve(order.size());
  for (std::size_t i = 0; i < order.size(); ++i) {
    expected.emplace_back(*order[i].mSend, starts[i]);
  }
  return expected;
}

double
SlotQueue::ExpectedStarts(const WaitingSend& aSend, TimePoint aNow) const
{
  std::vector<Place> places;
  places.reserve(mWaiting.size() + 1);
  for (const Item& item : mWaiting) {
    places.push_back(PlaceOf(item, aNow));
  }
  WaitingSend send = aSend;
  send.mPriority =
    std::min(send.mPriority, static_cast<std::uint32_t>(kPriorities - 1));
  send.mWeight = std::max(kMinWeight, send.mWeight);
  const auto found = mAccounts.find({ send.mPriority, send.mCustomer });
  const Account* account = found == mAccounts.end() ? nullptr : &found->second;
  const Item added{ .mSend = send, .mNumber = mLastNumber + 1 };
  places.push_back(PlaceOf(added, aNow));
  places.back().mStartTag = StartTag(account, send);
  places.back().mAccount = account;
  const std::vector<Place> order = ProjectedOrder(std::move(places));
  const std::vector<double> starts = StartsOf(order);
  const auto place =
    std::find_if(order.begin(), order.end(), [&](const Place& aOne) {
      return aOne.mNumber == added.mNumber;
    });
  return starts[static_cast<std::size_t>(place - order.begin())];
}

std::vector<WaitingSend>
SlotQueue::TakeAll()
{
  std::vector<WaitingSend> all;
  for (Item& item : mWaiting) {
    all.push_back(std::move(item.mSend));
  }
  mWaiting.clear();
  mAccounts.clear();
  mVirtualTimes.fill(0.0);
  mReserved.fill(0.0);
  mLateShare = 1.0;
  return all;
}

} // namespace peridotspool::routing
