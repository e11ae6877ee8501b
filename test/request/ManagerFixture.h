#pragma once

#include "peridotspool/request/RequestManager.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace peridotspool::request {

/**
 * Request managers of a few entries around one ledger that never fails and a
 * test that plays the upstreams. Messages between entries can be lost.
 */
class ManagerFixture
{
public:
  explicit ManagerFixture(std::size_t aEntries);

  /** A caller's view of one exchange, kept as a client of ours keeps it. */
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

  void AddUpstream(const std::string& aName, routing::UpstreamKind aKind);
  /** Submits a request at an entry and returns the caller's exchange. */
  CallId Submit(std::size_t aEntry, bool aIdempotent);
  CallId Attach(std::size_t aEntry, const Caller& aHad);
  void Cancel(std::size_t aEntry);
  void Drain(std::size_t aEntry);
  /** Takes an entry away; the others learn it from the member list. */
  void Kill(std::size_t aEntry);
  void Feed(const Call& aCall, UpstreamOutcome aOutcome);
  void Advance(Duration aTime);

  /** Started calls, oldest first. */
  std::vector<Call> Calls() const;
  const Caller& CallerOf(CallId aExchange) const;
  std::uint64_t Counted(Tally aTally) const;
  const ledger::RequestRecord* Record() const;

  /** Every StartUpstreamEffect ever, dropped or not. */
  std::vector<StartUpstreamEffect> mStarted;
  /** While true, messages between entries vanish. */
  bool mDropRelays = false;
  /** While true, the ledger keeps its answers back. */
  bool mHoldLedgerAnswers = false;
  /** While the answers are kept back, this many still go through. */
  std::size_t mHeldAnswersToRelease = 0;
  /** For showing tests fail: a ledger that forgets dispatch intents. */
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

/** Shorthands for what an upstream says about the fixture's one request. */
UpstreamPiece
PieceFor(const ManagerFixture::Call& aCall,
         std::uint64_t aIndex,
         const std::string& aText);
UpstreamDone
DoneFor(const ManagerFixture::Call& aCall, std::uint64_t aTokens);

} // namespace peridotspool::request
