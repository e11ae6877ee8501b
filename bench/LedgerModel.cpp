#include "LedgerModel.h"

#include "peridotspool/wire/Codec.h"

#include <algorithm>
#include <utility>

namespace peridotspool::bench {

namespace {

constexpr Duration kTick = std::chrono::milliseconds(10);
constexpr Duration kStepWidth = std::chrono::milliseconds(1);
constexpr Duration kLongestSettle = std::chrono::seconds(30);

} // namespace

LedgerModel::LedgerModel(const LedgerModelOptions& aOptions)
  : mOptions(aOptions)
{
  for (std::uint64_t i = 0; i < aOptions.mMembers; ++i) {
    Join(FailureDomain("domain-" + std::to_string(i % aOptions.mDomains)));
  }
  Publish();
  Settle();
}

MemberId
LedgerModel::Join(const FailureDomain& aDomain)
{
  const MemberId id(mNextMember++);
  membership::Member member;
  member.mId = id;
  member.mDomain = aDomain;
  mMap.mMembers.push_back(member);
  mDomainOf[id] = aDomain;
  mLedgers.emplace(id, ledger::Ledger(id, mOptions.mLedger));
  return id;
}

void
LedgerModel::Publish()
{
  mMap.mEpoch = mMap.mEpoch.Next();
  mPlacement = ledger::Placement(mMap, mOptions.mLedger.mReplicas);
  for (const MemberId member : Alive()) {
    mInFlight.emplace(
      mNow + mOptions.mBetweenDomains,
      Arrival{ .mTo = member,
               .mEvent = ledger::EpochChangedEvent{ .mMap = mMap } });
  }
}

void
LedgerModel::Kill(MemberId aMember)
{
  mLedgers.erase(aMember);
}

void
LedgerModel::Replace(MemberId aMember)
{
  std::erase_if(mMap.mMembers, [&](const membership::Member& aEach) {
    return aEach.mId == aMember;
  });
  Join(mDomainOf.at(aMember));
  Publish();
}

CallId
LedgerModel::Propose(MemberId aMember,
                     const RequestKey& aKey,
                     const ledger::Operation& aOperation)
{
  const CallId call(mNextCall++);
  mCalls[call].mAsked = mNow;
  Step(aMember,
       ledger::ProposeEvent{
         .mCall = call, .mKey = aKey, .mOperation = aOperation });
  return call;
}

void
LedgerModel::Run(Duration aFor)
{
  const TimePoint end = mNow + aFor;
  while (true) {
    const TimePoint next = mInFlight.empty()
                             ? mNextTick
                             : std::min(mNextTick, mInFlight.begin()->first);
    if (next > end) {
      mNow = end;
      return;
    }
    mNow = next;
    if (next == mNextTick) {
      mNextTick += kTick;
      for (const MemberId member : Alive()) {
        Step(member, ledger::TickEvent());
      }
      continue;
    }
    const Arrival arrival = std::move(mInFlight.begin()->second);
    mInFlight.erase(mInFlight.begin());
    if (mLedgers.contains(arrival.mTo)) {
      Step(arrival.mTo, arrival.mEvent);
    }
  }
}

Duration
LedgerModel::Settle()
{
  const TimePoint begun = mNow;
  Run(mOptions.mBetweenDomains + kStepWidth);
  while (Sum(&ledger::LedgerCounters::mServedShards) != kShardCount &&
         mNow - begun < kLongestSettle) {
    Run(kStepWidth);
  }
  return mNow - begun;
}

std::vector<Duration>
LedgerModel::Latencies(ledger::Verdict aVerdict) const
{
  std::vector<Duration> latencies;
  for (const auto& [id, call] : mCalls) {
    if (call.mAnswered && call.mVerdict == aVerdict) {
      latencies.push_back(*call.mAnswered - call.mAsked);
    }
  }
  std::sort(latencies.begin(), latencies.end());
  return latencies;
}

std::vector<MemberId>
LedgerModel::Alive() const
{
  std::vector<MemberId> alive;
  alive.reserve(mLedgers.size());
  for (const auto& [id, ledger] : mLedgers) {
    alive.push_back(id);
  }
  return alive;
}

std::uint64_t
LedgerModel::Sum(std::uint64_t ledger::LedgerCounters::*aCounter) const
{
  std::uint64_t sum = 0;
  for (const auto& [id, ledger] : mLedgers) {
    sum += ledger.Counters().*aCounter;
  }
  return sum;
}

void
LedgerModel::Step(MemberId aMember, const ledger::Event& aEvent)
{
  for (const ledger::Effect& effect : mLedgers.at(aMember).Step(aEvent, mNow)) {
    if (const auto* send = std::get_if<ledger::SendEffect>(&effect)) {
      Send(aMember, *send);
    } else if (const auto* answer =
                 std::get_if<ledger::AnsweredEffect>(&effect)) {
      Call& call = mCalls[answer->mCall];
      call.mAnswered = mNow;
      call.mVerdict = answer->mAnswer.mVerdict;
    }
  }
}

void
LedgerModel::Send(MemberId aFrom, const ledger::SendEffect& aSend)
{
  ++mMessages;
  if (mOptions.mCountBytes) {
    const std::uint64_t bytes = wire::Encode(aSend.mMessage).size();
    mBytes += bytes;
    if (const auto* chunk =
          std::get_if<ledger::ChunkMessage>(&aSend.mMessage)) {
      mFillBytes += bytes;
      mFillRecords += chunk->mRecords.size();
    }
  }
  const bool within = mDomainOf[aFrom] == mDomainOf[aSend.mTo];
  Duration delay = within ? mOptions.mWithinDomain : mOptions.mBetweenDomains;
  delay += Duration(std::uniform_int_distribution<Duration::rep>(
    0, mOptions.mJitter.count())(mRandom));
  mInFlight.emplace(mNow + delay,
                    Arrival{ .mTo = aSend.mTo,
                             .mEvent = ledger::MessageEvent{
                               .mFrom = aFrom, .mMessage = aSend.mMessage } });
}

ledger::AcceptOperation
BenchAccept(MemberId aExecutor, std::size_t aBodyBytes)
{
  ledger::AcceptOperation accept;
  accept.mTerms.mService = ServiceName("changeover");
  accept.mTerms.mBody = std::string(aBodyBytes, 'b');
  accept.mExecutor = aExecutor;
  accept.mRemaining = std::chrono::seconds(60);
  return accept;
}

RequestKey
BenchKey(std::uint64_t aNumber)
{
  return { CustomerName("lefkada"),
           "2f1c7d3e-line-4-changeover-" + std::to_string(aNumber) };
}

} // namespace peridotspool::bench
