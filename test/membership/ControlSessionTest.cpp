// ctest-labels: promise-config
#include "peridotspool/membership/ControlSession.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

namespace peridotspool::membership {

namespace {

constexpr TimePoint kStart{ std::chrono::seconds(100) };

ControlSessionOptions
Options()
{
  ControlSessionOptions options;
  options.mNonce = EntryNonce(5);
  options.mControls = { { "control-1", 1 }, { "control-2", 1 } };
  return options;
}

SettingsPush
Whole(std::uint64_t aRevision)
{
  const std::string text = "a: " + std::to_string(aRevision) + "\n";
  return SettingsPush{ .mBase = {},
                       .mRevision = Revision(aRevision),
                       .mDeltas = {},
                       .mWhole = text,
                       .mDigest = DigestOf(text) };
}

SettingsPush
Delta(std::uint64_t aFrom, std::uint64_t aTo)
{
  SettingsPush push = Whole(aTo);
  push.mDeltas = { MakeDelta(*Whole(aFrom).mWhole, *push.mWhole) };
  push.mBase = Revision(aFrom);
  push.mWhole.reset();
  return push;
}

/** Carries out a push; returns the revisions that the host was given. */
std::vector<Revision>
Push(ControlSession& aSession, const SettingsPush& aPush)
{
  std::vector<Revision> taken;
  for (const auto& effect : aSession.Step(FromControlEvent{ aPush }, kStart)) {
    if (const auto* settings = std::get_if<NewSettingsEffect>(&effect)) {
      taken.push_back(settings->mRevision);
      CHECK(settings->mText ==
            "a: " + std::to_string(settings->mRevision.Value()) + "\n");
      aSession.Step(SettingsInForceEvent{ settings->mRevision }, kStart);
    }
  }
  return taken;
}

HeartbeatResponse
LeaderResponse(std::uint64_t aSequence, std::uint64_t aConfirmed)
{
  HeartbeatResponse answer;
  answer.mSequence = aSequence;
  answer.mLeads = true;
  answer.mMembershipStatus = MembershipStatus::kActive;
  answer.mMember = MemberId(3);
  answer.mConfirmed = Revision(aConfirmed);
  answer.mEpoch = EpochNumber(1);
  answer.mLease = std::chrono::seconds(1);
  return answer;
}

EpochPush
FirstEpoch()
{
  Member member;
  member.mId = MemberId(3);
  return EpochPush{ .mWhole = {},
                    .mChanges = {
                      EpochChange{ EpochNumber(1), { member }, {}, {} } } };
}

/** Sends a heartbeat at aAt; returns its number. */
std::uint64_t
Beat(ControlSession& aSession, TimePoint aAt)
{
  std::uint64_t sequence = 0;
  for (const auto& effect : aSession.Step(SessionTickEvent{}, aAt)) {
    const auto& send = std::get<ToControlEffect>(effect);
    sequence = std::get<EntryHeartbeat>(send.mEnvelope.mMessage).mSequence;
  }
  return sequence;
}

} // namespace

// Symptom: an entry goes back to settings that were replaced.
// Sequence: pushes arrive late, twice and out of order.
// Cause: the last push to arrive taken for the newest.
TEST_CASE("SettingsOnlyRise")
{
  rc::prop("whatever comes in whatever order", [] {
    ControlSession session(Options());
    const auto revisions = *rc::gen::container<std::vector<std::uint64_t>>(
      rc::gen::inRange<std::uint64_t>(1, 12));
    Revision highest;
    for (const std::uint64_t revision : revisions) {
      const bool whole = *rc::gen::arbitrary<bool>();
      const auto push = whole || revision == 1 ? Whole(revision)
                                               : Delta(revision - 1, revision);
      for (const Revision taken : Push(session, push)) {
        RC_ASSERT(taken > highest);
        highest = taken;
      }
      RC_ASSERT(session.InForceRevision() == highest);
    }
  });
}

TEST_CASE("DeltaOnAnotherBaseIsPulledInstead")
{
  ControlSession session(Options());
  Push(session, Whole(1));
  const auto effects = session.Step(FromControlEvent{ Delta(2, 3) }, kStart);
  REQUIRE(effects.size() == 2);
  const auto& send = std::get<ToControlEffect>(effects[0]);
  CHECK(std::get<SettingsPull>(send.mEnvelope.mMessage).mHave == Revision(1));
  CHECK(Push(session, Delta(1, 2)) == std::vector{ Revision(2) });
}

TEST_CASE("TextThatIsNotWhatWasCommittedIsPulledWhole")
{
  ControlSession session(Options());
  Push(session, Whole(1));
  SettingsPush wrong = Whole(2);
  wrong.mWhole = "a: 7\n";
  const auto effects = session.Step(FromControlEvent{ wrong }, kStart);
  REQUIRE(effects.size() == 2);
  const auto& send = std::get<ToControlEffect>(effects[0]);
  CHECK_FALSE(std::get<SettingsPull>(send.mEnvelope.mMessage).mHave.IsSet());
  CHECK(session.ReceivedRevision() == Revision(1));
}

// Symptom: a restarted entry serves callers by settings of long ago.
// Sequence: it restarts on the wrong side of a cut, where a replica that
// doesn't lead still gives it settings.
// Cause: having settings taken for having the newest ones.
TEST_CASE("RestartedEntryServesNobodyBeforeAConfirmedRevision")
{
  ControlSession session(Options());
  const std::uint64_t first = Beat(session, kStart);
  session.Step(FromControlEvent{ FirstEpoch() }, kStart);
  Push(session, Whole(4));
  CHECK(session.MayServe(kStart) == ServeVerdict::kNotMember);
  // Confirmed, but newer settings exist.
  session.Step(FromControlEvent{ LeaderResponse(first, 5) }, kStart);
  CHECK(session.MayServe(kStart) == ServeVerdict::kNeverConfirmed);
  // A replica that doesn't lead confirms nothing.
  HeartbeatResponse hint =
    LeaderResponse(Beat(session, kStart + std::chrono::seconds(1)), 4);
  hint.mLeads = false;
  session.Step(FromControlEvent{ hint }, kStart + std::chrono::seconds(1));
  CHECK(session.MayServe(kStart) == ServeVerdict::kNeverConfirmed);
  Push(session, Whole(5));
  const TimePoint later = kStart + std::chrono::seconds(2);
  const std::uint64_t second = Beat(session, later);
  session.Step(FromControlEvent{ LeaderResponse(second, 5) }, later);
  CHECK(session.MayServe(later) == ServeVerdict::kMayServe);
}

// Symptom: an entry acts for a while after its place was given to others.
// Sequence: the answer to a heartbeat waits in a queue for three seconds.
// Cause: the lease counted from the answer's arrival.
TEST_CASE("LeaseRunsFromTheSendingOfTheHeartbeat")
{
  ControlSession session(Options());
  session.Step(FromControlEvent{ FirstEpoch() }, kStart);
  const std::uint64_t sequence = Beat(session, kStart);
  const TimePoint late = kStart + std::chrono::seconds(3);
  session.Step(FromControlEvent{ LeaderResponse(sequence, 0) }, late);
  CHECK(session.Member() == MemberId(3));
  CHECK_FALSE(session.LeaseHolds(late));
}

TEST_CASE("RemovedProcessStaysRemoved")
{
  ControlSession session(Options());
  session.Step(FromControlEvent{ FirstEpoch() }, kStart);
  Push(session, Whole(1));
  session.Step(FromControlEvent{ LeaderResponse(Beat(session, kStart), 1) },
               kStart);
  const TimePoint later = kStart + std::chrono::seconds(1);
  const std::uint64_t sequence = Beat(session, later);
  HeartbeatResponse removed = LeaderResponse(sequence, 1);
  removed.mMembershipStatus = MembershipStatus::kRemoved;
  removed.mMember = MemberId();
  const auto effects = session.Step(FromControlEvent{ removed }, later);
  REQUIRE(effects.size() == 1);
  CHECK(std::holds_alternative<RemovedEffect>(effects[0]));
  session.Step(FromControlEvent{ LeaderResponse(sequence, 1) }, later);
  CHECK(session.MayServe(later) == ServeVerdict::kRemoved);
  CHECK(Beat(session, later + std::chrono::seconds(1)) == 0);
}

// Symptom: after a restart of everything, entries get their settings a third of
// a second after there is a leader.
// Sequence: the entry's heartbeat goes out right before the leader is elected,
// and the next one a whole period later.
// Cause: one period for an entry that serves and one that can't yet.
TEST_CASE("AnEntryWithoutSettingsAsksOftenButNotForEver")
{
  using std::chrono::milliseconds;
  ControlSession session(Options());
  const auto beatsIn = [&](TimePoint aFrom) {
    int beats = 0;
    for (int tick = 0; tick < 12; ++tick) {
      beats += Beat(session, aFrom + tick * milliseconds(50)) == 0 ? 0 : 1;
    }
    return beats;
  };
  CHECK(beatsIn(kStart) == 12);
  CHECK(beatsIn(kStart + std::chrono::seconds(5)) == 2);
  ControlSession serving(Options());
  Push(serving, Whole(1));
  int beats = 0;
  for (int tick = 0; tick < 12; ++tick) {
    beats += Beat(serving, kStart + tick * milliseconds(50)) == 0 ? 0 : 1;
  }
  CHECK(beats <= 3);
}

} // namespace peridotspool::membership
