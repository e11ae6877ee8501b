// ctest-labels: promise-config
#include "peridotspool/control/StateMachine.h"
#include "control/Pushes.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

namespace peridotspool::control {

namespace {

/**
 * A reference model of the settings service that shares none of its
 * implementation.
 */
struct NaiveSettings
{
  std::vector<std::pair<EditId, std::string>> mRevisions;
  std::map<EditId, EditResponse> mFirstAnswers;

  EditResponse Edit(const EditId& aEdit,
                    Revision aBase,
                    const std::string& aText)
  {
    if (const auto known = mFirstAnswers.find(aEdit);
        known != mFirstAnswers.end()) {
      return known->second;
    }
    EditResponse answer;
    if (aBase.Value() == mRevisions.size()) {
      mRevisions.emplace_back(aEdit, aText);
      answer = { EditVerdict::kCommitted, Revision(mRevisions.size()), {}, {} };
    } else {
      answer = { EditVerdict::kConflict,
                 aBase.Next(),
                 mRevisions[aBase.Value()].first,
                 "another edit replaced the base first" };
    }
    mFirstAnswers[aEdit] = answer;
    return answer;
  }
};

std::string
RandomTree()
{
  const auto values =
    *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4));
  std::string text;
  for (const int value : values) {
    text += "key: " + std::to_string(value) + "\n";
  }
  return text;
}

} // namespace

TEST_CASE("SettingsMatchASimpleListModel")
{
  rc::prop("answers, texts and history agree", [] {
    StateMachine machine({}, {});
    NaiveSettings naive;
    std::map<EditId, std::pair<Revision, std::string>> sent;
    const int steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step) {
      const EditId edit("edit-" + std::to_string(*rc::gen::inRange(0, 40)));
      const auto newest = machine.State().mSettings.mRevision.Value();
      const auto back = *rc::gen::inRange<std::uint64_t>(0, 3);
      // A resent edit is unchanged.
      const auto [base, text] =
        sent
          .try_emplace(
            edit, Revision(newest - std::min(newest, back)), RandomTree())
          .first->second;
      EditCommand command{ .mEdit = edit,
                           .mBase = base,
                           .mDelta = {},
                           .mDigest = EditDigest(base, text),
                           .mAuthor = "operator" };
      if (base.Value() == newest) {
        command.mDelta = MakeDelta(machine.State().mSettings.mText, text);
      }
      const auto answer = std::get<EditResponse>(machine.Apply(command));
      RC_ASSERT(answer == naive.Edit(edit, base, text));
      if (*rc::gen::inRange(0, 10) == 0) {
        machine = StateMachine({}, MachineState(machine.State()));
      }
    }
    for (std::size_t at = 0; at < naive.mRevisions.size(); ++at) {
      LastReason reason;
      RC_ASSERT(machine.TextAt(Revision(at + 1), reason) ==
                naive.mRevisions[at].second);
    }
  });
}

TEST_CASE("DeltaChangesOneTextIntoAnotherAndBack")
{
  rc::prop("any two texts", [] {
    const std::string from = RandomTree();
    const std::string to = RandomTree();
    const TextDelta delta = MakeDelta(from, to);
    LastReason reason;
    RC_ASSERT(ApplyDelta(from, delta, reason) == to);
    RC_ASSERT(ApplyDelta(to, Inverse(delta), reason) == from);
  });
}

TEST_CASE("HistoryLimitsAreEnforced")
{
  StateMachineOptions options;
  options.mMaxHistory = 20;
  options.mMaxEditIds = 30;
  options.mMaxEpochs = 8;
  StateMachine machine(options, {});
  for (std::uint64_t number = 0; number < 200; ++number) {
    const std::string text = "a: " + std::to_string(number) + "\n";
    machine.Apply(
      EditCommand{ .mEdit = EditId(std::to_string(number)),
                   .mBase = Revision(number),
                   .mDelta = MakeDelta(machine.State().mSettings.mText, text),
                   .mDigest = number,
                   .mAuthor = {} });
    MembershipCommand join;
    join.mJoins.push_back(
      { .mNonce = membership::EntryNonce(number + 1), .mProfile = {} });
    machine.Apply(join);
  }
  const MachineState& state = machine.State();
  CHECK(state.mSettings.mRevision == Revision(200));
  CHECK(state.mSettings.mHistory.size() <= 20);
  CHECK(state.mSettings.mHistory.back().mRevision == Revision(200));
  CHECK(state.mSettings.mEdits.size() <= 30);
  CHECK(state.mSettings.mEdits.size() == state.mSettings.mEditOrder.size());
  CHECK(state.mMembership.mChanges.size() == 8);
  CHECK(state.mMembership.mOldest.mEpoch == EpochNumber(192));
}

// Guards against a snapshot that holds large settings three times: once as they
// are, and as the removed and the inserted part of their last change.
TEST_CASE("DeltasOfLargeDocumentsAreNotRetained")
{
  StateMachine machine(StateMachineOptions{ .mMaxHistoryBytes = 1000 }, {});
  for (std::uint64_t version = 1; version <= 3; ++version) {
    machine.Apply(DocumentCommand{
      .mVersion = version,
      .mText = std::string(800, static_cast<char>('a' + version)) });
  }
  const SettingsState& settings = machine.State().mSettings;
  REQUIRE_FALSE(settings.mHistory.empty());
  CHECK(settings.mHistory.back().mRevision == Revision(3));
  CHECK_FALSE(settings.mHistory.back().mDelta.has_value());
  LastReason reason;
  CHECK(machine.TextAt(Revision(3), reason) == settings.mText);
  CHECK_FALSE(machine.TextAt(Revision(2), reason).has_value());
  const membership::SettingsPush push =
    MakeSettingsPush(settings, machine.SettingsDigest(), Revision(2));
  CHECK(push.mDeltas.empty());
  CHECK(push.mWhole == settings.mText);
}

TEST_CASE("RetainedEpochsLeadFromTheOldestToTheCurrentOne")
{
  rc::prop("any joins, drains and removals", [] {
    StateMachineOptions options;
    options.mMaxEpochs = 5;
    StateMachine machine(options, {});
    std::map<EpochNumber, membership::EpochMap> made;
    const int steps = *rc::gen::inRange(1, 40);
    for (int step = 0; step < steps; ++step) {
      MembershipCommand command;
      const auto number = *rc::gen::inRange<std::uint64_t>(1, 12);
      switch (*rc::gen::inRange(0, 3)) {
        case 0:
          command.mJoins.push_back(
            { .mNonce = membership::EntryNonce(number),
              .mProfile = { .mName = EntryName(std::to_string(number % 4)),
                            .mRegion = {},
                            .mDomain = {},
                            .mPeerAddress = {},
                            .mCallerAddress = {} } });
          break;
        case 1:
          command.mDrains.push_back(MemberId(number));
          break;
        default:
          command.mRemovals.push_back(MemberId(number));
          break;
      }
      machine.Apply(command);
      const auto& current = machine.State().mMembership.mCurrent;
      const auto first = made.try_emplace(current.mEpoch, current);
      RC_ASSERT(first.first->second == current);
    }
    const MembershipState& state = machine.State().mMembership;
    membership::EpochMap map = state.mOldest;
    for (const auto& change : state.mChanges) {
      RC_ASSERT(change.mEpoch == map.mEpoch.Next());
      membership::ApplyChange(map, change);
      RC_ASSERT(map == made.at(map.mEpoch));
    }
    RC_ASSERT(map == state.mCurrent);
    RC_ASSERT(state.mNonces.size() == state.mCurrent.mMembers.size());
  });
}

} // namespace peridotspool::control
