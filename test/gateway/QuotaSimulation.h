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

/** What goes wrong, or changes, in a play. */
enum class QuotaFault
{
  /** The customer asks mTimes as much. */
  kOverload,
  /** The leader is gone; another one is elected after mFor. */
  kLeaderLost,
  /** What the leader sends takes mFor longer, for mTimes seconds. */
  kLeaderSlow,
  /** The share mTimes of the entries start anew. */
  kEntriesRestart,
  /** The share mTimes of the entries can't reach the leader for mFor. */
  kEntriesPartitioned,
  /** The share mTimes of the entries stands still for mFor. */
  kEntriesPaused,
  /** Requests that are granted don't run, for mFor. */
  kUpstreamsDown,
  /** The customer's rate and burst become mTimes the first ones. */
  kLimitChanged,
  /** The settings don't name the customer for mFor. */
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
  /** The most units in a window of those that were both asked for in it and
   * run in it, over the allowed ones. */
  double mWorstRatio = 0.0;
  int mWorstAtMs = 0;
  /** Requests in times without a flood, and those of them that never ran. */
  std::size_t mNormalRequests = 0;
  std::size_t mNormalRefused = 0;
};

/**
 * Entries, control leaders and the callers of one customer on one virtual
 * clock. Callers whose request is refused ask once more, when they are told to.
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
  /** Units by when they were asked for and when they ran. */
  std::map<int, std::map<int, double>> mExecuted;
};

} // namespace peridotspool::gateway
