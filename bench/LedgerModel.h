#pragma once

#include "peridotspool/ledger/Ledger.h"
#include "peridotspool/ledger/Placement.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace peridotspool::bench {

/** What the model is to look like. */
struct LedgerModelOptions
{
  ledger::LedgerOptions mLedger;
  std::uint64_t mMembers = 8;
  std::uint64_t mDomains = 4;
  /** One way between two failure domains. */
  Duration mBetweenDomains = std::chrono::microseconds(500);
  Duration mWithinDomain = std::chrono::microseconds(100);
  /** Up to so much longer, at random for each message. */
  Duration mJitter{ 0 };
  /** Encode each message to count its bytes; costs time. */
  bool mCountBytes = false;
};

/**
 * A discrete event model of several ledgers: messages take their way's delay,
 * steps take no time. For latencies, message counts and bytes; not for faults.
 */
class LedgerModel
{
public:
  explicit LedgerModel(const LedgerModelOptions& aOptions);

  /** Takes a member away without notice. */
  void Kill(MemberId aMember);
  /** Takes it off the list, adds a new one in its domain, tells everybody. */
  void Replace(MemberId aMember);
  CallId Propose(MemberId aMember,
                 const RequestKey& aKey,
                 const ledger::Operation& aOperation);
  void Run(Duration aFor);
  /** Runs until no shard is without a primary; returns how long it took. */
  Duration Settle();

  /** Returns how long each answered call took, by verdict. */
  std::vector<Duration> Latencies(ledger::Verdict aVerdict) const;
  const ledger::Placement& Places() const { return mPlacement; }
  std::vector<MemberId> Alive() const;
  std::uint64_t Sum(std::uint64_t ledger::LedgerCounters::*aCounter) const;

  std::uint64_t mMessages = 0;
  std::uint64_t mBytes = 0;
  std::uint64_t mFillBytes = 0;
  std::uint64_t mFillRecords = 0;

private:
  struct Arrival
  {
    MemberId mTo;
    ledger::Event mEvent;
  };

  struct Call
  {
    TimePoint mAsked;
    std::optional<TimePoint> mAnswered;
    ledger::Verdict mVerdict = ledger::Verdict::kNoAnswer;
  };

  MemberId Join(const FailureDomain& aDomain);
  void Publish();
  void Step(MemberId aMember, const ledger::Event& aEvent);
  void Send(MemberId aFrom, const ledger::SendEffect& aSend);

  LedgerModelOptions mOptions;
  TimePoint mNow{ std::chrono::hours(1) };
  TimePoint mNextTick = mNow;
  membership::EpochMap mMap;
  ledger::Placement mPlacement;
  std::map<MemberId, ledger::Ledger> mLedgers;
  std::map<MemberId, FailureDomain> mDomainOf;
  std::multimap<TimePoint, Arrival> mInFlight;
  std::map<CallId, Call> mCalls;
  std::mt19937_64 mRandom{ 1 };
  std::uint64_t mNextMember = 1;
  std::uint64_t mNextCall = 1;
};

/** Returns an accept of a body of the given size. */
ledger::AcceptOperation
BenchAccept(MemberId aExecutor, std::size_t aBodyBytes);

/** Returns the key of the n-th request of a benchmark. */
RequestKey
BenchKey(std::uint64_t aNumber);

} // namespace peridotspool::bench
