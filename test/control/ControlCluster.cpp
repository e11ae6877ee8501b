#include "control/ControlCluster.h"

#include "peridotspool/base/Overloaded.h"
#include "peridotspool/wire/Codec.h"

#include <algorithm>

namespace peridotspool::control {

namespace {

constexpr Duration kTickPeriod = std::chrono::milliseconds(20);
constexpr std::uint16_t kControlPort = 7000;
constexpr std::uint16_t kEntryPort = 8000;

} // namespace

ControlCluster::ControlCluster(std::uint64_t aSeed)
  : mRandom(aSeed)
  , mNow(std::chrono::seconds(100))
{
}

void
ControlCluster::StartControls(int aCount)
{
  std::vector<Address> all;
  for (int number = 1; number <= aCount; ++number) {
    all.push_back({ "control-" + std::to_string(number), kControlPort });
  }
  for (const Address& address : all) {
    ClusterProcess& process = mProcesses[address.mHost];
    process.mName = address.mHost;
    process.mAddress = address;
    process.mOptions.mName = ReplicaName(address.mHost);
    process.mOptions.mAddress = address;
    process.mOptions.mSeeds = all;
    if (mTune) {
      mTune(process.mOptions);
    }
  }
  ClusterProcess& first = mProcesses["control-1"];
  first.mDisk = InitialState(SystemId(77),
                             ReplicaInfo{ .mId = {},
                                          .mName = first.mOptions.mName,
                                          .mDomain = {},
                                          .mAddress = first.mAddress,
                                          .mNonce = {},
                                          .mVoter = true });
  for (const Address& address : all) {
    StartControl(mProcesses[address.mHost]);
  }
  RunUntil([&] { return Voters() == std::min<std::size_t>(aCount, 3); });
}

void
ControlCluster::MakeSeeded(const std::string& aName)
{
  ClusterProcess& process = mProcesses[aName];
  process.mName = aName;
  process.mAddress = { aName, kControlPort };
  process.mOptions.mName = ReplicaName(ToText(process.mAddress));
  process.mOptions.mAddress = process.mAddress;
  process.mOptions.mSeeds = mFounders;
  process.mOptions.mMaxLearners = 16;
  process.mOptions.mReplaceSilentAfter = std::chrono::seconds(3);
  if (mTune) {
    mTune(process.mOptions);
  }
}

void
ControlCluster::StartSeeded(int aCount, int aFounders)
{
  for (int number = 1; number <= aFounders; ++number) {
    mFounders.push_back({ "control-" + std::to_string(number), kControlPort });
  }
  for (int number = 1; number <= aCount; ++number) {
    const std::string name = "control-" + std::to_string(number);
    MakeSeeded(name);
    ClusterProcess& process = mProcesses[name];
    process.mDisk = FoundingState(process.mAddress, mFounders);
    StartControl(process);
  }
}

void
ControlCluster::AddSeeded(const std::string& aName)
{
  MakeSeeded(aName);
  StartControl(mProcesses[aName]);
}

void
ControlCluster::AddEntry(const std::string& aName, const std::string& aDomain)
{
  ClusterProcess& process = mProcesses[aName];
  process.mName = aName;
  process.mAddress = { aName, kEntryPort };
  process.mOptions.mDomain = FailureDomain(aDomain);
  StartEntry(process);
}

void
ControlCluster::StartControl(ClusterProcess& aProcess)
{
  ++aProcess.mIncarnation;
  aProcess.mRunning = true;
  aProcess.mFrozen = false;
  aProcess.mBacklog.clear();
  aProcess.mUnsynced.clear();
  aProcess.mOptions.mNonce = JoinNonce(++mLastNonce);
  aProcess.mOptions.mConsensus.mRandomSeed = mRandom();
  aProcess.mNode.emplace(aProcess.mOptions, aProcess.mDisk, LocalNow(aProcess));
  Tick(aProcess.mName);
}

void
ControlCluster::StartEntry(ClusterProcess& aProcess)
{
  ++aProcess.mIncarnation;
  aProcess.mRunning = true;
  aProcess.mFrozen = false;
  aProcess.mBacklog.clear();
  aProcess.mSettingsSeen.clear();
  aProcess.mEpochsSeen.clear();
  aProcess.mWasRemoved = false;
  const membership::EntryNonce nonce(++mLastNonce);
  mNonces[nonce] = aProcess.mName;
  membership::ControlSessionOptions options;
  options.mNonce = nonce;
  options.mProfile = { .mName = EntryName(aProcess.mName),
                       .mRegion = Region("attica"),
                       .mDomain = aProcess.mOptions.mDomain,
                       .mPeerAddress = aProcess.mAddress,
                       .mCallerAddress = aProcess.mAddress };
  for (const auto& [name, other] : mProcesses) {
    if (other.mAddress.mPort == kControlPort) {
      options.mControls.push_back(other.mAddress);
    }
  }
  aProcess.mSession.emplace(options);
  Tick(aProcess.mName);
}

TimePoint
ControlCluster::LocalNow(const ClusterProcess& aProcess) const
{
  const auto real = static_cast<double>(mNow.time_since_epoch().count());
  return TimePoint(aProcess.mOffset +
                   Duration(static_cast<Duration::rep>(real * aProcess.mRate)));
}

void
ControlCluster::Schedule(const std::string& aProcess,
                         Duration aAfter,
                         std::function<void()> aAction)
{
  mQueue.push(Scheduled{ mNow + aAfter,
                         ++mOrder,
                         aProcess,
                         mProcesses[aProcess].mIncarnation,
                         std::move(aAction) });
}

void
ControlCluster::Run(Duration aFor)
{
  const TimePoint end = mNow + aFor;
  while (!mQueue.empty() && mQueue.top().mAt <= end) {
    RunNext();
  }
  mNow = end;
}

bool
ControlCluster::RunUntil(const std::function<bool()>& aCondition,
                         Duration aTimeout)
{
  const TimePoint end = mNow + aTimeout;
  while (!aCondition()) {
    if (mQueue.empty() || mNow >= end) {
      return false;
    }
    RunNext();
  }
  return true;
}

void
ControlCluster::RunNext()
{
  const Scheduled next = mQueue.top();
  mQueue.pop();
  mNow = std::max(mNow, next.mAt);
  ClusterProcess& process = mProcesses[next.mProcess];
  if (!process.mRunning || process.mIncarnation != next.mIncarnation) {
    return;
  }
  if (process.mFrozen) {
    process.mBacklog.push_back(next.mAction);
    return;
  }
  next.mAction();
  CheckAlways();
}

void
ControlCluster::Tick(const std::string& aName)
{
  ClusterProcess& process = mProcesses[aName];
  if (process.mNode) {
    StepNode(process, TickEvent{});
  } else {
    StepSession(process, membership::SessionTickEvent{});
  }
  Schedule(aName, kTickPeriod, [this, aName] { Tick(aName); });
}

std::string
ControlCluster::NameAt(const Address& aAddress) const
{
  return aAddress.mHost;
}

void
ControlCluster::Deliver(const std::string& aFrom,
                        const std::string& aTo,
                        std::function<void()> aAction)
{
  std::uniform_real_distribution<double> chance(0.0, 1.0);
  const int copies = chance(mRandom) < mFaults.mDuplication ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    const auto span = (mFaults.mMaxDelay - mFaults.mMinDelay).count() + 1;
    const Duration delay =
      mFaults.mMinDelay + Duration(static_cast<Duration::rep>(
                            mRandom() % static_cast<std::uint64_t>(span)));
    const bool lost = chance(mRandom) < mFaults.mLoss;
    if (lost || mCutLinks.contains({ aFrom, aTo }) ||
        mCut.contains(aFrom) != mCut.contains(aTo)) {
      continue;
    }
    Schedule(aTo, delay, aAction);
  }
}

