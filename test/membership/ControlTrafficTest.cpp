// ctest-labels: unit
// Number of heartbeats from an entry to a large set of control replicas.

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

/** An entry with a leader that responds immediately while it is available. */
class Entry
{
public:
  Entry()
    : mSession({ .mNonce = EntryNonce(1),
                 .mProfile = { .mName = EntryName("e") },
                 .mControls = { Replicas()[0], Replicas()[1] } })
  {
  }

  void Run(int aFromMs, int aToMs, bool aLeaderResponds)
  {
    for (int ms = aFromMs; ms < aToMs; ms += 50) {
      Execute(mSession.Step(SessionTickEvent{}, At(ms)), ms, aLeaderResponds);
    }
  }

  void Execute(const ControlSessionEffects& aEffects,
               int aMs,
               bool aLeaderResponds)
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
      ++mReceived[send->mTo];
      mLastSeeksLeader = heartbeat->mSeeksLeader;
      if (aLeaderResponds && send->mTo == Replicas()[0]) {
        Respond(heartbeat->mSequence, aMs);
      }
    }
  }

  void Respond(std::uint64_t aSequence, int aMs)
  {
    HeartbeatResponse response{ .mSequence = aSequence,
                                .mLeads = true,
                                .mMembershipStatus = MembershipStatus::kActive,
                                .mMember = MemberId(1),
                                .mControls = Replicas(),
                                .mVoters = kVoters };
    mSession.Step(FromControlEvent{ response }, At(aMs));
    SettingsPush push{ .mRevision = Revision(1),
                       .mWhole = "x",
                       .mDigest = DigestOf("x") };
    mSession.Step(FromControlEvent{ push }, At(aMs));
  }

  ControlSession mSession;
  std::map<Address, int> mReceived;
  bool mLastSeeksLeader = false;
};

} // namespace

// Guards against excessive session traffic: if every heartbeat is sent to every
// replica and each one responds, 300 entries and 21 replicas exchange 40,000
// messages per second, which is most of the traffic between failure domains.
TEST_CASE("ReplicasThatCannotLeadReceiveEverySecondHeartbeat")
{
  Entry entry;
  entry.Run(0, 3000, true);
  entry.mReceived.clear();
  entry.Run(3000, 9000, true);
  const auto replicas = Replicas();
  CHECK(entry.mSession.Voters().size() == kVoters);
  for (std::uint32_t i = 0; i < kReplicas; ++i) {
    INFO("replica " << i << " of " << kReplicas << ", " << kVoters << " vote");
    CHECK(entry.mReceived[replicas[i]] == (i < kVoters ? 20 : 10));
  }
  CHECK_FALSE(entry.mLastSeeksLeader);
}

TEST_CASE("AllReplicasReceiveHeartbeatsOfALeavingEntryOrOneWithoutALeader")
{
  Entry entry;
  entry.Run(0, 3000, true);
  entry.mReceived.clear();
  entry.Execute(entry.mSession.Step(LeaveEvent{}, At(3010)), 3010, true);
  CHECK(entry.mReceived.size() == kReplicas);

  entry.Run(3050, 5500, false);
  entry.mReceived.clear();
  entry.Run(5500, 6100, false);
  CHECK(entry.mLastSeeksLeader);
  for (const Address& replica : Replicas()) {
    CHECK(entry.mReceived[replica] == 2);
  }
}

} // namespace peridotspool::membership
