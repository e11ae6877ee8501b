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

/** Faults and delays of the simulated network. */
struct NetworkFaults
{
  double mLoss = 0;
  double mDuplicate = 0;
  Duration mMinDelay = std::chrono::microseconds(500);
  Duration mMaxDelay = std::chrono::microseconds(1500);
};

/**
 * Several ledgers connected by an in-memory network, with one simulated clock.
 */
class TestCluster
{
public:
  explicit TestCluster(LedgerOptions aOptions = {}, std::uint64_t aSeed = 1);

  /** Adds a member to the next epoch's list. */
  MemberId Join(const std::string& aDomain);
  void Drain(MemberId aMember);
  void Remove(MemberId aMember);
  /** Publishes the next epoch. The members in `aSkipped` never receive it. */
  void Publish(const std::set<MemberId>& aSkipped = {});

  /** Ends the process, with the loss of all its data. */
  void Kill(MemberId aMember);
  /** Suspends the process. Messages sent to it are queued. */
  void Freeze(MemberId aMember);
  void Wake(MemberId aMember);
  /**
   * Disconnects the member. It neither sends nor receives anything, including
   * member lists.
   */
  void Cut(MemberId aMember);
  void Mend(MemberId aMember);
  void SetFaults(const NetworkFaults& aFaults) { mFaults = aFaults; }

  CallId Propose(MemberId aMember,
                 const RequestKey& aKey,
                 const Operation& aOperation);
  /** Returns the answer, or null if there is none yet. */
  const OperationAnswer* AnswerTo(CallId aCall) const;
  /** Proposes the operation and runs until it is answered. */
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
  /** Calls that were answered more than once. Must remain empty. */
  const std::vector<CallId>& AnsweredTwice() const { return mAnsweredTwice; }

private:
  struct Delivery
  {
    MemberId mFrom;
    /** A message from another ledger; unset if mMap is delivered. */
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

/** Returns an accept of a request that is not idempotent by default. */
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
