#pragma once

#include "peridotspool/gateway/CoordinatorTenure.h"
#include "peridotspool/limits/PermitAllocator.h"
#include "peridotspool/limits/PermitClient.h"
#include "peridotspool/limits/UpstreamLimits.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace peridotspool::limits {

/** A fault or change during a simulation. */
enum class PermitFault
{
  /** The coordinator's process is killed and started again. */
  kCoordinatorRestarts,
  /** The coordinator stands still for the duration. */
  kCoordinatorFreezes,
  /** The coordinator can't reach the leader for the duration. */
  kCoordinatorCutFromLeader,
  /** Two halves of the entries can't reach each other; the leader is in one. */
  kSplit,
  /** No leader responds for the duration. */
  kLeaderLost,
  /** A tenth of all messages are lost for the duration. */
  kMessagesLost,
  /** A tenth of the entries restart. */
  kEntriesRestart,
  /** The limit is multiplied by mFactor; 0 ends it. */
  kLimitChanges,
};

struct PermitIncident
{
  Duration mAt{ 0 };
  PermitFault mFault = PermitFault::kCoordinatorRestarts;
  Duration mFor{ 0 };
  double mFactor = 1.0;
};

struct PermitSimulationOptions
{
  std::size_t mEntries = 11;
  double mLimit = 1.0;
  /** Requests per second for each request per second of the limit. */
  double mDemand = 3.0;
  Duration mLength = std::chrono::seconds(30);
  std::uint64_t mSeed = 1;
};

struct PermitSimulationResult
{
  /** The highest ratio, over all windows of 4 s, of requests that arrived from
   * entries with knowledge of the limit to those allowed. */
  double mWorstRatio = 0.0;
  Duration mWorstAt{ 0 };
  /** The highest ratio, over all windows of a second, of the permits granted in
   * it by all coordinators and used, to those that one bucket yields. */
  double mWorstGrantRatio = 0.0;
  Duration mWorstGrantAt{ 0 };
  /** Requests that arrived after the grace period. */
  std::size_t mArrived = 0;
  /** Requests that the limit offered in that time. */
  double mOffered = 0.0;
  /** Sends without a permit after the grace period. */
  std::size_t mUnpermitted = 0;
};

/**
 * Entries that share one limited upstream, with clocks of their own, a control
 * leader that makes epochs, and a network that delays, doubles and loses
 * messages. The same seed gives the same run.
 */
class PermitSimulation
{
public:
  PermitSimulation(PermitSimulationOptions aOptions,
                   std::vector<PermitIncident> aIncidents);
  PermitSimulationResult Run();

private:
  struct Heartbeat
  {
    std::uint64_t mEpoch = 0;
    TimePoint mSentAt;
  };
  struct HeartbeatAnswer
  {
    std::uint64_t mEpoch = 0;
    TimePoint mSentAt;
  };
  struct EpochPush
  {
    std::uint64_t mEpoch = 0;
    std::shared_ptr<const gateway::CoordinatorMap> mMap;
  };
  struct LimitQuery
  {
    std::uint64_t mTag = 0;
  };
  struct LimitAnswer
  {
    std::uint64_t mTag = 0;
    std::optional<LimitState> mState;
  };
  using Message = std::variant<Heartbeat,
                               HeartbeatAnswer,
                               EpochPush,
                               LimitQuery,
                               LimitAnswer,
                               LimitReport,
                               SendPermitRequest,
                               SendPermitResponse,
                               SendPermitReturn>;
  struct Entry
  {
    std::size_t mIndex = 0;
    std::uint64_t mProcess = 0;
    Duration mClockOffset{ 0 };
    double mClockRate = 1.0;
    Duration mFrozenUntil{ 0 };
    Duration mCutFromLeaderUntil{ 0 };
    std::uint64_t mEpoch = 0;
    gateway::CoordinatorMap mMap;
    gateway::CoordinatorTenure mTenure;
    std::unique_ptr<PermitAllocator> mAllocator;
    PermitClient mClient{ 0 };
    UpstreamLimits mLimits;
    /** When the first response with the limit was received. */
    std::optional<Duration> mToldAt;
    std::set<std::uint64_t> mQueries;
    std::uint64_t mLastQuery = 0;
    unsigned mTicks = 0;
  };
  struct MemberState
  {
    std::uint64_t mProcess = 0;
    Duration mHeardAt{ 0 };
  };
  struct Arrival
  {
    Duration mAt{ 0 };
    bool mWasTold = false;
  };

