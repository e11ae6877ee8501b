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

/** Applies a push; returns the revisions that the host received. */
std::vector<Revision>
Push(ControlSession& aSession, const SettingsPush& aPush)
{
  std::vector<Revision> received;
  for (const auto& effect : aSession.Step(FromControlEvent{ aPush }, kStart)) {
    if (const auto* settings = std::get_if<NewSettingsEffect>(&effect)) {
      received.push_back(settings->mRevision);
      CHECK(settings->mText ==
            "a: " + std::to_string(settings->mRevision.Value()) + "\n");
      aSession.Step(SettingsInForceEvent{ settings->mRevision }, kStart);
    }
  }
  return received;
}

HeartbeatResponse
LeaderResponse(std::uint64_t aSequence, std::uint64_t aConfirmed)
{
  HeartbeatResponse response;
  response.mSequence = aSequence;
  response.mLeads = true;
  response.mMembershipStatus = MembershipStatus::kActive;
  response.mMember = MemberId(3);
  response.mConfirmed = Revision(aConfirmed);
  response.mEpoch = EpochNumber(1);
  response.mLease = std::chrono::seconds(1);
  return response;
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

/** Sends a heartbeat at aAt; returns its sequence number, 0 if none was sent.
 */
std::uint64_t
SendHeartbeat(ControlSession& aSession, TimePoint aAt)
{
  std::uint64_t sequence = 0;
  for (const auto& effect : aSession.Step(SessionTickEvent{}, aAt)) {
    const auto& send = std::get<ToControlEffect>(effect);
    sequence = std::get<EntryHeartbeat>(send.mEnvelope.mMessage).mSequence;
  }
  return sequence;
}

} // namespace

// Guards against reverting to replaced settings when pushes are delayed,
// duplicated or reordered and the last one to arrive is treated as the newest.
TEST_CASE("SettingsRevisionNeverDecreases")
{
  rc::prop("any pushes in any order", [] {
    ControlSession session(Options());
    const auto revisions = *rc::gen::container<std::vector<std::uint64_t>>(
      rc::gen::inRange<std::uint64_t>(1, 12));
    Revision highest;
    for (const std::uint64_t revision : revisions) {
      const bool whole = *rc::gen::arbitrary<bool>();
      const auto push = whole || revision == 1 ? Whole(revision)
                                               : Delta(revision - 1, revision);
      for (const Revision received : Push(session, push)) {
        RC_ASSERT(received > highest);
        highest = received;
      }
      RC_ASSERT(session.InForceRevision() == highest);
    }
  });
}

TEST_CASE("DeltaWithAnotherBaseIsNotAppliedAndPulled")
{
  ControlSession session(Options());
  Push(session, Whole(1));
  const auto effects = session.Step(FromControlEvent{ Delta(2, 3) }, kStart);
  REQUIRE(effects.size() == 2);
  const auto& send = std::get<ToControlEffect>(effects[0]);
  CHECK(std::get<SettingsPull>(send.mEnvelope.mMessage).mHave == Revision(1));
  CHECK(Push(session, Delta(1, 2)) == std::vector{ Revision(2) });
}

TEST_CASE("TextWithWrongDigestIsReplacedByPullingTheWholeTree")
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

// Guards against serving with outdated settings: an entry restarts on the
// minority side of a network partition, receives settings from a replica that
// isn't the leader, and treats them as the newest ones.
TEST_CASE("RestartedEntryDoesNotServeBeforeItsRevisionIsConfirmed")
{
  ControlSession session(Options());
  const std::uint64_t first = SendHeartbeat(session, kStart);
  session.Step(FromControlEvent{ FirstEpoch() }, kStart);
  Push(session, Whole(4));
  CHECK(session.MayServe(kStart) == ServeVerdict::kNotMember);
  // Confirmed, but newer settings exist.
  session.Step(FromControlEvent{ LeaderResponse(first, 5) }, kStart);
  CHECK(session.MayServe(kStart) == ServeVerdict::kNeverConfirmed);
  // Only the leader can confirm a revision.
  HeartbeatResponse hint =
    LeaderResponse(SendHeartbeat(session, kStart + std::chrono::seconds(1)), 4);
  hint.mLeads = false;
  session.Step(FromControlEvent{ hint }, kStart + std::chrono::seconds(1));
  CHECK(session.MayServe(kStart) == ServeVerdict::kNeverConfirmed);
  Push(session, Whole(5));
  const TimePoint later = kStart + std::chrono::seconds(2);
  const std::uint64_t second = SendHeartbeat(session, later);
  session.Step(FromControlEvent{ LeaderResponse(second, 5) }, later);
  CHECK(session.MayServe(later) == ServeVerdict::kMayServe);
}

