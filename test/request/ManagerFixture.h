#pragma once

#include "peridotspool/request/RequestManager.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace peridotspool::request {

/**
 * The request managers of several entries with one ledger that never fails. The
 * test acts as the upstreams. Messages between entries can be dropped.
 */
class ManagerFixture
{
public:
  explicit ManagerFixture(std::size_t aEntries);

  /** The state of one exchange as a client derives it from the replies. */
  struct Caller
  {
    std::string mText;
    AttemptNumber mLineage;
    bool mAccepted = false;
    bool mMoved = false;
    std::optional<ledger::Outcome> mOutcome;
  };

  /** An upstream call that was started and not dropped. */
  struct Call
  {
    MemberId mEntry;
    StartUpstreamEffect mStart;
  };

  void AddUpstream(const std::string& aName,
                   routing::UpstreamKind aKind,
                   const std::string& aVersion = {});
  /** Submits a request at an entry and returns the caller's exchange. */
  CallId Submit(std::size_t aEntry, bool aIdempotent);
  CallId Attach(std::size_t aEntry, const Caller& aHad);
  void Cancel(std::size_t aEntry);
  void Drain(std::size_t aEntry);
  /** Removes an entry; the others learn of it from the member list. */
  void Kill(std::size_t aEntry);
  void Feed(const Call& aCall, UpstreamOutcome aOutcome);
  void Advance(Duration aTime);

  /** Returns the started calls, ordered by entry and call ID. */
  std::vector<Call> Calls() const;
  const Caller& CallerOf(CallId aExchange) const;
  std::uint64_t Counted(Tally aTally) const;
  std::size_t HeldBytes(std::size_t aEntry) const;
  const ledger::RequestRecord* Record() const;

  /** Every StartUpstreamEffect, including those of dropped calls. */
  std::vector<StartUpstreamEffect> mStarted;
  /** While true, messages between entries are dropped. */
  bool mDropRelays = false;
  /** While true, the ledger's answers are held back. */
  bool mHoldLedgerAnswers = false;
  /** While answers are held back, this many are still delivered. */
  std::size_t mHeldAnswersToRelease = 0;
  /** Makes the ledger ignore dispatch intents, to show that tests then fail. */
  bool mIgnoreIntents = false;

private:
  struct Entry
  {
    MemberId mId;
    std::unique_ptr<routing::Router> mRouter;
    std::unique_ptr<RequestManager> mManager;
  };
  struct HeldAnswer
  {
    MemberId mTo;
    CallId mCall;
    ledger::OperationAnswer mAnswer;
  };

  Entry& At(std::size_t aEntry) { return mEntries.at(aEntry); }
  Entry* Find(MemberId aId);
  void Step(Entry& aEntry, const Event& aEvent);
  void PublishMembers();
  void Perform(Entry& aEntry, const ProposeEffect& aEffect);
  void Perform(Entry& aEntry, const RelayEffect& aEffect);
  void Perform(Entry& aEntry, const StartUpstreamEffect& aEffect);
  void Perform(Entry& aEntry, const DropUpstreamEffect& aEffect);
  void Perform(Entry& aEntry, const ReplyEffect& aEffect);
  void Perform(Entry& aEntry, const CountEffect& aEffect);
  template<typename Other>
  void Perform(Entry& /*aEntry*/, const Other& /*aEffect*/)
  {
  }
  ledger::OperationAnswer Apply(const ledger::Operation& aOperation);
  void ReleaseAnswers();

  TimePoint mNow{ std::chrono::seconds(100) };
  std::vector<Entry> mEntries;
  std::vector<routing::UpstreamAnnouncement> mUpstreams;
  std::map<std::pair<MemberId, CallId>, StartUpstreamEffect> mOpenCalls;
  std::map<CallId, Caller> mCallers;
  std::map<Tally, std::uint64_t> mCounts;
  std::optional<ledger::RequestRecord> mRecord;
  std::deque<HeldAnswer> mHeld;
  CallId mLastExchange{ 1000 };
};

/** Make an upstream's events for the fixture's one request. */
UpstreamPiece
PieceFor(const ManagerFixture::Call& aCall,
         std::uint64_t aIndex,
         const std::string& aText);
UpstreamDone
DoneFor(const ManagerFixture::Call& aCall, std::uint64_t aTokens);

} // namespace peridotspool::request
