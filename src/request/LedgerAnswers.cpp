// Handles the ledger's answers to the request manager.

#include "request/RequestManagerState.h"

#include <utility>

namespace peridotspool::request {

namespace {

constexpr std::int32_t kStatusUnavailable = 503;
constexpr std::int32_t kStatusUnprocessable = 422;

} // namespace

void
RequestManagerState::OnAccepted(const RequestKey& aKey,
                                const AcceptPending& aPending,
                                const ledger::OperationAnswer& aAnswer)
{
  switch (aAnswer.mVerdict) {
    case ledger::Verdict::kDone:
      mEffects->emplace_back(CountEffect{ Tally::kAccepted });
      break;
    case ledger::Verdict::kKnown:
    case ledger::Verdict::kFinished:
      mEffects->emplace_back(CountEffect{ Tally::kKnownKey });
      break;
    case ledger::Verdict::kFull:
      mEffects->emplace_back(CountEffect{ Tally::kRefusedLedgerFull });
      RefuseExchange(aPending.mExchange, kStatusUnavailable, "ledger-full");
      return;
    case ledger::Verdict::kOtherTerms:
      mEffects->emplace_back(CountEffect{ Tally::kRefusedOtherTerms });
      RefuseExchange(
        aPending.mExchange, kStatusUnprocessable, "key-used-with-other-terms");
      return;
    default:
      ReplyTo(aPending.mExchange, StatusUnknownReply{});
      return;
  }
  ReplyTo(aPending.mExchange, AcceptedReply{ aKey });
  LocalRequest& request = mRequests[aKey];
  if (mExchanges.count(aPending.mExchange) > 0) {
    request.mSubscribers.Add(aPending.mExchange, {});
  }
  if (aAnswer.mVerdict == ledger::Verdict::kDone) {
    BeginExecution(aKey, aAnswer, ExecutionOrigin::kAccepted);
  } else if (aAnswer.mRecord) {
    OnRecord(aKey, *aAnswer.mRecord);
  }
  PublishProgress(aKey);
}

void
RequestManagerState::OnResolved(const RequestKey& aKey,
                                const ledger::OperationAnswer& aAnswer)
{
  const auto found = mRequests.find(aKey);
  if (found == mRequests.end()) {
    return;
  }
  LocalRequest& request = found->second;
  request.mResolving = false;
  if (request.mExecution) {
    return;
  }
  if (aAnswer.mRecord) {
    OnRecord(aKey, *aAnswer.mRecord);
  } else {
    const bool absent = aAnswer.mVerdict == ledger::Verdict::kNoSuchRequest;
    for (const CallId exchange : request.mSubscribers.RemoveCallers()) {
      ReplyTo(exchange,
              absent ? Reply(NoSuchRequestReply{})
                     : Reply(StatusUnknownReply{}));
    }
    request.mFollowing.reset();
  }
  PublishProgress(aKey);
}

void
RequestManagerState::OnRecord(const RequestKey& aKey,
                              const ledger::RequestRecord& aRecord)
{
  LocalRequest& request = mRequests[aKey];
  if (aRecord.mOutcome) {
    request.mReceivedAnswer = MakeAnswer(*aRecord.mOutcome, aRecord.mExecutor);
    request.mFollowing.reset();
    return;
  }
  if (request.mExecution) {
    return;
  }
  // The record may name an entry that does not run the request: one that has
  // left, one that denied running it twice, or this entry, if the answer that
  // made it the executor was lost.
  const bool denied =
    request.mFollowing && request.mFollowing->mDenials >= 2 &&
    request.mFollowing->mExecutorTurn == aRecord.mExecutorTurn;
  if (aRecord.mExecutor == mSelf || !IsMember(aRecord.mExecutor) || denied) {
    ProposeTakeOver(aKey, aRecord.mExecutorTurn, aRecord.mExecutor);
  } else {
    Follow(aKey, aRecord);
  }
}

void
RequestManagerState::Resolve(const RequestKey& aKey)
{
  LocalRequest& request = mRequests[aKey];
  if (request.mResolving) {
    return;
  }
  request.mResolving = true;
  Propose(aKey, ledger::ReadOperation{}, { aKey, ResolvePending{} });
}

void
RequestManagerState::ProposeTakeOver(const RequestKey& aKey,
                                     AttemptNumber aTurn,
                                     MemberId aFrom)
{
  if (mDraining) {
    return;
  }
  Propose(
    aKey,
    ledger::TakeOverOperation{ .mExecutorTurn = aTurn, .mExecutor = mSelf },
    { aKey, TakeOverPending{ aFrom } });
}

void
RequestManagerState::OnTakenOver(const RequestKey& aKey,
                                 const TakeOverPending& aPending,
                                 const ledger::OperationAnswer& aAnswer)
{
  if (aAnswer.mVerdict == ledger::Verdict::kDone && aAnswer.mRecord) {
    mEffects->emplace_back(CountEffect{ Tally::kTakenOver });
    if (aPending.mFrom != mSelf && IsMember(aPending.mFrom)) {
      mEffects->emplace_back(RelayEffect{
        aPending.mFrom,
        TakenOverMessage{ aKey, aAnswer.mRecord->mExecutorTurn } });
    }
    BeginExecution(aKey, aAnswer, ExecutionOrigin::kTakenOver);
  } else if (aAnswer.mRecord) {
    OnRecord(aKey, *aAnswer.mRecord);
  } else if (mRequests.count(aKey) > 0) {
    Resolve(aKey);
  }
  PublishProgress(aKey);
}

void
RequestManagerState::OnConfirmed(const RequestKey& aKey,
                                 const ConfirmPending& aPending,
                                 const ledger::OperationAnswer& aAnswer)
{
  switch (aAnswer.mVerdict) {
    case ledger::Verdict::kDone:
    case ledger::Verdict::kFinished:
      ReplyTo(aPending.mExchange, ConfirmedReply{});
      break;
    case ledger::Verdict::kNoSuchRequest:
      ReplyTo(aPending.mExchange, NoSuchRequestReply{});
      return;
    default:
      ReplyTo(aPending.mExchange, StatusUnknownReply{});
      return;
  }
  if (!aAnswer.mRecord || !aAnswer.mRecord->mOutcome) {
    return;
  }
  const ledger::Outcome& outcome = *aAnswer.mRecord->mOutcome;
  const MemberId executor = aAnswer.mRecord->mExecutor;
  if (executor != mSelf && IsMember(executor)) {
    mEffects->emplace_back(
      RelayEffect{ executor, EndedMessage{ aKey, outcome } });
  }
  WithExecution(aKey, [&](Execution& aExecution, StepContext& aContext) {
    aExecution.OnOutcome(aContext, outcome);
  });
}

void
RequestManagerState::OnShown(const ShowPending& aPending,
                             const ledger::OperationAnswer& aAnswer)
{
  if (aAnswer.mRecord) {
    ReplyTo(aPending.mExchange, RecordReply{ *aAnswer.mRecord });
  } else if (aAnswer.mVerdict == ledger::Verdict::kNoSuchRequest) {
    ReplyTo(aPending.mExchange, NoSuchRequestReply{});
  } else {
    ReplyTo(aPending.mExchange, StatusUnknownReply{});
  }
}

void
RequestManagerState::OnExecutionAnswer(const RequestKey& aKey,
                                       CallId aCall,
                                       const ledger::OperationAnswer& aAnswer)
{
  WithExecution(aKey, [&](Execution& aExecution, StepContext& aContext) {
    aExecution.OnLedgerAnswer(aContext, aCall, aAnswer);
  });
}

void
RequestManagerState::BeginExecution(const RequestKey& aKey,
                                    const ledger::OperationAnswer& aAnswer,
                                    ExecutionOrigin aWhy)
{
  LocalRequest& request = mRequests[aKey];
  request.mFollowing.reset();
  request.mReceivedAnswer = Answer{};
  request.mExecution =
    std::make_unique<Execution>(*aAnswer.mRecord, mNow + aAnswer.mRemaining);
  if (aWhy == ExecutionOrigin::kAccepted) {
    Admit(aKey);
    return;
  }
  // The request was admitted at its first executor and is not queued again.
  WithExecution(aKey, [&](Execution& aExecution, StepContext& aContext) {
    aExecution.Start(aContext, aWhy);
  });
}

void
RequestManagerState::RefuseExchange(CallId aExchange,
                                    std::int32_t aStatus,
                                    std::string aReason)
{
  ledger::Outcome outcome{ .mKind = ledger::OutcomeKind::kRefused,
                           .mStatus = aStatus,
                           .mReason = std::move(aReason),
                           .mRetryAfter = mOptions.mRetryAfter };
  mExchanges.erase(aExchange);
  ReplyTo(aExchange, FinalReply{ std::move(outcome), mSelf });
}

} // namespace peridotspool::request
