#include "request/RequestManagerState.h"

#include "peridotspool/base/Overloaded.h"

#include <algorithm>
#include <utility>

namespace peridotspool::request {

RequestManagerState::RequestManagerState(MemberId aSelf,
                                         RequestOptions aOptions,
                                         routing::Router& aRouter)
  : mSelf(aSelf)
  , mOptions(aOptions)
  , mRouter(aRouter)
  , mAdmission(aSelf, aOptions)
  , mRandom(aOptions.mRandomSeed ^ aSelf.Value())
  , mHeldAnswers(aOptions.mResponses)
{
}

Effects
RequestManagerState::Step(const Event& aEvent, TimePoint aNow)
{
  Effects effects;
  mNow = aNow;
  mEffects = &effects;
  std::visit([this](const auto& aAny) { On(aAny); }, aEvent);
  mEffects = nullptr;
  RemoveAnsweredExchanges(effects);
  return effects;
}

void
RequestManagerState::RemoveAnsweredExchanges(const Effects& aEffects)
{
  for (const Effect& effect : aEffects) {
    const auto* reply = std::get_if<ReplyEffect>(&effect);
    const bool last = reply != nullptr &&
                      !std::holds_alternative<AcceptedReply>(reply->mReply) &&
                      !std::holds_alternative<PieceReply>(reply->mReply) &&
                      !std::holds_alternative<RestartReply>(reply->mReply);
    if (last) {
      mExchanges.erase(reply->mExchange);
    }
  }
}

std::size_t
RequestManagerState::Running() const
{
  return static_cast<std::size_t>(
    std::count_if(mRequests.begin(), mRequests.end(), [](const auto& aPair) {
      return aPair.second.mExecution != nullptr;
    }));
}

std::size_t
RequestManagerState::Callers() const
{
  return mExchanges.size();
}

void
RequestManagerState::On(const SubmitEvent& aEvent)
{
  mExchanges[aEvent.mExchange] = aEvent.mKey;
  Propose(aEvent.mKey,
          ledger::AcceptOperation{ .mTerms = aEvent.mTerms,
                                   .mExecutor = mSelf,
                                   .mRemaining = aEvent.mRemaining,
                                   .mKeyIsNew = aEvent.mKeyIsNew },
          { aEvent.mKey, AcceptPending{ aEvent.mExchange } });
}

void
RequestManagerState::On(const AttachEvent& aEvent)
{
  mExchanges[aEvent.mExchange] = aEvent.mKey;
  LocalRequest& request = mRequests[aEvent.mKey];
  request.mSubscribers.Add(aEvent.mExchange,
                           { aEvent.mLineage, aEvent.mOffset });
  if (!request.mExecution) {
    Resolve(aEvent.mKey);
  }
  PublishProgress(aEvent.mKey);
}

void
RequestManagerState::On(const CancelEvent& aEvent)
{
  Propose(aEvent.mKey,
          ledger::CancelOperation{},
          { aEvent.mKey, ConfirmPending{ aEvent.mExchange } });
}

void
RequestManagerState::On(const AcknowledgeEvent& aEvent)
{
  Propose(aEvent.mKey,
          ledger::ForgetOperation{},
          { aEvent.mKey, ConfirmPending{ aEvent.mExchange } });
}

void
RequestManagerState::On(const ShowEvent& aEvent)
{
  Propose(aEvent.mKey,
          ledger::ReadOperation{},
          { aEvent.mKey, ShowPending{ aEvent.mExchange } });
}

void
RequestManagerState::On(const CallerGoneEvent& aEvent)
{
  const auto exchange = mExchanges.find(aEvent.mExchange);
  if (exchange == mExchanges.end()) {
    return;
  }
  const RequestKey key = exchange->second;
  mExchanges.erase(exchange);
  const auto request = mRequests.find(key);
  if (request != mRequests.end()) {
    request->second.mSubscribers.Remove(aEvent.mExchange);
    PublishProgress(key);
  }
}

void
RequestManagerState::On(const LedgerAnsweredEvent& aEvent)
{
  const auto found = mProposals.find(aEvent.mCall);
  if (found == mProposals.end()) {
    return;
  }
  const PendingProposal pending = std::move(found->second);
  mProposals.erase(found);
  const RequestKey& key = pending.mKey;
  const ledger::OperationAnswer& answer = aEvent.mAnswer;
  std::visit(
    Overloaded{
      [&](const AcceptPending& aAccept) { OnAccepted(key, aAccept, answer); },
      [&](const ResolvePending&) { OnResolved(key, answer); },
      [&](const TakeOverPending& aTakeOver) {
        OnTakenOver(key, aTakeOver, answer);
      },
      [&](const ConfirmPending& aOne) { OnConfirmed(key, aOne, answer); },
      [&](const ShowPending& aShow) { OnShown(aShow, answer); },
      [&](const ExecutionPending&) {
        OnExecutionAnswer(key, aEvent.mCall, answer);
      } },
    pending.mPurpose);
}

void
RequestManagerState::On(const OrphanedEvent& aEvent)
{
  const RequestKey& key = aEvent.mRecord.mKey;
  const auto found = mRequests.find(key);
  if (found != mRequests.end() && found->second.mExecution) {
    return;
  }
  ProposeTakeOver(key, aEvent.mRecord.mExecutorTurn, aEvent.mRecord.mExecutor);
}

void
RequestManagerState::On(const RelayEvent& aEvent)
{
  std::visit([&](const auto& aMessage) { OnRelay(aEvent.mFrom, aMessage); },
             aEvent.mMessage);
}

void
RequestManagerState::On(const MembersEvent& aEvent)
{
  mMembers.clear();
  for (const membership::Member& member : aEvent.mMap.mMembers) {
    mMembers[member.mId] = member.mState;
  }
  std::vector<MemberId> active;
  for (const auto& [id, state] : mMembers) {
    if (state == membership::MemberState::kActive || id == mSelf) {
      active.push_back(id);
    }
  }
  mAdmission.SetMembers(std::move(active));
  std::vector<RequestKey> lost;
  for (const auto& [key, request] : mRequests) {
    if (request.mFollowing && !IsMember(request.mFollowing->mExecutor)) {
      lost.push_back(key);
    }
  }
  for (const RequestKey& key : lost) {
    Resolve(key);
  }
}

void
RequestManagerState::On(const DrainEvent& /*aEvent*/)
{
  mDraining = true;
  std::vector<RequestKey> keys;
  for (const auto& [key, request] : mRequests) {
    keys.push_back(key);
  }
  for (const RequestKey& key : keys) {
    LocalRequest& request = mRequests[key];
    if (request.mExecution) {
      HandOver(key, request);
    } else if (request.mFollowing) {
      request.mSubscribers.RedirectCallers(*mEffects);
    }
    PublishProgress(key);
  }
}

void
RequestManagerState::On(const AbandonEvent& /*aEvent*/)
{
  for (const auto& [call, key] : mUpstreamCalls) {
    mEffects->emplace_back(DropUpstreamEffect{ call });
  }
  for (const auto& [exchange, key] : mExchanges) {
    ReplyTo(exchange, MovedReply{});
  }
  mUpstreamCalls.clear();
  mProposals.clear();
  mRequests.clear();
  mHeldAnswers = HeldAnswers(mOptions.mResponses);
  mWakes.clear();
}

void
RequestManagerState::On(const TickEvent& /*aEvent*/)
{
  while (!mWakes.empty() && mWakes.begin()->first <= mNow) {
    const RequestKey key = mWakes.begin()->second;
    mWakes.erase(mWakes.begin());
    HandleWake(key);
  }
  TickAdmission();
}

void
RequestManagerState::HandleWake(const RequestKey& aKey)
{
  const auto found = mRequests.find(aKey);
  if (found == mRequests.end()) {
    return;
  }
  found->second.mWake = TimePoint::max();
  if (found->second.mExecution) {
    WithExecution(aKey, [](Execution& aExecution, StepContext& aContext) {
      aExecution.OnTick(aContext);
    });
  } else if (found->second.mFollowing) {
    FollowTick(aKey, found->second);
    PublishProgress(aKey);
  }
}

CallId
RequestManagerState::Propose(const RequestKey& aKey,
                             ledger::Operation aOperation,
                             PendingProposal aPending)
{
  mLastCall = mLastCall.Next();
  mProposals.emplace(mLastCall, std::move(aPending));
  mEffects->emplace_back(
    ProposeEffect{ mLastCall, aKey, std::move(aOperation) });
  return mLastCall;
}

void
RequestManagerState::ReplyTo(CallId aExchange, Reply aReply)
{
  mEffects->emplace_back(ReplyEffect{ aExchange, std::move(aReply) });
}

bool
RequestManagerState::IsMember(MemberId aMember) const
{
  return mMembers.count(aMember) > 0;
}

bool
RequestManagerState::IsDraining(MemberId aMember) const
{
  const auto found = mMembers.find(aMember);
  return found != mMembers.end() &&
         found->second == membership::MemberState::kDraining;
}

void
RequestManagerState::WithExecution(const RequestKey& aKey,
                                   const UseExecution& aUse)
{
  const auto found = mRequests.find(aKey);
  if (found == mRequests.end() || !found->second.mExecution) {
    return;
  }
  const std::size_t before = mEffects->size();
  StepContext context{ .mNow = mNow,
                       .mSelf = mSelf,
                       .mOptions = mOptions,
                       .mRouter = mRouter,
                       .mAdmission = mAdmission,
                       .mRandom = mRandom,
                       .mLastCall = mLastCall,
                       .mEffects = *mEffects };
  aUse(*found->second.mExecution, context);
  RegisterNewEffects(aKey, before);
  PublishProgress(aKey);
}

void
RequestManagerState::RegisterNewEffects(const RequestKey& aKey,
                                        std::size_t aFrom)
{
  for (std::size_t index = aFrom; index < mEffects->size(); ++index) {
    const Effect& effect = (*mEffects)[index];
    if (const auto* proposal = std::get_if<ProposeEffect>(&effect)) {
      mProposals[proposal->mCall] = { aKey, ExecutionPending{} };
    } else if (const auto* start = std::get_if<StartUpstreamEffect>(&effect)) {
      mUpstreamCalls[start->mCall] = aKey;
    } else if (const auto* drop = std::get_if<DropUpstreamEffect>(&effect)) {
      mUpstreamCalls.erase(drop->mCall);
    }
  }
}

void
RequestManagerState::PublishProgress(const RequestKey& aKey)
{
  const auto found = mRequests.find(aKey);
  if (found == mRequests.end()) {
    return;
  }
  LocalRequest& request = found->second;
  if (request.mExecution) {
    PublishExecutionProgress(aKey, request);
  } else {
    request.mSubscribers.Publish(aKey, request.mReceivedAnswer, *mEffects);
  }
  RecordHeld(aKey);
  const bool unused =
    !request.mExecution && !request.mResolving && request.mSubscribers.Empty();
  if (unused) {
    SetWake(aKey, request, TimePoint::max());
    mRequests.erase(found);
  }
}

void
RequestManagerState::PublishExecutionProgress(const RequestKey& aKey,
                                              LocalRequest& aRequest)
{
  Execution& execution = *aRequest.mExecution;
  aRequest.mSubscribers.Publish(aKey, execution.CurrentAnswer(), *mEffects);
  if (!execution.Ended()) {
    SetWake(aKey, aRequest, execution.NextWake());
    return;
  }
  const bool lostTurn = execution.LostTurn();
  const ServiceName service = execution.Record().mTerms.mService;
  SetWake(aKey, aRequest, TimePoint::max());
  aRequest.mExecution.reset();
  if (aRequest.mAdmittedAt) {
    const TimePoint admittedAt = *aRequest.mAdmittedAt;
    aRequest.mAdmittedAt.reset();
    EndAdmitted(aKey, service, admittedAt);
  }
  if (!lostTurn) {
    return;
  }
  if (mDraining) {
    aRequest.mSubscribers.RedirectCallers(*mEffects);
  } else if (!aRequest.mSubscribers.Empty()) {
    Resolve(aKey);
  }
}

void
RequestManagerState::SetWake(const RequestKey& aKey,
                             LocalRequest& aRequest,
                             TimePoint aWake)
{
  if (aRequest.mWake == aWake) {
    return;
  }
  if (aRequest.mWake != TimePoint::max()) {
    mWakes.erase({ aRequest.mWake, aKey });
  }
  aRequest.mWake = aWake;
  if (aWake != TimePoint::max()) {
    mWakes.insert({ aWake, aKey });
  }
}
} // namespace peridotspool::request
