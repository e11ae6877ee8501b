// Relays answers between entries: a request runs at one entry, and its callers
// may be connected to any entry.

#include "request/RequestManagerState.h"

#include <algorithm>

namespace peridotspool::request {

namespace {

/** Number of unanswered queries to the executor before the ledger is read to
 * find the current executor. */
constexpr std::uint32_t kMaxUnansweredQueries = 2;
/** Delay before the ledger is read again after an executor denied running the
 * request. */
constexpr Duration kDenialRetryDelay = std::chrono::milliseconds(150);

} // namespace

void
RequestManagerState::Follow(const RequestKey& aKey,
                            const ledger::RequestRecord& aRecord)
{
  LocalRequest& request = mRequests[aKey];
  const bool same = request.mFollowing &&
                    request.mFollowing->mExecutorTurn == aRecord.mExecutorTurn;
  if (!same) {
    request.mFollowing = FollowState{ .mExecutor = aRecord.mExecutor,
                                      .mExecutorTurn = aRecord.mExecutorTurn };
    // Another executor may produce another text, so the received one is
    // dropped.
    request.mReceivedAnswer = Answer{ .mExecutor = aRecord.mExecutor };
  }
  request.mFollowing->mUnansweredQueries = 0;
  QueryExecutor(aKey, request);
}

void
RequestManagerState::QueryExecutor(const RequestKey& aKey,
                                   LocalRequest& aRequest)
{
  FollowState& following = *aRequest.mFollowing;
  mEffects->emplace_back(
    RelayEffect{ following.mExecutor,
                 FollowMessage{ aKey,
                                aRequest.mReceivedAnswer.mLineage,
                                aRequest.mReceivedAnswer.mText.size() } });
  following.mNextQueryAt = mNow + mOptions.mFollowRetryInterval;
  SetWake(aKey, aRequest, following.mNextQueryAt);
}

void
RequestManagerState::FollowTick(const RequestKey& aKey, LocalRequest& aRequest)
{
  FollowState& following = *aRequest.mFollowing;
  if (following.mDenials > 0 ||
      following.mUnansweredQueries >= kMaxUnansweredQueries) {
    following.mUnansweredQueries = 0;
    SetWake(aKey, aRequest, mNow + mOptions.mFollowRetryInterval);
    Resolve(aKey);
    return;
  }
  ++following.mUnansweredQueries;
  QueryExecutor(aKey, aRequest);
}

void
RequestManagerState::OnRelay(MemberId aFrom, const FollowMessage& aMessage)
{
  const auto found = mRequests.find(aMessage.mKey);
  if (found == mRequests.end() || !found->second.mExecution) {
    mEffects->emplace_back(
      RelayEffect{ aFrom, NotExecutorMessage{ aMessage.mKey } });
    return;
  }
  LocalRequest& request = found->second;
  request.mSubscribers.Add(aFrom, { aMessage.mLineage, aMessage.mOffset });
  const Answer& answer = request.mExecution->CurrentAnswer();
  const bool nothingNew = answer.mLineage == aMessage.mLineage &&
                          answer.mText.size() <= aMessage.mOffset;
  if (nothingNew || !answer.mLineage.IsSet()) {
    // An empty piece reports that the executor is alive and runs the request.
    mEffects->emplace_back(RelayEffect{
      aFrom,
      PieceMessage{ aMessage.mKey, aMessage.mLineage, aMessage.mOffset, "" } });
  }
  PublishProgress(aMessage.mKey);
}

void
RequestManagerState::OnRelay(MemberId aFrom, const PieceMessage& aMessage)
{
  const auto found = mRequests.find(aMessage.mKey);
  if (found == mRequests.end() || !found->second.mFollowing ||
      found->second.mFollowing->mExecutor != aFrom) {
    mEffects->emplace_back(CountEffect{ Tally::kLatePieceDropped });
    return;
  }
  LocalRequest& request = found->second;
  Answer& mirror = request.mReceivedAnswer;
  request.mFollowing->mLastReceivedAt = mNow;
  request.mFollowing->mUnansweredQueries = 0;
  request.mFollowing->mDenials = 0;
  SetWake(aMessage.mKey, request, mNow + mOptions.mFollowRetryInterval);
  if (aMessage.mText.empty()) {
    return;
  }
  if (mirror.mLineage != aMessage.mLineage && aMessage.mOffset == 0) {
    mirror.mLineage = aMessage.mLineage;
    mirror.mText.clear();
  }
  const bool fits = mirror.mLineage == aMessage.mLineage &&
                    mirror.mText.size() == aMessage.mOffset;
  if (fits) {
    mirror.mText += aMessage.mText;
    PublishProgress(aMessage.mKey);
    return;
  }
  const bool repeated = mirror.mLineage == aMessage.mLineage &&
                        aMessage.mOffset < mirror.mText.size();
  if (!repeated) {
    // An earlier piece was lost between the entries; query it again.
    QueryExecutor(aMessage.mKey, request);
  }
}

void
RequestManagerState::OnRelay(MemberId /*aFrom*/, const EndedMessage& aMessage)
{
  const auto found = mRequests.find(aMessage.mKey);
  if (found == mRequests.end()) {
    return;
  }
  LocalRequest& request = found->second;
  if (request.mExecution) {
    WithExecution(aMessage.mKey,
                  [&](Execution& aExecution, StepContext& aContext) {
                    aExecution.OnOutcome(aContext, aMessage.mOutcome);
                  });
    return;
  }
  request.mReceivedAnswer =
    MakeAnswer(aMessage.mOutcome, request.mReceivedAnswer.mExecutor);
  request.mFollowing.reset();
  PublishProgress(aMessage.mKey);
}

void
RequestManagerState::OnRelay(MemberId aFrom, const NotExecutorMessage& aMessage)
{
  const auto found = mRequests.find(aMessage.mKey);
  if (found == mRequests.end() || !found->second.mFollowing ||
      found->second.mFollowing->mExecutor != aFrom) {
    return;
  }
  ++found->second.mFollowing->mDenials;
  SetWake(aMessage.mKey, found->second, mNow + kDenialRetryDelay);
}

void
RequestManagerState::OnRelay(MemberId aFrom, const HandOverMessage& aMessage)
{
  ProposeTakeOver(aMessage.mKey, aMessage.mExecutorTurn, aFrom);
}

void
RequestManagerState::OnRelay(MemberId /*aFrom*/,
                             const TakenOverMessage& aMessage)
{
  WithExecution(
    aMessage.mKey, [&](Execution& aExecution, StepContext& aContext) {
      if (aExecution.Record().mExecutorTurn < aMessage.mExecutorTurn) {
        aExecution.OnTurnLost(aContext);
      }
    });
}

void
RequestManagerState::HandOver(const RequestKey& aKey, LocalRequest& aRequest)
{
  const auto target = HandOverTarget(aKey);
  if (!aRequest.mExecution->CanHandOver() || !target) {
    return;
  }
  mEffects->emplace_back(CountEffect{ Tally::kHandedOver });
  mEffects->emplace_back(RelayEffect{
    *target,
    HandOverMessage{ aKey, aRequest.mExecution->Record().mExecutorTurn } });
}

std::optional<MemberId>
RequestManagerState::HandOverTarget(const RequestKey& aKey) const
{
  std::vector<MemberId> candidates;
  for (const auto& [member, state] : mMembers) {
    if (member != mSelf && state == membership::MemberState::kActive) {
      candidates.push_back(member);
    }
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  return candidates[std::hash<RequestKey>{}(aKey) % candidates.size()];
}

} // namespace peridotspool::request
