#pragma once

#include "peridotspool/gateway/QuotaBank.h"
#include "peridotspool/gateway/QuotaGate.h"

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
  kFlood,
  /** The leader is gone; another one is elected after mFor. */
  kLeaderLost,
  /** What the leader sends takes mFor longer, for mTimes seconds. */
  kLeaderSlow,
  /** The share mTimes of the entries start anew. */
  kEntriesRestart,
  /** The share mTimes of the entries can't reach the leader for mFor. */
  kEntriesCut,
  /** The share mTimes of the entries stands still for mFor. */
  kEntriesFrozen,
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
  QuotaFault mFault = QuotaFault::kFlood;
  int mForMs = 0;
  double mTimes = 1.0;
};

struct QuotaPlayOptions
{
  std::size_t mEntries = 9;
  double mRate = 200000.0;
  double mSlack = 140000.0;
  int mForMs = 40000;
  std::uint64_t mSeed = 1;
};

struct QuotaPlayResult
{
  /** The most units in a window of those that were both asked for in it and
   * run in it, over the allowed ones. */
  double mWorst = 0.0;
  int mWorstAtMs = 0;
  /** Requests in times without a flood, and those of them that never ran. */
  std::size_t mCalm = 0;
  std::size_t mCalmRefused = 0;
};

/**
 * Entries, control leaders and the callers of one customer on one virtual
 * clock. Callers whose request is refused ask once more, when they are told to.
 */
class QuotaPlay
{
public:
  QuotaPlay(QuotaPlayOptions aOptions, std::vector<QuotaIncident> aIncidents);
  QuotaPlayResult Run();

private:
  struct Request
  {
    double mUnits = 0.0;
    int mSentAt = 0;
    bool mAgain = false;
    QuotaReceipt mReceipt;
  };
  struct Entry
  {
    QuotaGate mGate;
    int mCutUntil = 0;
    int mFrozenUntil = 0;
    bool mKnowsLeader = false;
    std::uint64_t mLife = 0;
    std::map<std::uint64_t, Request> mPending;
  };

  TimePoint Now() const;
  void At(int aMs, std::function<void()> aCall);
  void Begin(const QuotaIncident& aIncident);
  void StartEntry(std::size_t aEntry);
  void StartLeader();
  void UseSettings();
  void MeetLeader(std::size_t aEntry);
  void SendToLeader(std::size_t aEntry, const QuotaAsk& aAsk);
  void SendGrant(std::size_t aEntry, const QuotaGrant& aGrant);
  void Report(std::size_t aEntry);
  void SendToEntry(std::size_t aEntry, std::function<void(Entry&)> aTake);
  void Deliver(std::size_t aEntry,
               std::uint64_t aLife,
               const std::function<void(Entry&)>& aTake);
  void CommitFloors();
  void TickEntries();
  void TickLeader();
  void AskFor(double aUnits, bool aAgain);
  void Decide(std::size_t aEntry, const std::vector<QuotaDecided>& aDecided);
  void OnGranted(std::size_t aEntry, const Request& aRequest);
  void OnRefused(const Request& aRequest, Duration aComeBack);
  double DrawUnits();
  std::vector<std::size_t> Draw(double aShare);
  QuotaPlayResult Measure() const;

  QuotaPlayOptions mOptions;
  Customer mCustomer;
  std::vector<QuotaIncident> mIncidents;
  std::mt19937_64 mRandom;
  int mMs = 0;
  std::multimap<int, std::function<void()>> mCalls;
  std::vector<Entry> mEntries;
  std::unique_ptr<QuotaBank> mLeader;
  QuotaFloors mCommitted;
  std::uint64_t mLeaders = 0;
  int mAnswerDelay = 0;
  double mTimes = 1.0;
  int mDownUntil = 0;
  double mDue = 0.0;
  bool mKnown = true;
  std::uint64_t mLives = 0;
  double mMostRate = 0.0;
  std::size_t mCalm = 0;
  std::size_t mCalmRefused = 0;
  /** Units by when they were asked for and when they ran. */
  std::map<int, std::map<int, double>> mRan;
};

} // namespace peridotspool::gateway