// Guards against an entry that acts after its place was given to others: the
// response to a heartbeat is delayed by 3 s, and the lease is counted from its
// arrival.
TEST_CASE("LeaseStartsWhenTheHeartbeatIsSent")
{
  ControlSession session(Options());
  session.Step(FromControlEvent{ FirstEpoch() }, kStart);
  const std::uint64_t sequence = SendHeartbeat(session, kStart);
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
  session.Step(
    FromControlEvent{ LeaderResponse(SendHeartbeat(session, kStart), 1) },
    kStart);
  const TimePoint later = kStart + std::chrono::seconds(1);
  const std::uint64_t sequence = SendHeartbeat(session, later);
  HeartbeatResponse removed = LeaderResponse(sequence, 1);
  removed.mMembershipStatus = MembershipStatus::kRemoved;
  removed.mMember = MemberId();
  const auto effects = session.Step(FromControlEvent{ removed }, later);
  REQUIRE(effects.size() == 1);
  CHECK(std::holds_alternative<RemovedEffect>(effects[0]));
  session.Step(FromControlEvent{ LeaderResponse(sequence, 1) }, later);
  CHECK(session.MayServe(later) == ServeVerdict::kRemoved);
  CHECK(SendHeartbeat(session, later + std::chrono::seconds(1)) == 0);
}

// Guards against slow restarts of the whole system: an entry sends a heartbeat
// just before a leader is elected, and the next one only a full period (300 ms)
// later, because the period is the same with and without settings.
TEST_CASE("EntryWithoutSettingsSendsFrequentHeartbeatsForALimitedTime")
{
  using std::chrono::milliseconds;
  ControlSession session(Options());
  const auto countHeartbeats = [&](TimePoint aFrom) {
    int heartbeats = 0;
    for (int tick = 0; tick < 12; ++tick) {
      heartbeats +=
        SendHeartbeat(session, aFrom + tick * milliseconds(50)) == 0 ? 0 : 1;
    }
    return heartbeats;
  };
  CHECK(countHeartbeats(kStart) == 12);
  CHECK(countHeartbeats(kStart + std::chrono::seconds(5)) == 2);
  ControlSession serving(Options());
  Push(serving, Whole(1));
  int heartbeats = 0;
  for (int tick = 0; tick < 12; ++tick) {
    heartbeats +=
      SendHeartbeat(serving, kStart + tick * milliseconds(50)) == 0 ? 0 : 1;
  }
  CHECK(heartbeats <= 3);
}

// Guards against a member that acts by an epoch that another one has replaced.
TEST_CASE("AnEpochIsConfirmedOnlyIfTheLeaderKnowsNoNewerOne")
{
  ControlSession session(Options());
  const TimePoint first = kStart + std::chrono::seconds(1);
  const auto sequence = SendHeartbeat(session, first);
  session.Step(FromControlEvent{ LeaderResponse(sequence, 0) }, first);
  CHECK_FALSE(session.EpochConfirmedAt());
  session.Step(FromControlEvent{ FirstEpoch() }, first);
  const TimePoint second = kStart + std::chrono::seconds(2);
  const auto later = SendHeartbeat(session, second);
  session.Step(FromControlEvent{ LeaderResponse(later, 0) },
               second + std::chrono::milliseconds(40));
  CHECK(session.EpochConfirmedAt() == second);
  const TimePoint third = kStart + std::chrono::seconds(3);
  HeartbeatResponse newer = LeaderResponse(SendHeartbeat(session, third), 0);
  newer.mEpoch = EpochNumber(2);
  session.Step(FromControlEvent{ newer }, third);
  CHECK(session.EpochConfirmedAt() == second);
}

// Guards against refusals that wait for the next heartbeat, or for a relay.
TEST_CASE("AConfirmationIsAskedForAtOnceAndOfTheVoters")
{
  ControlSession session(Options());
  REQUIRE(SendHeartbeat(session, kStart) != 0);
  const auto sent = [&](std::chrono::milliseconds aAfter) {
    return session.Step(ConfirmSettingsEvent{}, kStart + aAfter);
  };
  CHECK(sent(std::chrono::milliseconds(99)).empty());
  const auto effects = sent(std::chrono::milliseconds(100));
  REQUIRE(effects.size() == 2);
  CHECK(std::holds_alternative<ToControlEffect>(effects.front()));
  CHECK(sent(std::chrono::milliseconds(150)).empty());
}

TEST_CASE("SettingsAreConfirmedAsOfTheHeartbeatThatWasAnswered")
{
  ControlSession session(Options());
  Push(session, Whole(1));
  const TimePoint sentAt = kStart + std::chrono::seconds(1);
  const std::uint64_t sequence = SendHeartbeat(session, sentAt);
  CHECK_FALSE(session.SettingsConfirmedAt());
  session.Step(FromControlEvent{ LeaderResponse(sequence, 1) },
               sentAt + std::chrono::seconds(3));
  CHECK(session.SettingsConfirmedAt() == std::optional(sentAt));
}

// Guards against a late response to an earlier session of the process, whose
// sequence numbers are the same, that confirms what it says nothing of.
TEST_CASE("AMessageForAnEarlierSessionIsIgnored")
{
  ControlSession session(Options());
  Push(session, Whole(1));
  const TimePoint sentAt = kStart + std::chrono::seconds(1);
  const std::uint64_t sequence = SendHeartbeat(session, sentAt);
  session.Step(FromControlEvent{ .mMessage = LeaderResponse(sequence, 1),
                                 .mTo = EntryNonce(4) },
               sentAt);
  CHECK_FALSE(session.SettingsConfirmedAt());
  CHECK_FALSE(session.Member().IsSet());
  session.Step(FromControlEvent{ .mMessage = LeaderResponse(sequence, 1),
                                 .mTo = EntryNonce(5) },
               sentAt);
  CHECK(session.SettingsConfirmedAt() == std::optional(sentAt));
}

} // namespace peridotspool::membership
