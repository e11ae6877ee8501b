#include "request/ManagerFixture.h"

#include "peridotspool/base/Overloaded.h"

#include <catch2/catch.hpp>

namespace peridotspool::request {

namespace {

const RequestKey kKey{ CustomerName("lefkada"), "plan-7" };
const ServiceName kService("assistant");
constexpr Duration kDeadline = std::chrono::seconds(20);

} // namespace

ManagerFixture::ManagerFixture(std::size_t aEntries)
{
  for (std::size_t index = 0; index < aEntries; ++index) {
    Entry entry{ .mId = MemberId(index + 1) };
    entry.mRouter = std::make_unique<routing::Router>(routing::RouterOptions{});
    entry.mManager = std::make_unique<RequestManager>(
      entry.mId, RequestOptions{}, *entry.mRouter);
    mEntries.push_back(std::move(entry));
  }
  PublishMembers();
}

void
ManagerFixture::PublishMembers()
{
  membership::EpochMap map{ .mEpoch = EpochNumber(1) };
  for (const Entry& entry : mEntries) {
    if (entry.mManager) {
      map.mMembers.push_back(membership::Member{ .mId = entry.mId });
    }
  }
  for (Entry& entry : mEntries) {
    if (entry.mManager) {
      Step(entry, MembersEvent{ map });
    }
  }
}

void
ManagerFixture::AddUpstream(const std::string& aName,
                            routing::UpstreamKind aKind,
                            const std::string& aVersion)
{
  mUpstreams.push_back(routing::UpstreamAnnouncement{
    .mName = UpstreamName(aName),
    .mIncarnation = Incarnation(1),
    .mSequence = 1,
    .mService = kService,
    .mKind = aKind,
    .mAddress = { "127.0.0.1",
                  static_cast<std::uint16_t>(9000 + mUpstreams.size()) },
    .mSlots = 4,
    .mLease = std::chrono::hours(1),
    .mVersion = VersionName(aVersion) });
  for (Entry& entry : mEntries) {
    entry.mRouter->Announce(mUpstreams.back(), mNow);
  }
}

CallId
ManagerFixture::Submit(std::size_t aEntry, bool aIdempotent)
{
  mLastExchange = mLastExchange.Next();
  mCallers[mLastExchange];
  Step(At(aEntry),
       SubmitEvent{ .mExchange = mLastExchange,
                    .mKey = kKey,
                    .mTerms = { .mService = kService,
                                .mBody = R"({"prompt":"line 3"})",
                                .mIdempotent = aIdempotent },
                    .mRemaining = kDeadline });
  return mLastExchange;
}

CallId
ManagerFixture::Attach(std::size_t aEntry, const Caller& aHad)
{
  mLastExchange = mLastExchange.Next();
  mCallers[mLastExchange] = aHad;
  Step(At(aEntry),
       AttachEvent{ .mExchange = mLastExchange,
                    .mKey = kKey,
                    .mLineage = aHad.mLineage,
                    .mOffset = aHad.mText.size() });
  return mLastExchange;
}

void
ManagerFixture::Cancel(std::size_t aEntry)
{
  mLastExchange = mLastExchange.Next();
  mCallers[mLastExchange];
  Step(At(aEntry), CancelEvent{ mLastExchange, kKey });
}

void
ManagerFixture::Drain(std::size_t aEntry)
{
  Step(At(aEntry), DrainEvent{});
}

void
ManagerFixture::Kill(std::size_t aEntry)
{
  Entry& entry = At(aEntry);
  entry.mManager.reset();
  std::erase_if(mOpenCalls, [&](const auto& aPair) {
    return aPair.first.first == entry.mId;
  });
  PublishMembers();
}

void
ManagerFixture::Feed(const Call& aCall, UpstreamOutcome aOutcome)
{
  Entry* entry = Find(aCall.mEntry);
  REQUIRE(entry != nullptr);
  const bool over = !std::holds_alternative<UpstreamPiece>(aOutcome) &&
                    !std::holds_alternative<UpstreamHeld>(aOutcome);
  if (over) {
    mOpenCalls.erase({ aCall.mEntry, aCall.mStart.mCall });
  }
  Step(*entry, UpstreamEvent{ aCall.mStart.mCall, std::move(aOutcome) });
}

void
ManagerFixture::Advance(Duration aTime)
{
  constexpr Duration kStep = std::chrono::milliseconds(10);
  for (Duration passed{ 0 }; passed < aTime; passed += kStep) {
    mNow += kStep;
    ReleaseAnswers();
    for (Entry& entry : mEntries) {
      if (entry.mManager) {
        Step(entry, TickEvent{});
      }
    }
  }
}

std::vector<ManagerFixture::Call>
ManagerFixture::Calls() const
{
  std::vector<Call> calls;
  for (const auto& [id, start] : mOpenCalls) {
    calls.push_back(Call{ id.first, start });
  }
  return calls;
}

const ManagerFixture::Caller&
ManagerFixture::CallerOf(CallId aExchange) const
{
  return mCallers.at(aExchange);
}

std::uint64_t
ManagerFixture::Counted(Tally aTally) const
{
  const auto found = mCounts.find(aTally);
  return found == mCounts.end() ? 0 : found->second;
}

std::size_t
ManagerFixture::HeldBytes(std::size_t aEntry) const
{
  return mEntries.at(aEntry).mManager->HeldBytes();
}

const ledger::RequestRecord*
ManagerFixture::Record() const
{
  return mRecord ? &*mRecord : nullptr;
}

ManagerFixture::Entry*
ManagerFixture::Find(MemberId aId)
{
  for (Entry& entry : mEntries) {
    if (entry.mId == aId && entry.mManager) {
      return &entry;
    }
  }
  return nullptr;
}

void
ManagerFixture::Step(Entry& aEntry, const Event& aEvent)
{
  for (const Effect& effect : aEntry.mManager->Step(aEvent, mNow)) {
    std::visit([&](const auto& aAny) { Perform(aEntry, aAny); }, effect);
  }
}

void
ManagerFixture::Perform(Entry& aEntry, const ProposeEffect& aEffect)
{
  mHeld.push_back(
    HeldAnswer{ aEntry.mId, aEffect.mCall, Apply(aEffect.mOperation) });
  ReleaseAnswers();
}

void
ManagerFixture::ReleaseAnswers()
{
  while (!mHeld.empty() && (!mHoldLedgerAnswers || mHeldAnswersToRelease > 0)) {
    mHeldAnswersToRelease -= mHeldAnswersToRelease > 0 ? 1 : 0;
    const HeldAnswer held = mHeld.front();
    mHeld.pop_front();
    if (Entry* entry = Find(held.mTo)) {
      Step(*entry, LedgerAnsweredEvent{ held.mCall, held.mAnswer });
    }
  }
}

void
ManagerFixture::Perform(Entry& aEntry, const RelayEffect& aEffect)
{
  Entry* to = Find(aEffect.mTo);
  if (to != nullptr && !mDropRelays) {
    Step(*to, RelayEvent{ aEntry.mId, aEffect.mMessage });
  }
}

void
ManagerFixture::Perform(Entry& aEntry, const StartUpstreamEffect& aEffect)
{
  mStarted.push_back(aEffect);
  mOpenCalls[{ aEntry.mId, aEffect.mCall }] = aEffect;
}

void
ManagerFixture::Perform(Entry& aEntry, const DropUpstreamEffect& aEffect)
{
  mOpenCalls.erase({ aEntry.mId, aEffect.mCall });
}

void
ManagerFixture::Perform(Entry& /*aEntry*/, const ReplyEffect& aEffect)
{
  Caller& caller = mCallers[aEffect.mExchange];
  std::visit(
    Overloaded{ [&](const AcceptedReply&) { caller.mAccepted = true; },
                [&](const PieceReply& aPiece) {
                  INFO("a piece must start at the end of the caller's text");
                  REQUIRE(aPiece.mOffset == caller.mText.size());
                  caller.mText += aPiece.mText;
                  caller.mLineage = aPiece.mLineage;
                },
                [&](const RestartReply& aRestart) {
                  caller.mText.clear();
                  caller.mLineage = aRestart.mLineage;
                },
                [&](const FinalReply& aFinal) {
                  INFO("a caller must get only one final answer");
                  REQUIRE_FALSE(caller.mOutcome.has_value());
                  caller.mOutcome = aFinal.mOutcome;
                },
                [&](const MovedReply&) { caller.mMoved = true; },
                [](const auto&) {} },
    aEffect.mReply);
}

void
ManagerFixture::Perform(Entry& /*aEntry*/, const CountEffect& aEffect)
{
  mCounts[aEffect.mTally] += aEffect.mAmount;
}

/** Implements the ledger's rules on a single record, without failures. */
ledger::OperationAnswer
ManagerFixture::Apply(const ledger::Operation& aOperation)
{
  using ledger::Verdict;
  ledger::OperationAnswer answer{ .mVerdict = Verdict::kDone,
                                  .mRemaining = kDeadline };
  if (const auto* accept = std::get_if<ledger::AcceptOperation>(&aOperation)) {
    answer.mVerdict = mRecord ? Verdict::kKnown : Verdict::kDone;
    if (!mRecord) {
      mRecord = ledger::RequestRecord{ .mKey = kKey,
                                       .mTerms = accept->mTerms,
                                       .mExecutor = accept->mExecutor,
                                       .mExecutorTurn = AttemptNumber(1) };
    }
    answer.mRecord = mRecord;
    return answer;
  }
  if (!mRecord) {
    answer.mVerdict = Verdict::kNoSuchRequest;
    return answer;
  }
  const auto turnIs = [&](AttemptNumber aTurn) {
    return aTurn == mRecord->mExecutorTurn;
  };
  const auto change = [&](bool aAllowed, Verdict aElse, auto aChange) {
    answer.mVerdict = mRecord->mOutcome ? Verdict::kFinished
                      : aAllowed        ? Verdict::kDone
                                        : aElse;
    if (answer.mVerdict == Verdict::kDone) {
      aChange();
    }
  };
  const bool standing = mRecord->mIntent && !mRecord->mIntentVoid;
  const bool mayRunOnce =
    !mRecord->mTerms.mIdempotent && standing && !mIgnoreIntents;
  bool fullRecord = false;
  std::visit(
    Overloaded{
      [&](const ledger::IntendOperation& aOne) {
        const Verdict verdict =
          turnIs(aOne.mExecutorTurn) ? Verdict::kMayHaveRun : Verdict::kOldTurn;
        change(turnIs(aOne.mExecutorTurn) && !mayRunOnce, verdict, [&] {
          mRecord->mIntent = aOne.mIntent;
          mRecord->mIntentVoid = false;
        });
      },
      [&](const ledger::VoidIntentOperation& aOne) {
        change(turnIs(aOne.mExecutorTurn), Verdict::kOldTurn, [&] {
          mRecord->mIntentVoid = true;
        });
      },
      [&](const ledger::FinishOperation& aOne) {
        const bool falseRefusal =
          aOne.mOutcome.mKind == ledger::OutcomeKind::kRefused && mayRunOnce;
        const Verdict verdict =
          turnIs(aOne.mExecutorTurn) ? Verdict::kMayHaveRun : Verdict::kOldTurn;
        change(turnIs(aOne.mExecutorTurn) && !falseRefusal, verdict, [&] {
          mRecord->mOutcome = aOne.mOutcome;
        });
      },
      [&](const ledger::TakeOverOperation& aOne) {
        fullRecord = true;
        change(turnIs(aOne.mExecutorTurn), Verdict::kOldTurn, [&] {
          mRecord->mExecutor = aOne.mExecutor;
          mRecord->mExecutorTurn = mRecord->mExecutorTurn.Next();
        });
      },
      [&](const ledger::CancelOperation&) {
        change(true, Verdict::kDone, [&] {
          mRecord->mOutcome =
            ledger::Outcome{ .mKind = ledger::OutcomeKind::kCancelled };
        });
      },
      [&](const auto&) { fullRecord = true; } },
    aOperation);
  answer.mRecord = mRecord;
  if (!fullRecord && answer.mVerdict == Verdict::kDone) {
    // Like the real ledger, omits the terms, which the proposer has.
    answer.mRecord->mTerms.mBody.clear();
  }
  return answer;
}

UpstreamPiece
PieceFor(const ManagerFixture::Call& aCall,
         std::uint64_t aIndex,
         const std::string& aText)
{
  return UpstreamPiece{ .mRequest = aCall.mStart.mRequest,
                        .mAttempt = aCall.mStart.mAttempt,
                        .mIndex = aIndex,
                        .mText = aText };
}

UpstreamDone
DoneFor(const ManagerFixture::Call& aCall, std::uint64_t aTokens)
{
  return UpstreamDone{ .mRequest = aCall.mStart.mRequest,
                       .mAttempt = aCall.mStart.mAttempt,
                       .mTokens = aTokens };
}

} // namespace peridotspool::request
