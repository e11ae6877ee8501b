#pragma once

#include "peridotspool/ledger/Ledger.h"
#include "peridotspool/ledger/Placement.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace peridotspool::ledger {

/** How badly the test network treats messages. */
struct NetworkFaults
{
  double mLoss = 0;
  double mDuplicate = 0;
  Duration mMinDelay = std::chrono::microseconds(500);
  Duration mMaxDelay = std::chrono::microseconds(1500);
};

/** Several ledgers over an in-memory network, on one simulated clock. */
class TestCluster
{
public:
  explicit TestCluster(LedgerOptions aOptions = {}, std::uint64_t aSeed = 1);

  /** Adds a member to the next epoch's list. */
  MemberId Join(const std::string& aDomain);
  void Drain(MemberId aMember);
  void Remove(MemberId aMember);
  /** Makes the next epoch; those in `aSkipped` never hear of it. */
  void Publish(const std::set<MemberId>& aSkipped = {});

  /** The process is gone, with all that it held. */
  void Kill(MemberId aMember);
  /** The process stands still; what is sent to it waits. */
  void Freeze(MemberId aMember);
  void Wake(MemberId aMember);
  /** Nothing passes to or from it, member lists included. */
  void Cut(MemberId aMember);
  void Mend(MemberId aMember);
  void SetFaults(const NetworkFaults& aFaults) { mFaults = aFaults; }

  CallId Propose(MemberId aMember,
                 const RequestKey& aKey,
                 const Operation& aOperation);
  /** Returns the answer, or null while there is none. */
  const OperationAnswer* AnswerTo(CallId aCall) const;
  /** Proposes and runs until the answer is there. */
  OperationAnswer Do(MemberId aMember,
                     const RequestKey& aKey,
                     const Operation& aOperation);
  void Run(Duration aFor);

  const Placement& Places() const { return mPlacement; }
  const membership::EpochMap& Map() const { return mMap; }
  LedgerCounters CountersOf(MemberId aMember) const;
  bool IsAlive(MemberId aMember) const { return mNodes.contains(aMember); }
  std::vector<MemberId> Alive() const;
  const std::vector<OrphanedEffect>& OrphansAt(MemberId aMember);
  TimePoint Now() const { return mNow; }
  std::uint64_t MessagesSent() const { return mMessagesSent; }
  std::uint64_t BytesSent() const { return mBytesSent; }
  /** Calls answered more than once; must stay empty. */
  const std::vector<CallId>& AnsweredTwice() const { return mAnsweredTwice; }

private:
  struct Delivery
  {
    MemberId mFrom;
    /** Either a message of another ledger, or a member list. */
    std::optional<std::string> mBytes;
    std::optional<membership::EpochMap> mMap;
  };

  struct Node
  {
    Ledger mLedger;
    bool mFrozen = false;
    bool mCut = false;
    std::vector<Delivery> mWaiting;
    std::vector<OrphanedEffect> mOrphans;
  };

  void Step(MemberId aMember, const Event& aEvent);
  void Carry(MemberId aFrom, const SendEffect& aSend);
  void Schedule(MemberId aTo, Delivery aDelivery);
  void Deliver(MemberId aTo, const Delivery& aDelivery);
  bool Chance(double aProbability);

  LedgerOptions mOptions;
  std::mt19937_64 mRandom;
  NetworkFaults mFaults;
  TimePoint mNow{ std::chrono::hours(1) };
  TimePoint mNextTick = mNow;
  std::uint64_t mNextMember = 1;
  std::uint64_t mNextCall = 1;
  membership::EpochMap mMap;
  Placement mPlacement;
  std::map<MemberId, Node> mNodes;
  std::multimap<TimePoint, std::pair<MemberId, Delivery>> mInFlight;
  std::map<CallId, OperationAnswer> mAnswers;
  std::vector<CallId> mAnsweredTwice;
  std::uint64_t mMessagesSent = 0;
  std::uint64_t mBytesSent = 0;
};

/** Returns a request key that falls into the shard. */
RequestKey
KeyIn(ShardId aShard, int aNumber = 0);

/** Returns a plain accept of a request that may not run twice. */
AcceptOperation
AcceptOrder(MemberId aExecutor, bool aIdempotent = false);

IntendOperation
IntendTo(const std::string& aUpstream,
         std::uint64_t aAttempt = 1,
         std::uint64_t aTurn = 1);

FinishOperation
FinishWith(OutcomeKind aKind,
           const std::string& aBody,
           std::uint64_t aTurn = 1);

} // namespace peridotspool::ledger
