#include "ledger/TestCluster.h"

#include "peridotspool/wire/Codec.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace peridotspool::ledger {

namespace {

constexpr Duration kTick = std::chrono::milliseconds(10);
constexpr Duration kLongestCall = std::chrono::seconds(30);

} // namespace

TestCluster::TestCluster(LedgerOptions aOptions, std::uint64_t aSeed)
  : mOptions(aOptions)
  , mRandom(aSeed)
{
}

MemberId
TestCluster::Join(const std::string& aDomain)
{
  const MemberId id(mNextMember++);
  membership::Member member;
  member.mId = id;
  member.mName = EntryName("entry-" + std::to_string(id.Value()));
  member.mDomain = FailureDomain(aDomain);
  mMap.mMembers.push_back(member);
  mNodes.emplace(id, Node{ .mLedger = Ledger(id, mOptions) });
  return id;
}

void
TestCluster::Drain(MemberId aMember)
{
  for (membership::Member& member : mMap.mMembers) {
    if (member.mId == aMember) {
      member.mState = membership::MemberState::kDraining;
    }
  }
}

void
TestCluster::Remove(MemberId aMember)
{
  std::erase_if(mMap.mMembers, [&](const membership::Member& aEach) {
    return aEach.mId == aMember;
  });
}

void
TestCluster::Publish(const std::set<MemberId>& aSkipped)
{
  mMap.mEpoch = mMap.mEpoch.Next();
  mPlacement = Placement(mMap, mOptions.mReplicas);
  for (const auto& [id, node] : mNodes) {
    if (!node.mCut && !aSkipped.contains(id)) {
      Schedule(id,
               { .mFrom = MemberId(), .mBytes = std::nullopt, .mMap = mMap });
    }
  }
}

void
TestCluster::Kill(MemberId aMember)
{
  mNodes.erase(aMember);
}

void
TestCluster::Freeze(MemberId aMember)
{
  mNodes.at(aMember).mFrozen = true;
}

void
TestCluster::Wake(MemberId aMember)
{
  Node& node = mNodes.at(aMember);
  node.mFrozen = false;
  for (const Delivery& delivery : std::exchange(node.mWaiting, {})) {
    Deliver(aMember, delivery);
  }
}

void
TestCluster::Cut(MemberId aMember)
{
  mNodes.at(aMember).mCut = true;
}

void
TestCluster::Mend(MemberId aMember)
{
  mNodes.at(aMember).mCut = false;
  Schedule(aMember,
           { .mFrom = MemberId(), .mBytes = std::nullopt, .mMap = mMap });
}

CallId
TestCluster::Propose(MemberId aMember,
                     const RequestKey& aKey,
                     const Operation& aOperation)
{
  const CallId call(mNextCall++);
  Step(aMember,
       ProposeEvent{ .mCall = call, .mKey = aKey, .mOperation = aOperation });
  return call;
}

const OperationAnswer*
TestCluster::AnswerTo(CallId aCall) const
{
  const auto found = mAnswers.find(aCall);
  return found == mAnswers.end() ? nullptr : &found->second;
}

OperationAnswer
TestCluster::Do(MemberId aMember,
                const RequestKey& aKey,
                const Operation& aOperation)
{
  const CallId call = Propose(aMember, aKey, aOperation);
  const TimePoint limit = mNow + kLongestCall;
  while (AnswerTo(call) == nullptr && mNow < limit) {
    Run(std::chrono::milliseconds(1));
  }
  const OperationAnswer* answer = AnswerTo(call);
  if (answer == nullptr) {
    throw std::runtime_error("a call was never answered");
  }
  return *answer;
}

void
TestCluster::Run(Duration aFor)
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
    mNow = std::max(mNow, next);
    if (next == mNextTick) {
      mNextTick += kTick;
      for (const MemberId id : Alive()) {
        if (!mNodes.at(id).mFrozen) {
          Step(id, TickEvent());
        }
      }
      continue;
    }
    const auto [to, delivery] = mInFlight.begin()->second;
    mInFlight.erase(mInFlight.begin());
    Deliver(to, delivery);
  }
}

LedgerCounters
TestCluster::CountersOf(MemberId aMember) const
{
  return mNodes.at(aMember).mLedger.Counters();
}

std::vector<MemberId>
TestCluster::Alive() const
{
  std::vector<MemberId> alive;
  for (const auto& [id, node] : mNodes) {
    alive.push_back(id);
  }
  return alive;
}