void
ControlCluster::StepNode(ClusterProcess& aProcess, const ControlEvent& aEvent)
{
  const ControlEffects effects =
    aProcess.mNode->Step(aEvent, LocalNow(aProcess));
  for (const ControlEffect& effect : effects) {
    CarryOut(aProcess, effect);
  }
  CheckState(aProcess.mNode->State());
}

void
ControlCluster::CarryOut(ClusterProcess& aProcess, const ControlEffect& aEffect)
{
  const std::string from = aProcess.mName;
  const auto toReplica = [&](const ToReplicaEffect& aSend) {
    const std::string to = NameAt(aSend.mTo);
    mLargestMessage =
      std::max(mLargestMessage, wire::FieldsSize(aSend.mEnvelope));
    Deliver(from, to, [this, to, envelope = aSend.mEnvelope] {
      StepNode(mProcesses[to], FromReplicaEvent{ envelope });
    });
  };
  const auto toEntry = [&](const ToEntryEffect& aSend) {
    const std::string to = mNonces[aSend.mTo];
    const int incarnation = mProcesses[to].mIncarnation;
    Deliver(from, to, [this, to, incarnation, message = aSend.mMessage] {
      if (mProcesses[to].mIncarnation == incarnation) {
        StepSession(mProcesses[to], membership::FromControlEvent{ message });
      }
    });
  };
  const auto persist = [&](const PersistEffect& aWrite) {
    aProcess.mUnsynced.push_back(aWrite);
    const auto longest = static_cast<std::uint64_t>(mFaults.mMaxSync.count());
    Schedule(from,
             Duration(static_cast<Duration::rep>(mRandom() % longest)),
             [this, from] { SyncNext(from); });
  };
  std::visit(Overloaded{ toReplica,
                         toEntry,
                         persist,
                         [&](const ResponseEffect& aAnswer) {
                           mAnswers[aAnswer.mCall] = aAnswer.mAnswer;
                         },
                         [&](const NoticeEffect& aNotice) {
                           mNotices.push_back(aNotice);
                         } },
             aEffect);
}

void
ControlCluster::SyncNext(const std::string& aName)
{
  ClusterProcess& process = mProcesses[aName];
  if (process.mUnsynced.empty()) {
    return;
  }
  const PersistEffect write = process.mUnsynced.front();
  process.mUnsynced.pop_front();
  ApplyPersist(process.mDisk, write);
  StepNode(process, SyncedEvent{ write.mToken });
}