  static Address AddressOf(std::size_t aIndex);
  static TimePoint LocalTime(const Entry& aEntry, Duration aNow);
  Entry* Find(const Address& aAddress);
  void At(Duration aAt, std::function<void()> aCall);
  void OnEntry(std::size_t aIndex,
               std::uint64_t aProcess,
               std::function<void(Entry&)> aCall);
  Duration Delay();
  bool IsCut(std::size_t aFrom, std::size_t aTo) const;
  void Send(std::size_t aFrom, const Address& aTo, const Message& aMessage);
  void SendToLeader(Entry& aEntry, const Heartbeat& aHeartbeat);
  void HandleAtLeader(std::size_t aFrom,
                      std::uint64_t aProcess,
                      const Heartbeat& aHeartbeat);
  void PlanEpochs();
  void Receive(Entry& aEntry, const Address& aFrom, const Message& aMessage);
  void SendPermits(Entry& aEntry, const std::vector<AddressedPermit>& aPermits);
  void StartProcess(std::size_t aIndex);
  void Tick(Entry& aEntry);
  void BeginRequest(Entry& aEntry);
  void SendOrAsk(Entry& aEntry);
  void SendToUpstream(Entry& aEntry, std::optional<PermitReceipt> aReceipt);
  void Respond(std::size_t aEntry,
               std::uint64_t aProcess,
               TimePoint aSentAt,
               std::optional<PermitReceipt> aReceipt);
  void Apply(const PermitIncident& aIncident);
  Entry& CoordinatorEntry();
  double LimitAt(Duration aAt) const;
  double HighestLimit(Duration aFrom, Duration aTo) const;
  double HighestStated(Duration aFrom, Duration aTo) const;
  void EvaluateGrants(PermitSimulationResult& aResult) const;
  PermitSimulationResult Evaluate() const;

  PermitSimulationOptions mOptions;
  std::vector<PermitIncident> mIncidents;
  std::mt19937_64 mRandom;
  Duration mNow{ 0 };
  std::uint64_t mSequence = 0;
  std::map<std::pair<Duration, std::uint64_t>, std::function<void()>> mEvents;
  std::vector<Entry> mEntries;
  std::unordered_map<std::string, std::size_t> mIndices;
  std::uint64_t mLastProcess = 0;
  std::map<std::size_t, MemberState> mMembers;
  std::map<std::size_t, std::uint64_t> mCandidates;
  std::map<std::uint64_t, std::shared_ptr<const gateway::CoordinatorMap>>
    mEpochs;
  std::uint64_t mEpoch = 0;
  Duration mLeaderGoneUntil{ 0 };
  Duration mSplitUntil{ 0 };
  Duration mLossUntil{ 0 };
  /** The limit from each moment on; 0 is none. */
  std::map<Duration, double> mLimitFrom;
  std::vector<Arrival> mArrivals;
  std::vector<Duration> mUnpermitted;
  /** The limit in each response, by when an entry received it. */
  std::multimap<Duration, double> mStated;
  /** When a permit was granted, by the entry that asked and its tag. */
  std::map<std::pair<std::size_t, std::uint64_t>, Duration> mGrantedAt;
  /** When the permits that were used were granted. */
  std::vector<Duration> mUsedGrants;
};

} // namespace peridotspool::limits
