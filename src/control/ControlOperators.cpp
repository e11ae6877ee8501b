// Handles the requests of operators.

#include "control/ControlNodeState.h"
#include "peridotspool/base/PackedText.h"

#include <algorithm>

namespace peridotspool::control {

using membership::Member;

void
ControlNodeState::Handle(const OperatorEvent& aEvent)
{
  const bool anyReplica =
    std::holds_alternative<StatusRequest>(aEvent.mRequest);
  // Only the lease guarantees that a response reflects the newest state: a
  // leader that doesn't know it is partitioned would return old settings as
  // current.
  if (!anyReplica && !Leads(mNow)) {
    Answer(aEvent.mCall, NotLeaderResponse{ LeaderAddress() });
    return;
  }
  const std::size_t pending = mPendingCalls.size() + mPendingInForce.size();
  if (!anyReplica && pending >= mOptions.mMaxPending) {
    Answer(aEvent.mCall, OverloadedResponse{ "too many requests under way" });
    return;
  }
  std::visit(
    [&](const auto& aRequest) { HandleRequest(aEvent.mCall, aRequest); },
    aEvent.mRequest);
}

void
ControlNodeState::HandleRequest(CallId aCall, const EditRequest& aRequest)
{
  const std::uint64_t digest = EditDigest(aRequest.mBase, aRequest.mText);
  if (const auto answer = ResponseWithoutLog(aRequest, digest)) {
    Answer(aCall, *answer);
    return;
  }
  if (!HasRoomFor(aRequest.mText.size())) {
    Answer(aCall, OverloadedResponse{ "too many bytes under way" });
    return;
  }
  EditCommand command{ .mEdit = aRequest.mEdit,
                       .mBase = aRequest.mBase,
                       .mDelta = {},
                       .mDigest = digest,
                       .mAuthor = aRequest.mAuthor };
  if (aRequest.mBase == State().mSettings.mRevision) {
    command.mDelta = MakeDelta(State().mSettings.mText, aRequest.mText);
  }
  ProposeFor(aCall, std::move(command));
}

std::optional<EditResponse>
ControlNodeState::ResponseWithoutLog(const EditRequest& aRequest,
                                     std::uint64_t aDigest) const
{
  if (auto known = mMachine.KnownEdit(aRequest.mEdit, aDigest)) {
    return known;
  }
  EditResponse invalid{ .mVerdict = EditVerdict::kInvalid,
                        .mRevision = State().mSettings.mRevision,
                        .mWinner = EditId(),
                        .mReason = {} };
  if (!aRequest.mEdit.IsSet()) {
    invalid.mReason = "an edit needs an edit id";
    return invalid;
  }
  if (aRequest.mText.size() > mOptions.mMaxSettingsBytes) {
    invalid.mReason =
      "the settings have " + std::to_string(aRequest.mText.size()) +
      " bytes; " + std::to_string(mOptions.mMaxSettingsBytes) + " are the most";
    return invalid;
  }
  if (auto problem =
        mOptions.mChecker ? mOptions.mChecker(aRequest.mText) : std::nullopt) {
    invalid.mReason = std::move(*problem);
    return invalid;
  }
  return std::nullopt;
}

// Proposals pile up in memory, on this replica's way to its disk and in the
// log, while its disk or the followers are slow. Their number bounds nothing
// where each may hold whole settings.
bool
ControlNodeState::HasRoomFor(std::size_t aBytes) const
{
  return mConsensus->PendingBytes() + aBytes <= mOptions.mMaxPendingBytes;
}

void
ControlNodeState::ProposeFor(CallId aCall, Command aCommand)
{
  const Term term = mConsensus->CurrentTerm();
  if (const auto index = Propose(std::move(aCommand))) {
    mPendingCalls[*index] = PendingCall{ .mCall = aCall, .mTerm = term };
  } else {
    Answer(aCall, NotLeaderResponse{ LeaderAddress() });
  }
}

void
ControlNodeState::HandleRequest(CallId aCall, const FencingRequest&)
{
  ProposeFor(aCall, FencingCommand{});
}

void
ControlNodeState::HandleRequest(CallId aCall, const DocumentRequest& aRequest)
{
  if (aRequest.mText.size() > mOptions.mMaxSettingsBytes) {
    Answer(aCall,
           TooLargeResponse{ .mBytes = aRequest.mText.size(),
                             .mMost = mOptions.mMaxSettingsBytes });
    return;
  }
  const SettingsState& settings = State().mSettings;
  // Applied entries are committed, and the lease guarantees that nothing newer
  // is.
  if (settings.mDocument && aRequest.mVersion <= *settings.mDocument) {
    Answer(aCall,
           DocumentResponse{ .mNewest = *settings.mDocument,
                             .mRevision = settings.mRevision });
    return;
  }
  if (!HasRoomFor(aRequest.mText.size())) {
    Answer(aCall, OverloadedResponse{ "too many bytes under way" });
    return;
  }
  ProposeFor(aCall,
             DocumentCommand{ .mVersion = aRequest.mVersion,
                              .mText = PackText(aRequest.mText) });
}

void
ControlNodeState::HandleRequest(CallId aCall, const UsageRequest& aRequest)
{
  ProposeFor(aCall, UsageCommand{ aRequest.mWindow });
}

void
ControlNodeState::HandleRequest(CallId aCall,
                                const QuotaFloorsRequest& aRequest)
{
  ProposeFor(aCall, QuotaFloorsCommand{ aRequest.mFloors });
}

void
ControlNodeState::HandleRequest(CallId aCall, const QuarantineRequest&)
{
  Answer(aCall, Quarantined());
}

void
ControlNodeState::HandleRequest(CallId aCall,
                                const QuarantineChangeRequest& aRequest)
{
  ProposeFor(aCall, QuarantineCommand{ aRequest.mChanges });
}

QuarantineResponse
ControlNodeState::Quarantined() const
{
  QuarantineResponse answer;
  for (const routing::QuarantineRow& row : State().mQuarantine.mRows) {
    if (row.mChange.mStage != routing::QuarantineStage::kCleared) {
      answer.mRows.push_back(row);
    }
  }
  return answer;
}

void
ControlNodeState::HandleRequest(CallId aCall, const InForceRequest& aRequest)
{
  if (aRequest.mRevision > State().mSettings.mRevision) {
    Answer(aCall, RefusedResponse{ "that revision does not exist" });
    return;
  }
  mPendingInForce.push_back({ .mCall = aCall,
                              .mRevision = aRequest.mRevision,
                              .mDeadline = mNow + aRequest.mWait });
  CompleteInForceRequests();
}

InForceResponse
ControlNodeState::InForce(Revision aRevision) const
{
  InForceResponse answer{ .mRevision = aRevision,
                          .mInForce = false,
                          .mMissing = {} };
  for (const Member& member : State().mMembership.mCurrent.mMembers) {
    const EntrySession* session = mSessions.SessionOf(member.mId);
    if (session == nullptr || session->mInForce < aRevision) {
      answer.mMissing.push_back(member.mName);
    }
  }
  for (const RemovedEntry& departed : mRemovedEntries) {
    if (departed.mInForce < aRevision && departed.mUntil > mNow) {
      answer.mMissing.push_back(departed.mName);
    }
  }
  answer.mInForce = answer.mMissing.empty();
  return answer;
}

void
ControlNodeState::CompleteInForceRequests()
{
  std::erase_if(mPendingInForce, [&](const PendingInForce& aPending) {
    InForceResponse answer = InForce(aPending.mRevision);
    if (!answer.mInForce && mNow < aPending.mDeadline) {
      return false;
    }
    Answer(aPending.mCall, std::move(answer));
    return true;
  });
}

void
ControlNodeState::HandleRequest(CallId aCall, const SettingsRequest& aRequest)
{
  const Revision revision =
    aRequest.mRevision.value_or(State().mSettings.mRevision);
  LastReason reason;
  const auto kept = mMachine.TextAt(revision, reason);
  if (auto text = kept ? UnpackText(*kept) : std::nullopt) {
    Answer(
      aCall,
      SettingsResponse{ .mRevision = revision, .mText = std::move(*text) });
  } else {
    Answer(aCall, RefusedResponse{ reason.Text() });
  }
}

void
ControlNodeState::HandleRequest(CallId aCall, const HistoryRequest& aRequest)
{
  const auto& history = State().mSettings.mHistory;
  HistoryResponse answer;
  for (auto change = history.rbegin();
       change != history.rend() && answer.mChanges.size() < aRequest.mLimit;
       ++change) {
    answer.mChanges.push_back(*change);
  }
  Answer(aCall, std::move(answer));
}

void
ControlNodeState::HandleRequest(CallId aCall, const DiffRequest& aRequest)
{
  LastReason reason;
  auto from = mMachine.TextAt(aRequest.mFrom, reason);
  auto to = from ? mMachine.TextAt(aRequest.mTo, reason) : std::nullopt;
  if (!to) {
    Answer(aCall, RefusedResponse{ reason.Text() });
    return;
  }
  Answer(
    aCall,
    DiffResponse{ .mFromText = std::move(*from), .mToText = std::move(*to) });
}

void
ControlNodeState::HandleRequest(CallId aCall, const DrainRequest& aRequest)
{
  const auto& current = State().mMembership.mCurrent;
  const auto member = std::find_if(
    current.mMembers.begin(), current.mMembers.end(), [&](const auto& aMember) {
      return aMember.mName == aRequest.mEntry;
    });
  if (member == current.mMembers.end()) {
    Answer(aCall,
           RefusedResponse{ "no entry " + aRequest.mEntry.Value() +
                            " among the members" });
  } else if (member->mState == membership::MemberState::kDraining) {
    Answer(aCall,
           DrainResponse{ .mMember = member->mId, .mEpoch = current.mEpoch });
  } else {
    mEpochPlanner->HandleDrain(member->mId);
    mPendingDrains[member->mId].push_back(aCall);
    PlanEpoch();
  }
}

void
ControlNodeState::HandleRequest(CallId aCall, const StatusRequest&)
{
  Answer(aCall, Status());
}

StatusResponse
ControlNodeState::Status() const
{
  StatusResponse status;
  status.mSelf = Self();
  status.mRevision = State().mSettings.mRevision;
  status.mEpoch = State().mMembership.mCurrent.mEpoch;
  status.mLastFencing = State().mLastFencing;
  if (!mConsensus) {
    return status;
  }
  status.mLeader = mConsensus->Leader();
  status.mLeads = Leads(mNow);
  status.mTerm = mConsensus->CurrentTerm();
  status.mCommit = mConsensus->Commit();
  for (const ReplicaInfo& replica : mConsensus->Replicas().mReplicas) {
    const auto progress = mConsensus->Progress().find(replica.mId);
    const LogIndex match = replica.mId == Self() ? mConsensus->LastIndex()
                           : progress == mConsensus->Progress().end()
                             ? LogIndex()
                             : progress->second.mMatch;
    status.mReplicas.push_back({ .mInfo = replica, .mMatch = match });
  }
  for (const Member& member : State().mMembership.mCurrent.mMembers) {
    const EntrySession* session = mSessions.SessionOf(member.mId);
    const MemberView* view = mSessions.Member(member.mId);
    status.mEntries.push_back(
      { .mMember = member,
        .mInForce = session == nullptr ? Revision() : session->mInForce,
        .mEpoch = session == nullptr ? EpochNumber() : session->mEpoch,
        .mSilentFor = view == nullptr ? Duration(0) : mNow - view->mHeardAt });
  }
  return status;
}

void
ControlNodeState::Answer(CallId aCall, OperatorResponse aAnswer)
{
  mEffects.emplace_back(ResponseEffect{ aCall, std::move(aAnswer) });
}

void
ControlNodeState::FailPendingCalls()
{
  const auto uncertain = [&](CallId aCall) {
    Answer(aCall, UncertainResponse{ LeaderAddress() });
  };
  for (const auto& [index, pending] : mPendingCalls) {
    uncertain(pending.mCall);
  }
  for (const auto& [member, calls] : mPendingDrains) {
    std::for_each(calls.begin(), calls.end(), uncertain);
  }
  for (const PendingInForce& pending : mPendingInForce) {
    Answer(pending.mCall, NotLeaderResponse{ LeaderAddress() });
  }
  mPendingCalls.clear();
  mPendingDrains.clear();
  mPendingInForce.clear();
}

} // namespace peridotspool::control