const std::vector<OrphanedEffect>&
TestCluster::OrphansAt(MemberId aMember)
{
  return mNodes.at(aMember).mOrphans;
}

void
TestCluster::Step(MemberId aMember, const Event& aEvent)
{
  Node& node = mNodes.at(aMember);
  for (const Effect& effect : node.mLedger.Step(aEvent, mNow)) {
    if (const auto* send = std::get_if<SendEffect>(&effect)) {
      Carry(aMember, *send);
    } else if (const auto* orphan = std::get_if<OrphanedEffect>(&effect)) {
      node.mOrphans.push_back(*orphan);
    } else if (const auto* answer = std::get_if<AnsweredEffect>(&effect)) {
      if (!mAnswers.emplace(answer->mCall, answer->mAnswer).second) {
        mAnsweredTwice.push_back(answer->mCall);
      }
    }
  }
}

void
TestCluster::Carry(MemberId aFrom, const SendEffect& aSend)
{
  std::string bytes = wire::Encode(aSend.mMessage);
  ++mMessagesSent;
  mBytesSent += bytes.size();
  if (mNodes.at(aFrom).mCut || Chance(mFaults.mLoss)) {
    return;
  }
  const Delivery delivery{ .mFrom = aFrom,
                           .mBytes = std::move(bytes),
                           .mMap = std::nullopt };
  if (Chance(mFaults.mDuplicate)) {
    Schedule(aSend.mTo, delivery);
  }
  Schedule(aSend.mTo, delivery);
}

void
TestCluster::Schedule(MemberId aTo, Delivery aDelivery)
{
  std::uniform_int_distribution<Duration::rep> delay(mFaults.mMinDelay.count(),
                                                     mFaults.mMaxDelay.count());
  mInFlight.emplace(mNow + Duration(delay(mRandom)),
                    std::pair{ aTo, std::move(aDelivery) });
}

void
TestCluster::Deliver(MemberId aTo, const Delivery& aDelivery)
{
  const auto found = mNodes.find(aTo);
  if (found == mNodes.end() || found->second.mCut) {
    return;
  }
  if (found->second.mFrozen) {
    found->second.mWaiting.push_back(aDelivery);
    return;
  }
  if (aDelivery.mMap) {
    Step(aTo, EpochChangedEvent{ .mMap = *aDelivery.mMap });
    return;
  }
  LastReason reason;
  std::optional<Message> message =
    wire::Decode<Message>(*aDelivery.mBytes, reason);
  if (!message) {
    throw std::runtime_error("the codec lost a message: " + reason.Text());
  }
  Step(
    aTo,
    MessageEvent{ .mFrom = aDelivery.mFrom, .mMessage = std::move(*message) });
}

bool
TestCluster::Chance(double aProbability)
{
  return aProbability > 0 &&
         std::uniform_real_distribution<double>(0, 1)(mRandom) < aProbability;
}

RequestKey
KeyIn(ShardId aShard, int aNumber)
{
  int found = 0;
  for (int i = 0;; ++i) {
    RequestKey key{ CustomerName("lefkada"), "order-" + std::to_string(i) };
    if (ShardOf(key) == aShard && found++ == aNumber) {
      return key;
    }
  }
}

AcceptOperation
AcceptOrder(MemberId aExecutor, bool aIdempotent)
{
  AcceptOperation accept;
  accept.mTerms.mService = ServiceName("crew-jobs");
  accept.mTerms.mBody = "{\"hoarding\": 7}";
  accept.mTerms.mIdempotent = aIdempotent;
  accept.mExecutor = aExecutor;
  accept.mRemaining = std::chrono::seconds(20);
  return accept;
}

IntendOperation
IntendTo(const std::string& aUpstream,
         std::uint64_t aAttempt,
         std::uint64_t aTurn)
{
  return { .mExecutorTurn = AttemptNumber(aTurn),
           .mIntent = { .mAttempt = AttemptNumber(aAttempt),
                        .mUpstream = UpstreamName(aUpstream),
                        .mIncarnation = Incarnation(1) } };
}

FinishOperation
FinishWith(OutcomeKind aKind, const std::string& aBody, std::uint64_t aTurn)
{
  FinishOperation finish;
  finish.mExecutorTurn = AttemptNumber(aTurn);
  finish.mOutcome.mKind = aKind;
  finish.mOutcome.mBody = aBody;
  return finish;
}

} // namespace peridotspool::ledger
