#pragma once

#include "peridotspool/gateway/QuotaAllocator.h"
#include "peridotspool/gateway/QuotaClient.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <vector>

namespace peridotspool::gateway {

/** A fault or change during a simulation. */
enum class QuotaFault
{
  /** The customer's load is multiplied by mFactor for mDurationMs. */
  kOverload,
  /** The leader fails; another one is elected after mDurationMs. */
  kLeaderLost,
  /** The leader's messages are delayed by mDurationMs for mFactor seconds. */
  kLeaderSlow,
  /** The fraction mFactor of the entries restarts. */
  kEntriesRestart,
  /** The fraction mFactor of the entries can't reach the leader for
   * mDurationMs. */
  kEntriesPartitioned,
  /** The fraction mFactor of the entries is paused for mDurationMs. */
  kEntriesPaused,
  /** Granted requests are not executed for mDurationMs. */
  kUpstreamsDown,
  /** The customer's rate and burst become mFactor times the initial ones. */
  kLimitChanged,
  /** The settings don't contain the customer for mDurationMs. */
  kCustomerRemoved,
};

struct QuotaIncident
{
  int mAtMs = 0;
  QuotaFault mFault = QuotaFault::kOverload;
  int mDurationMs = 0;
  double mFactor = 1.0;
};

struct QuotaSimulationOptions
{
  std::size_t mEntries = 9;
  double mRate = 200000.0;
  double mSlack = 140000.0;
  int mDurationMs = 40000;
  std::uint64_t mSeed = 1;
};

struct QuotaSimulationResult
{
  /** The highest ratio, over all windows, of units both requested and executed
   * in the window to the units allowed in it. */
  double mWorstRatio = 0.0;
  int mWorstAtMs = 0;
  /** Requests outside overload periods, and those of them that were refused
   * twice. */
  std::size_t mNormalRequests = 0;
  std::size_t mNormalRefused = 0;
};

/**
 * Simulates entries, control leaders and one customer's callers on a virtual
 * clock. A caller whose request is refused retries once, at the time stated in
 * the refusal.
 */
class QuotaSimulation
{
public:
  QuotaSimulation(QuotaSimulationOptions aOptions,
                  std::vector<QuotaIncident> aIncidents);
  QuotaSimulationResult Run();

private:
  struct Request
  {
    double mUnits = 0.0;
    int mSentAt = 0;
    bool mIsRetry = false;
    QuotaReceipt mReceipt;
  };
  struct Entry
  {
    QuotaClient mClient;
    int mPartitionedUntil = 0;
    int mPausedUntil = 0;
    bool mHasLeader = false;
    std::uint64_t mIncarnation = 0;
    std::map<std::uint64_t, Request> mPending;
  };

  TimePoint Now() const;
  void At(int aMs, std::function<void()> aEvent);
  void ApplyFault(const QuotaIncident& aIncident);
  void StartEntry(std::size_t aEntry);
  void StartLeader();
  void ApplySettings();
  void ConnectToLeader(std::size_t aEntry);
  void SendToLeader(std::size_t aEntry, const QuotaRequest& aRequest);
  void SendResponse(std::size_t aEntry, const QuotaResponse& aResponse);
  void ReportLease(std::size_t aEntry);
  void SendToEntry(std::size_t aEntry, std::function<void(Entry&)> aHandler);
  void Deliver(std::size_t aEntry,
               std::uint64_t aIncarnation,
               const std::function<void(Entry&)>& aHandler);
  void CommitFloors();
  void TickEntries();
  void TickLeader();
  void SendRequest(double aUnits, bool aIsRetry);
  void HandleDecisions(std::size_t aEntry,
                       const std::vector<DeferredQuotaDecision>& aDecisions);
  void OnGranted(std::size_t aEntry, const Request& aRequest);
  void OnRefused(const Request& aRequest, Duration aRetryAfter);
  double DrawUnits();
  std::vector<std::size_t> DrawEntries(double aShare);
  QuotaSimulationResult Measure() const;

  QuotaSimulationOptions mOptions;
  Customer mCustomer;
  std::vector<QuotaIncident> mIncidents;
  std::mt19937_64 mRandom;
  int mMs = 0;
  std::multimap<int, std::function<void()>> mEvents;
  std::vector<Entry> mEntries;
  std::unique_ptr<QuotaAllocator> mLeader;
  QuotaFloors mCommitted;
  std::uint64_t mLeaderCount = 0;
  int mResponseDelayMs = 0;
  double mFactor = 1.0;
  int mUpstreamsDownUntil = 0;
  double mBacklogUnits = 0.0;
  bool mIsConfigured = true;
  std::uint64_t mIncarnationCount = 0;
  double mMaxRate = 0.0;
  std::size_t mNormalRequests = 0;
  std::size_t mNormalRefused = 0;
  /** Executed units by the times of their request and their execution. */
  std::map<int, std::map<int, double>> mExecuted;
};

} // namespace peridotspool::gateway
