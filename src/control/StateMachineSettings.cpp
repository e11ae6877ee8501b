// Settings edits in the replicated state.

#include "peridotspool/control/StateMachine.h"

#include <algorithm>

namespace peridotspool::control {

namespace {

std::size_t
SizeOf(const TextDelta& aDelta)
{
  return aDelta.mRemoved.size() + aDelta.mInserted.size();
}

std::size_t
BytesOf(const SettingsChange& aChange)
{
  return aChange.mDelta ? SizeOf(*aChange.mDelta) : 0;
}

} // namespace

ApplyResult
StateMachine::ApplyCommand(const EditCommand& aCommand)
{
  // A resent edit must not be evaluated again: its base is outdated by then, so
  // it would be reported to have lost against itself. The retained response
  // survives a leader change and a snapshot because it is part of the
  // replicated state.
  if (const auto known = KnownEdit(aCommand.mEdit, aCommand.mDigest)) {
    return *known;
  }
  const EditResponse answer = Judge(aCommand);
  Remember(aCommand, answer);
  return answer;
}

EditResponse
StateMachine::Judge(const EditCommand& aCommand)
{
  SettingsState& settings = mState.mSettings;
  if (aCommand.mBase != settings.mRevision) {
    return ConflictOf(aCommand.mBase);
  }
  LastReason reason;
  auto text = ApplyDelta(settings.mText, aCommand.mDelta, reason);
  if (!text) {
    return EditResponse{ .mVerdict = EditVerdict::kInvalid,
                         .mRevision = settings.mRevision,
                         .mWinner = EditId(),
                         .mReason = reason.Text() };
  }
  ReplaceText(std::move(*text), aCommand.mEdit, aCommand.mAuthor);
  return EditResponse{ .mVerdict = EditVerdict::kCommitted,
                       .mRevision = settings.mRevision,
                       .mWinner = EditId(),
                       .mReason = {} };
}

void
StateMachine::ReplaceText(std::string aText, EditId aEdit, std::string aAuthor)
{
  SettingsState& settings = mState.mSettings;
  std::optional<TextDelta> delta = MakeDelta(settings.mText, aText);
  // Almost all of a packed text changes with each document. Its delta would be
  // larger than the text and take part in every snapshot.
  if (SizeOf(*delta) > mOptions.mMaxHistoryBytes) {
    delta.reset();
  }
  settings.mText = std::move(aText);
  settings.mRevision = settings.mRevision.Next();
  mSettingsDigest = DigestOf(settings.mText);
  settings.mHistory.push_back({ .mRevision = settings.mRevision,
                                .mEdit = std::move(aEdit),
                                .mAuthor = std::move(aAuthor),
                                .mDelta = std::move(delta) });
  TrimHistory();
}

// Two operators may send documents at the same time, and an older one may be
// resent after its response was lost. The highest version wins regardless of
// the order in the log. A document with a lower version is reported as
// accepted, because a refusal would contradict an earlier acknowledgement.
ApplyResult
StateMachine::ApplyCommand(const DocumentCommand& aCommand)
{
  SettingsState& settings = mState.mSettings;
  if (!settings.mDocument || aCommand.mVersion > *settings.mDocument) {
    settings.mDocument = aCommand.mVersion;
    ReplaceText(aCommand.mText,
                EditId("document-" + std::to_string(aCommand.mVersion)),
                "operator");
  }
  return DocumentApplied{ *settings.mDocument };
}

EditResponse
StateMachine::ConflictOf(Revision aBase) const
{
  const SettingsState& settings = mState.mSettings;
  EditResponse answer{ .mVerdict = EditVerdict::kConflict,
                       .mRevision = settings.mRevision,
                       .mWinner = EditId(),
                       .mReason =
                         "the base is too old to say who replaced it" };
  if (aBase > settings.mRevision) {
    answer.mVerdict = EditVerdict::kInvalid;
    answer.mReason = "revision " + std::to_string(aBase.Value()) +
                     " does not exist; the newest is " +
                     std::to_string(settings.mRevision.Value());
    return answer;
  }
  const auto winner = std::find_if(
    settings.mHistory.begin(),
    settings.mHistory.end(),
    [&](const auto& aChange) { return aChange.mRevision == aBase.Next(); });
  if (winner != settings.mHistory.end()) {
    answer.mRevision = winner->mRevision;
    answer.mWinner = winner->mEdit;
    answer.mReason = "another edit replaced the base first";
  }
  return answer;
}

std::optional<EditResponse>
StateMachine::KnownEdit(const EditId& aEdit, std::uint64_t aDigest) const
{
  const auto known = mState.mSettings.mEdits.find(aEdit);
  if (known == mState.mSettings.mEdits.end()) {
    return std::nullopt;
  }
  if (known->second.mDigest != aDigest) {
    return EditResponse{ .mVerdict = EditVerdict::kEditIdReused,
                         .mRevision = mState.mSettings.mRevision,
                         .mWinner = EditId(),
                         .mReason = "edit id " + aEdit.Value() +
                                    " belongs to another edit" };
  }
  return known->second.mAnswer;
}

void
StateMachine::Remember(const EditCommand& aCommand, const EditResponse& aAnswer)
{
  SettingsState& settings = mState.mSettings;
  settings.mEdits[aCommand.mEdit] = { .mDigest = aCommand.mDigest,
                                      .mAnswer = aAnswer };
  settings.mEditOrder.push_back(aCommand.mEdit);
  // A quarter is dropped at a time because erasing at the front of a vector
  // moves the rest.
  if (settings.mEditOrder.size() <= mOptions.mMaxEditIds) {
    return;
  }
  const std::size_t drop = std::max<std::size_t>(1, mOptions.mMaxEditIds / 4);
  const auto end =
    settings.mEditOrder.begin() + static_cast<std::ptrdiff_t>(drop);
  std::for_each(settings.mEditOrder.begin(), end, [&](const EditId& aEdit) {
    settings.mEdits.erase(aEdit);
  });
  settings.mEditOrder.erase(settings.mEditOrder.begin(), end);
}

void
StateMachine::TrimHistory()
{
  std::vector<SettingsChange>& history = mState.mSettings.mHistory;
  std::size_t bytes = 0;
  for (const SettingsChange& change : history) {
    bytes += BytesOf(change);
  }
  auto keepFrom = history.begin();
  const std::size_t most = mOptions.mMaxHistory;
  if (history.size() > most) {
    keepFrom += static_cast<std::ptrdiff_t>(
      std::min(history.size() - most + most / 4, history.size() - 1));
  }
  std::for_each(history.begin(), keepFrom, [&](const auto& aChange) {
    bytes -= BytesOf(aChange);
  });
  // The latest change is always retained: it identifies the winner of a
  // conflict.
  while (bytes > mOptions.mMaxHistoryBytes && keepFrom + 1 != history.end()) {
    bytes -= BytesOf(*keepFrom);
    ++keepFrom;
  }
  history.erase(history.begin(), keepFrom);
}

std::optional<std::string>
StateMachine::TextAt(Revision aRevision, LastReason& aReason) const
{
  const SettingsState& settings = mState.mSettings;
  std::optional<std::string> text = settings.mText;
  Revision at = settings.mRevision;
  auto change = settings.mHistory.rbegin();
  while (at > aRevision && text && change != settings.mHistory.rend() &&
         change->mDelta) {
    text = ApplyDelta(*text, Inverse(*change->mDelta), aReason);
    at = Revision(at.Value() - 1);
    ++change;
  }
  if (at != aRevision) {
    aReason.Set("revision " + std::to_string(aRevision.Value()) +
                " is not kept; the newest is " +
                std::to_string(settings.mRevision.Value()));
    return std::nullopt;
  }
  return text;
}

std::uint64_t
EditDigest(Revision aBase, const std::string& aText)
{
  return DigestOf(std::to_string(aBase.Value()) + ":" + aText);
}

} // namespace peridotspool::control
