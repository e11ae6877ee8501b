#include "limits/PermitSimulation.h"

#include "peridotspool/base/Overloaded.h"
#include "peridotspool/limits/PermitTiming.h"

#include <algorithm>
#include <utility>

namespace peridotspool::limits {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const UpstreamName kUpstream("u1");
const Incarnation kIncarnation(1);
const FailureDomain kDomain("d1");
constexpr std::uint16_t kPort = 7000;
constexpr milliseconds kHeartbeatPeriod{ 300 };
constexpr milliseconds kMemberTimeout{ 1500 };
constexpr milliseconds kTickPeriod{ 50 };
constexpr milliseconds kQueryTimeout{ 50 };
constexpr milliseconds kRestartTime{ 400 };
constexpr seconds kFirstStatement{ 2 };
/** The users' rule. */
constexpr seconds kGrace{ 3 };
constexpr seconds kWindow{ 4 };
constexpr seconds kGrantWindow{ 1 };
constexpr seconds kMaxReordering{ 1 };
constexpr milliseconds kToldBefore{ 500 };
constexpr double kAllowedFactor = 1.5;
constexpr double kAllowedExtra = 5.0;
/** Clocks of two processes differ by at most this in rate. */
constexpr double kClockDrift = 0.01;

} // namespace

PermitSimulation::PermitSimulation(PermitSimulationOptions aOptions,
                                   std::vector<PermitIncident> aIncidents)
  : mOptions(aOptions)
  , mIncidents(std::move(aIncidents))
  , mRandom(aOptions.mSeed)
  , mEntries(aOptions.mEntries)
{
  std::uniform_real_distribution<double> drift(-kClockDrift, kClockDrift);
  for (std::size_t i = 0; i < mEntries.size(); ++i) {
    mEntries[i].mIndex = i;
    mIndices[AddressOf(i).mHost] = i;
    mEntries[i].mClockOffset = seconds(mRandom() % 100000 + 1000);
    mEntries[i].mClockRate = 1.0 + drift(mRandom);
  }
  mLimitFrom[Duration(0)] = 0.0;
  mLimitFrom[kFirstStatement] = mOptions.mLimit;
}

Address
PermitSimulation::AddressOf(std::size_t aIndex)
{
  return { "entry-" + std::to_string(aIndex), kPort };
}

TimePoint
PermitSimulation::LocalTime(const Entry& aEntry, Duration aNow)
{
  return TimePoint(aEntry.mClockOffset +
                   Duration(static_cast<Duration::rep>(
                     static_cast<double>(aNow.count()) * aEntry.mClockRate)));
}

PermitSimulation::Entry*
PermitSimulation::Find(const Address& aAddress)
{
  const auto found = mIndices.find(aAddress.mHost);
  return found == mIndices.end() ? nullptr : &mEntries[found->second];
}

void
PermitSimulation::At(Duration aAt, std::function<void()> aCall)
{
  mEvents[{ std::max(aAt, mNow), ++mSequence }] = std::move(aCall);
}

// A frozen process handles everything once it resumes; a process that has ended
// handles nothing any more.
void
PermitSimulation::OnEntry(std::size_t aIndex,
                          std::uint64_t aProcess,
                          std::function<void(Entry&)> aCall)
{
  Entry& entry = mEntries[aIndex];
  if (entry.mProcess != aProcess) {
    return;
  }
  if (mNow < entry.mFrozenUntil) {
    At(entry.mFrozenUntil, [this, aIndex, aProcess, call = std::move(aCall)] {
      OnEntry(aIndex, aProcess, call);
    });
    return;
  }
  aCall(entry);
}

Duration
PermitSimulation::Delay()
{
  return Duration(500 + mRandom() % 9500);
}

bool
PermitSimulation::IsCut(std::size_t aFrom, std::size_t aTo) const
{
  return mNow < mSplitUntil && aFrom % 2 != aTo % 2;
}

