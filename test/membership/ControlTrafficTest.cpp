// ctest-labels: unit
// How often an entry speaks to control replicas, where there are many.

#include "peridotspool/membership/ControlSession.h"

#include <catch2/catch.hpp>

#include <map>
#include <string>

namespace peridotspool::membership {

namespace {

constexpr int kReplicas = 21;
constexpr std::uint32_t kVoters = 5;

TimePoint
At(int aMs)
{
  return TimePoint(std::chrono::seconds(1000) + std::chrono::milliseconds(aMs));
}

std::vector<Address>
Replicas()
{
  std::vector<Address> replicas;
  for (int i = 1; i <= kReplicas; ++i) {
    replicas.push_back({ "10.0.0." + std::to_string(i), 7000 });
  }
  return replicas;
}

/** One entry with a leader that answers at once, until it is silenced. */
class Entry
{
public:
  Entry()
    : mSession({ .mNonce = EntryNonce(1),
                 .mProfile = { .mName = EntryName("e") },
                 .mControls = { Replicas()[0], Replicas()[1] } })
  {
  }

  void Run(int aFromMs, int aToMs, bool aLeaderAnswers)
  {
    for (int ms = aFromMs; ms < aToMs; ms += 50) {
      Carry(mSession.Step(SessionTickEvent{}, At(ms)), ms, aLeaderAnswers);
    }
  }

  void Carry(const ControlSessionEffects& aEffects, int aMs, bool aAnswers)
  {
    for (const auto& effect : aEffects) {
      const auto* send = std::get_if<ToControlEffect>(&effect);
      const auto* heartbeat =
        send == nullptr
          ? nullptr
          : std::get_if<EntryHeartbeat>(&send->mEnvelope.mMessage);
      if (heartbeat == nullptr) {
        continue;
      }
      ++mHeard[send->mTo];
      mLastSeeksLeader = heartbeat->mSeeksLeader;
      if (aAnswers && send->mTo == Replicas()[0]) {
        Answer(heartbeat->mSequence, aMs);
      }
    }
  }

  void Answer(std::uint64_t aSequence, int aMs)
  {
    HeartbeatResponse answer{ .mSequence = aSequence,
                              .mLeads = true,
                              .mMembershipStatus = MembershipStatus::kActive,
                              .mMember = MemberId(1),
                              .mControls = Replicas(),
                              .mVoters = kVoters };
    mSession.Step(FromControlEvent{ answer }, At(aMs));
    SettingsPush push{ .mRevision = Revision(1),
                       .mWhole = "x",
                       .mDigest = DigestOf("x") };
    mSession.Step(FromControlEvent{ push }, At(aMs));
  }

  ControlSession mSession;
  std::map<Address, int> mHeard;
  bool mLastSeeksLeader = false;
};

} // namespace

// Symptom: with 300 entries and 21 replicas, sessions alone were 40,000
// messages a second, and most bytes that crossed failure domains. Cause: every
// heartbeat went to every replica, and each of them answered.
TEST_CASE("ReplicasThatCannotLeadHearEverySecondHeartbeat")
{
  Entry entry;
  entry.Run(0, 3000, true);
  entry.mHeard.clear();
  entry.Run(3000, 9000, true);
  const auto replicas = Replicas();
  CHECK(entry.mSession.Voters().size() == kVoters);
  for (std::uint32_t i = 0; i < kReplicas; ++i) {
    INFO("replica " << i << " of " << kReplicas << ", " << kVoters << " vote");
    CHECK(entry.mHeard[replicas[i]] == (i < kVoters ? 20 : 10));
  }
  CHECK_FALSE(entry.mLastSeeksLeader);
}

TEST_CASE("AllReplicasHearOfAnEntryThatLeavesOrHasLostTheLeader")
{
  Entry entry;
  entry.Run(0, 3000, true);
  entry.mHeard.clear();
  entry.Carry(entry.mSession.Step(LeaveEvent{}, At(3010)), 3010, true);
  CHECK(entry.mHeard.size() == kReplicas);

  entry.Run(3050, 5500, false);
  entry.mHeard.clear();
  entry.Run(5500, 6100, false);
  CHECK(entry.mLastSeeksLeader);
  for (const Address& replica : Replicas()) {
    CHECK(entry.mHeard[replica] == 2);
  }
}

} // namespace peridotspool::membership