void
ControlCluster::StepSession(ClusterProcess& aProcess,
                            const membership::ControlSessionEvent& aEvent)
{
  const auto effects = aProcess.mSession->Step(aEvent, LocalNow(aProcess));
  for (const auto& effect : effects) {
    CarryOut(aProcess, effect);
  }
}

void
ControlCluster::CarryOut(ClusterProcess& aProcess,
                         const membership::ControlSessionEffect& aEffect)
{
  const std::string from = aProcess.mName;
  const auto toControl = [&](const membership::ToControlEffect& aSend) {
    const std::string to = NameAt(aSend.mTo);
    Deliver(from, to, [this, to, envelope = aSend.mEnvelope] {
      StepNode(mProcesses[to], FromEntryEvent{ envelope });
    });
  };
  const auto toRelay = [&](const membership::ToRelayEffect& aSend) {
    const std::string relay = NameAt(aSend.mRelay);
    ++mRelayed[relay];
    Deliver(from, relay, [this, relay, envelope = aSend.mEnvelope] {
      StepNode(mProcesses[relay], FromEntryEvent{ envelope });
      for (auto& [name, process] : mProcesses) {
        if (process.mNode && name != relay) {
          Deliver(relay, name, [this, to = name, envelope] {
            StepNode(mProcesses[to], FromEntryEvent{ envelope });
          });
        }
      }
    });
  };
  const auto settings = [&](const membership::NewSettingsEffect& aSettings) {
    if (!aProcess.mSettingsSeen.empty() &&
        aProcess.mSettingsSeen.back().first >= aSettings.mRevision) {
      mProblems.push_back(from + " took settings that are not newer");
    }
    aProcess.mSettingsSeen.emplace_back(aSettings.mRevision, aSettings.mText);
    const auto known = mTexts.find(aSettings.mRevision);
    if (known == mTexts.end() || known->second != aSettings.mText) {
      mProblems.push_back(from + " took settings that were not committed");
    }
    StepSession(aProcess,
                membership::SettingsInForceEvent{ aSettings.mRevision });
  };
  std::visit(
    Overloaded{
      toControl,
      toRelay,
      settings,
      [&](const membership::NewEpochEffect& aEpoch) {
        aProcess.mEpochsSeen.push_back(aEpoch.mMap);
      },
      [&](const membership::RemovedEffect&) { aProcess.mWasRemoved = true; },
      [&](const membership::DrainEffect&) { aProcess.mDrainWanted = true; },
      [](const membership::JoinedEffect&) {} },
    aEffect);
}

void
ControlCluster::CheckAlways()
{
  std::vector<std::string> leaders;
  for (const auto& [name, process] : mProcesses) {
    if (process.mSession && process.mRunning) {
      CheckEntry(process);
    }
    if (process.mRunning && process.mNode &&
        process.mNode->Leads(LocalNow(process))) {
      leaders.push_back(name);
    }
  }
  if (leaders.size() > 1) {
    mProblems.push_back(leaders[0] + " and " + leaders[1] +
                        " hold the lease at the same moment");
  }
}

// An entry accepts no work under settings that were replaced longer ago than
// the grace period, and no member's lease is valid once a list without it is
// committed.
void
ControlCluster::CheckEntry(const ClusterProcess& aProcess)
{
  constexpr Duration kGrace = std::chrono::milliseconds(4100);
  const membership::ControlSession& session = *aProcess.mSession;
  const TimePoint now = LocalNow(aProcess);
  const auto next = mCommittedAt.find(session.InForceRevision().Next());
  if (session.MayServe(now) == membership::ServeVerdict::kMayServe &&
      next != mCommittedAt.end() && mNow - next->second > kGrace) {
    mProblems.push_back(aProcess.mName + " serves by old settings");
  }
  if (aProcess.mDrainWanted || mMaps.empty() || !session.LeaseHolds(now)) {
    return;
  }
  const auto& newest = mMaps.rbegin()->second.mMembers;
  const bool member =
    std::any_of(newest.begin(), newest.end(), [&](const auto& aMember) {
      return aMember.mId == session.Member();
    });
  if (!member) {
    mProblems.push_back(aProcess.mName + " has a lease without being a member");
  }
}

void
ControlCluster::CheckState(const MachineState& aState)
{
  const auto& settings = aState.mSettings;
  mCommittedAt.try_emplace(settings.mRevision, mNow);
  const auto text = mTexts.try_emplace(settings.mRevision, settings.mText);
  if (text.first->second != settings.mText) {
    mProblems.push_back("two texts for revision " +
                        std::to_string(settings.mRevision.Value()));
  }
  const auto& current = aState.mMembership.mCurrent;
  const auto map = mMaps.try_emplace(current.mEpoch, current);
  if (map.first->second != current) {
    mProblems.push_back("two member lists for epoch " +
                        std::to_string(current.mEpoch.Value()));
  }
}

} // namespace peridotspool::control