void
PermitSimulation::Send(std::size_t aFrom,
                       const Address& aTo,
                       const Message& aMessage)
{
  const Entry* to = Find(aTo);
  if (to == nullptr || IsCut(aFrom, to->mIndex) ||
      (mNow < mLossUntil && mRandom() % 10 == 0)) {
    return;
  }
  const int copies = mRandom() % 50 == 0 ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    At(mNow + Delay(),
       [this, index = to->mIndex, from = AddressOf(aFrom), aMessage] {
         const std::uint64_t process = mEntries[index].mProcess;
         OnEntry(index, process, [=, this](Entry& aEntry) {
           Receive(aEntry, from, aMessage);
         });
       });
  }
}

void
PermitSimulation::SendToLeader(Entry& aEntry, const Heartbeat& aHeartbeat)
{
  const bool lost = mNow < aEntry.mCutFromLeaderUntil ||
                    (mNow < mSplitUntil && aEntry.mIndex % 2 != 0) ||
                    (mNow < mLossUntil && mRandom() % 10 == 0);
  if (!lost) {
    At(mNow + Delay(),
       [this, from = aEntry.mIndex, process = aEntry.mProcess, aHeartbeat] {
         HandleAtLeader(from, process, aHeartbeat);
       });
  }
}

void
PermitSimulation::HandleAtLeader(std::size_t aFrom,
                                 std::uint64_t aProcess,
                                 const Heartbeat& aHeartbeat)
{
  if (mNow < mLeaderGoneUntil) {
    return;
  }
  const auto member = mMembers.find(aFrom);
  if (member == mMembers.end() || member->second.mProcess != aProcess) {
    mCandidates[aFrom] = aProcess;
    return;
  }
  member->second.mHeardAt = mNow;
  const auto answer = [this, aFrom, aProcess](const Message& aMessage) {
    At(mNow + Delay(), [=, this] {
      OnEntry(aFrom, aProcess, [=, this](Entry& aEntry) {
        Receive(aEntry, {}, aMessage);
      });
    });
  };
  for (std::uint64_t epoch = std::max<std::uint64_t>(
         aHeartbeat.mEpoch + 1, mEpoch > 3 ? mEpoch - 3 : 1);
       epoch <= mEpoch;
       ++epoch) {
    answer(EpochPush{ .mEpoch = epoch, .mMap = mEpochs[epoch] });
  }
  answer(HeartbeatAnswer{ .mEpoch = mEpoch, .mSentAt = aHeartbeat.mSentAt });
}

void
PermitSimulation::PlanEpochs()
{
  At(mNow + milliseconds(100), [this] { PlanEpochs(); });
  if (mNow < mLeaderGoneUntil) {
    // The next leader waits until leases of the former one have expired.
    for (auto& [index, member] : mMembers) {
      member.mHeardAt = mLeaderGoneUntil;
    }
    return;
  }
  bool changed = std::erase_if(mMembers, [&](const auto& aPair) {
                   return mNow - aPair.second.mHeardAt >= kMemberTimeout;
                 }) > 0;
  for (const auto& [index, process] : std::exchange(mCandidates, {})) {
    if (!mMembers.contains(index)) {
      mMembers[index] = { .mProcess = process, .mHeardAt = mNow };
      changed = true;
    }
  }
  if (changed) {
    std::vector<gateway::Coordinator> coordinators;
    for (const auto& [index, member] : mMembers) {
      coordinators.push_back(
        { .mAddress = AddressOf(index), .mDomain = kDomain });
    }
    gateway::CoordinatorMap map;
    map.Set(std::move(coordinators));
    mEpochs[++mEpoch] =
      std::make_shared<const gateway::CoordinatorMap>(std::move(map));
  }
}

