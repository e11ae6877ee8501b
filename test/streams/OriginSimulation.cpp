#include "streams/OriginSimulation.h"

#include <utility>

namespace peridotspool::streams {

namespace {

using std::chrono::milliseconds;

constexpr Duration kStep = milliseconds(1);
constexpr Duration kTick = milliseconds(50);
constexpr Duration kFirstEventWait = milliseconds(30);
/** Rules apply to entries that had no fault for this long. */
constexpr Duration kContact = milliseconds(3000);
constexpr Duration kRestart = milliseconds(500);
constexpr Duration kLifetime = std::chrono::seconds(60);
constexpr double kStreamsPerSecond = 60.0;
constexpr double kForgedPerSecond = 5.0;
constexpr double kRollsPerSecond = 0.3;
constexpr std::uint64_t kLostInThousand = 10;
const CustomerName kCustomer("owner");
const CustomerName kOtherCustomer("other");

} // namespace

struct OriginSimulation::Entry
{
  Address mAddress;
  FailureDomain mDomain;
  MemberId mMember;
  /** Counts its processes. */
  std::size_t mLife = 0;
  bool mIsRunning = false;
  TimePoint mFrozenUntil;
  TimePoint mCutUntil;
  TimePoint mFaultUntil;
  std::function<void(const Address&, gateway::PeerMessage)> mSend;
  std::function<TimePoint()> mClock;
  observe::Counters mCounters;
  gateway::UpstreamSelector mUpstreams{ {} };
  std::unique_ptr<gateway::StreamOrigins> mOrigins;
};

struct OriginSimulation::Stream
{
  std::string mId;
  StreamOrigin mOrigin;
};

OriginSimulation::OriginSimulation(const OriginSimulationOptions& aOptions)
  : mOptions(aOptions)
  , mRandom(aOptions.mSeed)
{
  for (std::size_t i = 0; i < mOptions.mEntries; ++i) {
    auto entry = std::make_unique<Entry>();
    entry->mAddress = { "10.0.0." + std::to_string(i), 7600 };
    entry->mDomain = FailureDomain("d" + std::to_string(i % mOptions.mDomains));
    mEntries.push_back(std::move(entry));
    StartProcess(i);
  }
  for (std::size_t i = 0; i < mOptions.mEntries; ++i) {
    ApplyMembers(i, mEntries[i]->mLife);
  }
}

OriginSimulation::~OriginSimulation() = default;

void
OriginSimulation::At(TimePoint aTime, std::function<void()> aDo)
{
  mEvents.emplace(aTime, std::move(aDo));
}

bool
OriginSimulation::Chance(double aPerSecond)
{
  constexpr std::uint64_t kMillion = 1000000;
  const double perStep =
    aPerSecond * std::chrono::duration<double>(kStep).count();
  return static_cast<double>(Below(kMillion)) < perStep * kMillion;
}

OriginSimulationResult
OriginSimulation::Run(Duration aFor)
{
  const TimePoint end = mNow + aFor;
  while (mNow < end) {
    Step();
  }
  return mResult;
}

void
OriginSimulation::Step()
{
  mNow += kStep;
  while (!mEvents.empty() && mEvents.begin()->first <= mNow) {
    const auto event = std::move(mEvents.begin()->second);
    mEvents.erase(mEvents.begin());
    event();
  }
  if ((mNow.time_since_epoch() % kTick) == Duration(0)) {
    for (std::size_t i = 0; i < mEntries.size(); ++i) {
      if (IsServing(i)) {
        mEntries[i]->mOrigins->Tick();
      }
    }
  }
  if (Chance(mOptions.mFaultsPerSecond)) {
    Disturb();
  }
  if (Chance(kRollsPerSecond)) {
    RollVersion();
  }
  if (Chance(kStreamsPerSecond)) {
    BeginStream();
  }
  if (Chance(kForgedPerSecond)) {
    LookUpForged();
  }
}

void
OriginSimulation::StartProcess(std::size_t aEntry)
{
  Entry& entry = *mEntries[aEntry];
  ++entry.mLife;
  entry.mIsRunning = true;
  entry.mMember = MemberId(++mLastMember);
  entry.mClock = [this] { return mNow; };
  entry.mSend = [this, aEntry](const Address& aTo,
                               const gateway::PeerMessage& aMessage) {
    Send(aEntry, aTo, aMessage);
  };
  entry.mOrigins = std::make_unique<gateway::StreamOrigins>(
    gateway::StreamOriginsOptions{ .mSendToEntry = entry.mSend,
                                   .mNow = entry.mClock,
                                   .mCounters = entry.mCounters,
                                   .mUpstreams = entry.mUpstreams });
  entry.mOrigins->Start(entry.mAddress, Region("r"), mRandom());
}

void
OriginSimulation::Send(std::size_t aFrom,
                       const Address& aTo,
                       const gateway::PeerMessage& aMessage)
{
  const Entry& from = *mEntries[aFrom];
  if (mNow < from.mCutUntil || Below(1000) < kLostInThousand) {
    return;
  }
  for (std::size_t i = 0; i < mEntries.size(); ++i) {
    const Entry& to = *mEntries[i];
    if (to.mAddress == aTo && to.mIsRunning) {
      At(mNow + milliseconds(1 + Below(4)),
         [this, i, life = to.mLife, sender = from.mAddress, aMessage] {
           Deliver(i, life, sender, aMessage);
         });
    }
  }
}

void
OriginSimulation::Deliver(std::size_t aTo,
                          std::size_t aLife,
                          const Address& aFrom,
                          const gateway::PeerMessage& aMessage)
{
  Entry& to = *mEntries[aTo];
  if (!to.mIsRunning || to.mLife != aLife || mNow < to.mCutUntil) {
    return;
  }
  if (mNow < to.mFrozenUntil) {
    At(to.mFrozenUntil, [=, this] { Deliver(aTo, aLife, aFrom, aMessage); });
    return;
  }
  to.mOrigins->HandlePeerMessage(aFrom, aMessage);
}

// Each entry learns of a change at a time of its own.
void
OriginSimulation::PublishMembers()
{
  for (std::size_t i = 0; i < mEntries.size(); ++i) {
    At(mNow + milliseconds(20 + Below(280)),
       [this, i, life = mEntries[i]->mLife] { ApplyMembers(i, life); });
  }
}

void
OriginSimulation::ApplyMembers(std::size_t aEntry, std::size_t aLife)
{
  Entry& entry = *mEntries[aEntry];
  if (!entry.mIsRunning || entry.mLife != aLife) {
    return;
  }
  const TimePoint hindered = std::max(entry.mCutUntil, entry.mFrozenUntil);
  if (mNow < hindered) {
    At(hindered, [=, this] { ApplyMembers(aEntry, aLife); });
    return;
  }
  std::vector<Replica> members;
  for (const auto& one : mEntries) {
    members.push_back({ .mMember = one->mMember,
                        .mAddress = one->mAddress,
                        .mRegion = Region("r"),
                        .mDomain = one->mDomain });
  }
  entry.mOrigins->SetMembers(members);
}

void
OriginSimulation::Kill(std::size_t aEntry)
{
  Entry& entry = *mEntries[aEntry];
  if (!entry.mIsRunning) {
    return;
  }
  entry.mIsRunning = false;
  entry.mFaultUntil = mNow + kRestart;
  At(mNow + kRestart, [this, aEntry] {
    StartProcess(aEntry);
    PublishMembers();
  });
}

void
OriginSimulation::Disturb()
{
  const std::size_t target = Below(mEntries.size());
  Entry& entry = *mEntries[target];
  const TimePoint until = mNow + milliseconds(300 + Below(3000));
  switch (Below(8)) {
    case 0:
    case 1:
      entry.mFrozenUntil = entry.mFaultUntil = until;
      return;
    case 2:
    case 3:
      entry.mCutUntil = entry.mFaultUntil = until;
      return;
    case 4:
      // A failure domain at once.
      for (std::size_t i = 0; i < mEntries.size(); ++i) {
        if (mEntries[i]->mDomain == entry.mDomain) {
          Kill(i);
        }
      }
      return;
    default:
      Kill(target);
  }
}

void
OriginSimulation::RollVersion()
{
  mVersions.push_back("v" + std::to_string(++mLastVersion));
  if (mVersions.size() > 3) {
    mVersions.erase(mVersions.begin());
  }
}

bool
OriginSimulation::IsServing(std::size_t aEntry) const
{
  const Entry& entry = *mEntries[aEntry];
  return entry.mIsRunning && mNow >= entry.mFrozenUntil;
}

bool
OriginSimulation::IsInTouch(std::size_t aEntry) const
{
  return IsServing(aEntry) && mNow >= mEntries[aEntry]->mFaultUntil + kContact;
}

std::optional<std::size_t>
OriginSimulation::PickServing()
{
  const std::size_t entry = Below(mEntries.size());
  return IsServing(entry) ? std::optional(entry) : std::nullopt;
}

void
OriginSimulation::BeginStream()
{
  const auto entry = PickServing();
  if (!entry) {
    return;
  }
  const Stream stream{ .mId = std::to_string(++mLastStream),
                       .mOrigin = { .mService = ServiceName("s"),
                                    .mVersion = VersionName(
                                      mVersions[Below(mVersions.size())]),
                                    .mUpstream = UpstreamName("u") } };
  const std::size_t life = mEntries[*entry]->mLife;
  const auto sent = std::make_shared<bool>(false);
  const auto sendFirst = [this, stream, sent] {
    if (!std::exchange(*sent, true)) {
      OnFirstEvent(stream);
    }
  };
  gateway::StreamOrigins& origins = *mEntries[*entry]->mOrigins;
  const std::uint64_t tag = origins.Record(
    StreamKeyOf(kCustomer, stream.mId), stream.mOrigin, kLifetime, sendFirst);
  At(mNow + (tag == 0 ? Duration(0) : kFirstEventWait),
     [this, entry = *entry, life, sent, sendFirst] {
       if (!*sent && mEntries[entry]->mLife == life && IsServing(entry)) {
         ++mResult.mUnconfirmed;
         sendFirst();
       }
     });
}

// Its caller takes the stream up after a while, wherever it gets to.
void
OriginSimulation::OnFirstEvent(const Stream& aStream)
{
  ++mResult.mBegun;
  At(mNow + milliseconds(20 + Below(12000)),
     [this, aStream] { Resume(aStream); });
}

void
OriginSimulation::Resume(const Stream& aStream)
{
  const auto entry = PickServing();
  if (!entry) {
    return;
  }
  const bool isOwed = IsInTouch(*entry);
  mResult.mAsked += isOwed ? 1 : 0;
  mEntries[*entry]->mOrigins->LookUp(
    StreamKeyOf(kCustomer, aStream.mId),
    [this, isOwed, aStream](const OriginAnswer& aAnswer) {
      if (aAnswer.mKnowledge == OriginKnowledge::kKnown) {
        mResult.mResumed += isOwed ? 1 : 0;
        mResult.mMixed +=
          aAnswer.mOrigin.IsCompatibleWith(aStream.mOrigin) ? 0 : 1;
      }
    });
}

void
OriginSimulation::LookUpForged()
{
  const auto entry = PickServing();
  if (!entry || mLastStream == 0) {
    return;
  }
  const bool isOwn = Below(2) == 0;
  const std::string name =
    (isOwn ? "none" : "") + std::to_string(1 + Below(mLastStream));
  mEntries[*entry]->mOrigins->LookUp(
    StreamKeyOf(isOwn ? kCustomer : kOtherCustomer, name),
    [this](const OriginAnswer& aAnswer) {
      mResult.mForgedFound +=
        aAnswer.mKnowledge == OriginKnowledge::kKnown ? 1 : 0;
    });
}

} // namespace peridotspool::streams