void
PermitSimulation::StartProcess(std::size_t aIndex)
{
  Entry& entry = mEntries[aIndex];
  Entry fresh;
  fresh.mIndex = aIndex;
  fresh.mProcess = ++mLastProcess;
  fresh.mClockOffset = entry.mClockOffset;
  fresh.mClockRate = entry.mClockRate;
  fresh.mTenure.SetSelf(AddressOf(aIndex));
  fresh.mClient = PermitClient(fresh.mProcess << 32U);
  fresh.mAllocator = std::make_unique<PermitAllocator>(mRandom());
  entry = std::move(fresh);
  At(mNow + Duration(mRandom() % 50000),
     [this, aIndex, process = mLastProcess] {
       OnEntry(aIndex, process, [this](Entry& aEntry) { Tick(aEntry); });
     });
  At(mNow + Duration(mRandom() % 300000),
     [this, aIndex, process = mLastProcess] {
       OnEntry(
         aIndex, process, [this](Entry& aEntry) { BeginRequest(aEntry); });
     });
}

void
PermitSimulation::Tick(Entry& aEntry)
{
  const TimePoint now = LocalTime(aEntry, mNow);
  SendPermits(
    aEntry,
    aEntry.mAllocator->Tick(
      [&](const UpstreamName& aUpstream, const FailureDomain& aDomain) {
        return aEntry.mTenure.Covers(aUpstream, aDomain, now);
      },
      now));
  for (const PermitDecision& decision : aEntry.mClient.Tick(now)) {
    (void)decision;
  }
  if (++aEntry.mTicks % (kHeartbeatPeriod / kTickPeriod) == 0) {
    SendToLeader(aEntry, { .mEpoch = aEntry.mEpoch, .mSentAt = now });
  }
  At(mNow + kTickPeriod,
     [this, index = aEntry.mIndex, process = aEntry.mProcess] {
       OnEntry(index, process, [this](Entry& aOne) { Tick(aOne); });
     });
}

void
PermitSimulation::BeginRequest(Entry& aEntry)
{
  const double rate =
    mOptions.mDemand * mOptions.mLimit / static_cast<double>(mOptions.mEntries);
  std::exponential_distribution<double> gap(rate);
  const std::size_t index = aEntry.mIndex;
  const std::uint64_t process = aEntry.mProcess;
  At(mNow + std::chrono::duration_cast<Duration>(
              std::chrono::duration<double>(gap(mRandom))),
     [=, this] {
       OnEntry(index, process, [this](Entry& aOne) { BeginRequest(aOne); });
     });
  const auto coordinator = aEntry.mMap.CoordinatorOf(kUpstream, kDomain);
  if (!coordinator) {
    return;
  }
  const std::uint64_t tag = ++aEntry.mLastQuery;
  aEntry.mQueries.insert(tag);
  Send(index, *coordinator, LimitQuery{ .mTag = tag });
  At(mNow + kQueryTimeout, [=, this] {
    OnEntry(index, process, [=, this](Entry& aOne) {
      if (aOne.mQueries.erase(tag) > 0) {
        SendOrAsk(aOne);
      }
    });
  });
}

void
PermitSimulation::SendOrAsk(Entry& aEntry)
{
  const KnownLimit* limit = aEntry.mLimits.Find(kUpstream);
  if (limit == nullptr) {
    SendToUpstream(aEntry, std::nullopt);
    return;
  }
  const auto coordinator = aEntry.mMap.CoordinatorOf(kUpstream, kDomain);
  if (coordinator) {
    Send(aEntry.mIndex,
         *coordinator,
         aEntry.mClient.Request({ .mUpstream = kUpstream,
                                  .mIncarnation = kIncarnation,
                                  .mDomain = kDomain,
                                  .mMaxWait = kMaxPermitWait },
                                *limit,
                                LocalTime(aEntry, mNow)));
  }
}

// A few connections take long to establish.
void
PermitSimulation::SendToUpstream(Entry& aEntry,
                                 std::optional<PermitReceipt> aReceipt)
{
  const Duration delay =
    mRandom() % 20 == 0 ? Duration(milliseconds(700)) : Delay();
  const TimePoint sentAt = LocalTime(aEntry, mNow);
  if (!aReceipt) {
    mUnpermitted.push_back(mNow);
  }
  At(mNow + delay, [=, this, index = aEntry.mIndex, process = aEntry.mProcess] {
    const Entry& sender = mEntries[index];
    const bool told = sender.mProcess == process && sender.mToldAt &&
                      *sender.mToldAt + kToldBefore <= mNow;
    mArrivals.push_back({ .mAt = mNow, .mWasTold = told });
    At(mNow + milliseconds(20 + mRandom() % 400),
       [=, this] { Respond(index, process, sentAt, aReceipt); });
  });
}

void
PermitSimulation::Respond(std::size_t aEntry,
                          std::uint64_t aProcess,
                          TimePoint aSentAt,
                          std::optional<PermitReceipt> aReceipt)
{
  const double limit = LimitAt(mNow);
  const RateStatement statement =
    limit > 0.0 ? RateStatement{ .mKind = RateStatement::Kind::kLimit,
                                 .mPerSecond = limit }
                : RateStatement{};
  At(mNow + Delay(), [=, this] {
    OnEntry(aEntry, aProcess, [=, this](Entry& aOne) {
      if (limit > 0.0) {
        mStated.emplace(mNow, limit);
        aOne.mToldAt = aOne.mToldAt.value_or(mNow);
      }
      aOne.mLimits.RecordResponse({ .mUpstream = kUpstream,
                                    .mIncarnation = kIncarnation,
                                    .mSentAt = aSentAt,
                                    .mIsGenuine = true },
                                  statement,
                                  LocalTime(aOne, mNow));
      const auto coordinator = aOne.mMap.CoordinatorOf(kUpstream, kDomain);
      if (coordinator && (limit > 0.0 || aReceipt)) {
        Send(aOne.mIndex,
             *coordinator,
             LimitReport{ .mUpstream = kUpstream,
                          .mIncarnation = kIncarnation,
                          .mDomain = kDomain,
                          .mPerSecond = limit,
                          .mReceipt = aReceipt.value_or(PermitReceipt{}) });
      }
    });
  });
}

void
PermitSimulation::SendPermits(Entry& aEntry,
                              const std::vector<AddressedPermit>& aPermits)
{
  for (const AddressedPermit& permit : aPermits) {
    if (permit.mResponse.mOutcome == PermitOutcome::kGranted) {
      mGrantedAt.emplace(
        std::pair(Find(permit.mTo)->mIndex, permit.mResponse.mTag), mNow);
    }
    Send(aEntry.mIndex, permit.mTo, permit.mResponse);
  }
}

void
PermitSimulation::Receive(Entry& aEntry,
                          const Address& aFrom,
                          const Message& aMessage)
{
  const TimePoint now = LocalTime(aEntry, mNow);
  const auto covers = [&](const UpstreamName& aUpstream,
                          const FailureDomain& aDomain) {
    return aEntry.mTenure.Covers(aUpstream, aDomain, now);
  };
  std::visit(
    Overloaded{
      [](const Heartbeat&) {},
      [&](const HeartbeatAnswer& aAnswer) {
        if (aAnswer.mEpoch <= aEntry.mEpoch) {
          aEntry.mTenure.SetConfirmedAt(aAnswer.mSentAt);
        }
      },
      [&](const EpochPush& aPush) {
        if (aPush.mEpoch > aEntry.mEpoch) {
          aEntry.mEpoch = aPush.mEpoch;
          aEntry.mMap = *aPush.mMap;
          aEntry.mTenure.ApplyEpoch(
            EpochNumber(aPush.mEpoch), *aPush.mMap, now);
        }
      },
      [&](const LimitQuery& aQuery) {
        Send(aEntry.mIndex,
             aFrom,
             LimitAnswer{
               .mTag = aQuery.mTag,
               .mState = aEntry.mAllocator->StateOf(kUpstream, covers, now) });
      },
      [&](const LimitAnswer& aAnswer) {
        if (aAnswer.mState) {
          aEntry.mLimits.ApplyCoordinatorState(*aAnswer.mState, now);
        }
        if (aEntry.mQueries.erase(aAnswer.mTag) > 0) {
          SendOrAsk(aEntry);
        }
      },
      [&](const LimitReport& aReport) {
        aEntry.mAllocator->HandleReport(aReport, now);
      },
      [&](const SendPermitRequest& aRequest) {
        SendPermits(aEntry,
                    aEntry.mAllocator->HandleRequest(
                      aFrom, aRequest, covers(kUpstream, kDomain), now));
      },
      [&](const SendPermitResponse& aResponse) {
        const PermitResult result =
          aEntry.mClient.HandleResponse(aResponse, now);
        if (result.mReturn) {
          Send(aEntry.mIndex, aFrom, *result.mReturn);
        }
        if (!result.mDecision) {
          return;
        }
        if (result.mDecision->mOutcome == PermitOutcome::kGranted) {
          mUsedGrants.push_back(
            mGrantedAt.at({ aEntry.mIndex, aResponse.mTag }));
          SendToUpstream(aEntry, result.mDecision->mReceipt);
        } else if (result.mDecision->mOutcome == PermitOutcome::kUnlimited) {
          aEntry.mLimits.End(kUpstream, result.mDecision->mRequestedAt);
          SendToUpstream(aEntry, std::nullopt);
        }
      },
      [&](const SendPermitReturn& aReturn) {
        aEntry.mAllocator->HandleReturn(aFrom, aReturn, now);
      } },
    aMessage);
}

PermitSimulation::Entry&
PermitSimulation::CoordinatorEntry()
{
  const auto epoch = mEpochs.find(mEpoch);
  const auto address = epoch == mEpochs.end()
                         ? std::nullopt
                         : epoch->second->CoordinatorOf(kUpstream, kDomain);
  Entry* const entry = address ? Find(*address) : nullptr;
  return entry == nullptr ? mEntries.front() : *entry;
}

void
PermitSimulation::Apply(const PermitIncident& aIncident)
{
  const auto restart = [this](std::size_t aIndex) {
    mEntries[aIndex].mProcess = 0;
    At(mNow + kRestartTime, [this, aIndex] { StartProcess(aIndex); });
  };
  const Duration until = mNow + aIncident.mFor;
  switch (aIncident.mFault) {
    case PermitFault::kCoordinatorRestarts:
      restart(CoordinatorEntry().mIndex);
      return;
    case PermitFault::kCoordinatorFreezes:
      CoordinatorEntry().mFrozenUntil = until;
      return;
    case PermitFault::kCoordinatorCutFromLeader:
      CoordinatorEntry().mCutFromLeaderUntil = until;
      return;
    case PermitFault::kSplit:
      mSplitUntil = until;
      return;
    case PermitFault::kLeaderLost:
      mLeaderGoneUntil = until;
      return;
    case PermitFault::kMessagesLost:
      mLossUntil = until;
      return;
    case PermitFault::kEntriesRestart:
      for (std::size_t i = 0; i < mEntries.size(); i += 10) {
        restart(i);
      }
      return;
    case PermitFault::kLimitChanges:
      mLimitFrom[mNow] = mOptions.mLimit * aIncident.mFactor;
      return;
  }
}

double
PermitSimulation::LimitAt(Duration aAt) const
{
  return std::prev(mLimitFrom.upper_bound(aAt))->second;
}

double
PermitSimulation::HighestLimit(Duration aFrom, Duration aTo) const
{
  double highest = LimitAt(aFrom);
  for (auto change = mLimitFrom.upper_bound(aFrom);
       change != mLimitFrom.end() && change->first <= aTo;
       ++change) {
    highest = std::max(highest, change->second);
  }
  return highest;
}

// A changed limit is known with the first response after the change, and a
// response may be overtaken by later ones.
double
PermitSimulation::HighestStated(Duration aFrom, Duration aTo) const
{
  auto first = mStated.lower_bound(aFrom - kMaxReordering);
  if (first != mStated.begin()) {
    --first;
  }
  double highest = 0.0;
  for (; first != mStated.end() && first->first <= aTo; ++first) {
    highest = std::max(highest, first->second);
  }
  return highest;
}

void
PermitSimulation::EvaluateGrants(PermitSimulationResult& aResult) const
{
  std::vector<Duration> grants = mUsedGrants;
  std::sort(grants.begin(), grants.end());
  for (auto first = grants.begin(); first != grants.end(); ++first) {
    const auto end =
      std::upper_bound(first, grants.end(), *first + kGrantWindow);
    const double limit = HighestStated(*first, *first + kGrantWindow);
    const double allowed = PermitBucket::Burst(limit) +
                           limit * static_cast<double>(kGrantWindow.count()) *
                             (1.0 + 2.0 * kClockDrift);
    const double ratio = static_cast<double>(end - first) / allowed;
    if (ratio > aResult.mWorstGrantRatio) {
      aResult.mWorstGrantRatio = ratio;
      aResult.mWorstGrantAt = *first;
    }
  }
}

// Windows in which the upstream states no limit at some moment are not checked.
PermitSimulationResult
PermitSimulation::Evaluate() const
{
  PermitSimulationResult result;
  const Duration start = kFirstStatement + kGrace;
  std::vector<Duration> counted;
  for (const Arrival& arrival : mArrivals) {
    if (arrival.mAt >= start) {
      ++result.mArrived;
      if (arrival.mWasTold) {
        counted.push_back(arrival.mAt);
      }
    }
  }
  std::sort(counted.begin(), counted.end());
  for (auto first = counted.begin(); first != counted.end(); ++first) {
    const Duration before = *first - kGrace;
    const bool alwaysLimited =
      LimitAt(before) > 0.0 &&
      std::none_of(mLimitFrom.upper_bound(before),
                   mLimitFrom.upper_bound(*first + kWindow),
                   [](const auto& aPair) { return aPair.second == 0.0; });
    if (!alwaysLimited) {
      continue;
    }
    const auto end = std::lower_bound(first, counted.end(), *first + kWindow);
    const double allowed =
      kAllowedFactor * HighestLimit(*first - kToldBefore, *first + kWindow) *
        static_cast<double>(kWindow.count()) +
      kAllowedExtra;
    const double ratio = static_cast<double>(end - first) / allowed;
    if (ratio > result.mWorstRatio) {
      result.mWorstRatio = ratio;
      result.mWorstAt = *first;
    }
  }
  for (Duration at = start; at < mOptions.mLength; at += milliseconds(100)) {
    result.mOffered += LimitAt(at) * 0.1;
  }
  result.mUnpermitted = static_cast<std::size_t>(
    std::count_if(mUnpermitted.begin(), mUnpermitted.end(), [&](Duration aAt) {
      return aAt >= start;
    }));
  EvaluateGrants(result);
  return result;
}

PermitSimulationResult
PermitSimulation::Run()
{
  for (std::size_t i = 0; i < mEntries.size(); ++i) {
    StartProcess(i);
  }
  PlanEpochs();
  for (const PermitIncident& incident : mIncidents) {
    At(incident.mAt, [this, incident] { Apply(incident); });
  }
  while (!mEvents.empty() && mEvents.begin()->first.first < mOptions.mLength) {
    auto event = mEvents.extract(mEvents.begin());
    mNow = event.key().first;
    event.mapped()();
  }
  return Evaluate();
}

} // namespace peridotspool::limits
