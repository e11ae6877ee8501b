// ctest-labels: promise-leaving-upstream
#include "peridotspool/membership/UpstreamDirectory.h"
#include "peridotspool/membership/UpstreamRegistry.h"
#include "peridotspool/membership/WithdrawalAcks.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <optional>
#include <random>
#include <vector>

namespace peridotspool::membership {

namespace {

using std::chrono::milliseconds;

constexpr int kVoters = 3;
constexpr int kReplicas = 5;
constexpr int kEntries = 4;
constexpr int kUpstreams = 12;
constexpr int kHeartbeatMs = 1200;
/** No request may reach an upstream later after its acknowledgement. */
constexpr int kDrainMs = 2000;

UpstreamName
NameOf(int aUpstream)
{
  return UpstreamName("u" + std::to_string(aUpstream));
}

/** A message in transit; delivered in the order of its arrival. */
struct Message
{
  int mAtMs = 0;
  Address mFrom;
  Address mTo;
  RegistryMessage mBody;
};

/** A process that hears registries: an entry, or a replica's own part. */
struct Process
{
  Address mAddress;
  /** Its incarnation; messages to earlier ones are lost. */
  int mStarted = 0;
  bool mRuns = true;
  std::optional<UpstreamRegistry> mRegistry;
  UpstreamDirectory mDirectory;
  WithdrawalAcks mAcks;
};

/**
 * Replicas that upstreams call and entries that subscribe to them, over a
 * network with delays. The replica that takes the withdrawals is killed at the
 * moment of its last acknowledgement, with the entry beside it.
 */
class Model
{
public:
  explicit Model(unsigned aSeed)
    : mRandom(aSeed)
  {
    for (int i = 0; i < kReplicas + kEntries; ++i) {
      mProcesses.push_back({ .mAddress = AddressOf(i) });
      Start(i);
    }
    RunFor(1000);
    for (int i = 0; i < kUpstreams; ++i) {
      Beat(i, RandomBelow(kReplicas), UpstreamStage::kReady);
    }
    RunFor(1000);
  }

  /** The upstreams of aCount leave at once, all at the same replica. */
  void Withdraw(int aCount, UpstreamStage aStage, int aPauseMs = 0)
  {
    mTaker = RandomBelow(kReplicas);
    mLeaving = aCount;
    for (int i = 0; i < aCount; ++i) {
      // A heartbeat to another replica is the last thing that one hears.
      Beat(i, RandomBelow(kReplicas), UpstreamStage::kReady);
    }
    RunFor(aPauseMs);
    for (int i = 0; i < aCount; ++i) {
      Process& taker = At(mTaker);
      Send(taker,
           aStage == UpstreamStage::kGone
             ? taker.mRegistry->HandleDeregistration(NameOf(i), {}, Now())
             : taker.mRegistry->HandleHeartbeat(Report(i, aStage), Now()));
      REQUIRE(taker.mAcks.Add(static_cast<std::uint64_t>(i),
                              taker.mRegistry->VersionOf(NameOf(i)),
                              Now()));
    }
    Settle();
    while (mAcknowledged < aCount) {
      RunFor(1);
      REQUIRE(mNowMs < 20000);
    }
  }

  void KillTaker(int aRestartAfterMs)
  {
    At(mTaker).mRuns = false;
    At(kReplicas).mRuns = false;
    RunFor(aRestartAfterMs);
    Start(mTaker);
    Start(kReplicas);
  }

  void RunFor(int aMs)
  {
    for (int i = 0; i < aMs; ++i) {
      ++mNowMs;
      Deliver();
      Settle();
      if (mNowMs % 10 == 0) {
        Tick();
      }
    }
  }

  /** Rows of leaving upstreams that voters have pushed to entries, without
   * those of the replica that took the withdrawals. */
  int AdoptedRowsPushed() const { return mAdoptedRowsPushed; }

  /** How many of the upstreams that left any running entry would still use. */
  int StillUsed() const
  {
    int used = 0;
    for (int upstream = 0; upstream < mLeaving; ++upstream) {
      used += std::any_of(mProcesses.begin() + kReplicas,
                          mProcesses.end(),
                          [&](const Process& aEntry) {
                            const KnownUpstream* known =
                              aEntry.mDirectory.Find(NameOf(upstream));
                            return known != nullptr && known->mReport.mStage ==
                                                         UpstreamStage::kReady;
                          })
                ? 1
                : 0;
    }
    return used;
  }

private:
  int RandomBelow(int aBelow)
  {
    return std::uniform_int_distribution<int>(0, aBelow - 1)(mRandom);
  }
  TimePoint Now() const
  {
    return TimePoint(std::chrono::seconds(1000) + milliseconds(mNowMs));
  }
  static Address AddressOf(int aProcess)
  {
    return { "127.0.0.1", static_cast<std::uint16_t>(100 + aProcess) };
  }
  Process& At(int aProcess)
  {
    return mProcesses[static_cast<std::size_t>(aProcess)];
  }
  UpstreamReport Report(int aUpstream, UpstreamStage aStage)
  {
    return { .mName = NameOf(aUpstream),
             .mService = ServiceName("s"),
             .mAddress = { "127.0.0.1", 80 },
             .mStage = aStage,
             .mSequence = ++mSequence };
  }

  void Start(int aProcess)
  {
    Process& process = At(aProcess);
    process = { .mAddress = AddressOf(aProcess),
                .mStarted = process.mStarted + 1 };
    if (aProcess < kReplicas) {
      process.mRegistry.emplace(UpstreamRegistryOptions{
        .mRegistryIncarnation = RegistryIncarnation(
          static_cast<std::uint64_t>(1000 * aProcess + process.mStarted)) });
    }
  }

  void Beat(int aUpstream, int aReplica, UpstreamStage aStage)
  {
    Send(At(aReplica),
         At(aReplica).mRegistry->HandleHeartbeat(Report(aUpstream, aStage),
                                                 Now()));
  }

  void Send(const Process& aFrom, const std::vector<RegistrySend>& aSends)
  {
    for (const RegistrySend& send : aSends) {
      for (const Address& to : send.mTo) {
        CountAdopted(aFrom, to, send.mPush);
        Post(aFrom.mAddress, to, send.mPush);
      }
    }
  }

  void CountAdopted(const Process& aFrom,
                    const Address& aTo,
                    const RegistryPush& aPush)
  {
    if (mLeaving == 0 || aFrom.mAddress == AddressOf(mTaker) ||
        aTo.mPort < AddressOf(kReplicas).mPort) {
      return;
    }
    mAdoptedRowsPushed += static_cast<int>(std::count_if(
      aPush.mRows.begin(), aPush.mRows.end(), [](const RegistryRow& aRow) {
        return aRow.mReport.mStage != UpstreamStage::kReady;
      }));
  }

  void Post(const Address& aFrom, const Address& aTo, RegistryMessage aBody)
  {
    mMessages.push_back({ .mAtMs = mNowMs + 1 + RandomBelow(3),
                          .mFrom = aFrom,
                          .mTo = aTo,
                          .mBody = std::move(aBody) });
  }

  void Deliver()
  {
    std::vector<Message> due;
    std::erase_if(mMessages, [&](Message& aOne) {
      if (aOne.mAtMs > mNowMs) {
        return false;
      }
      due.push_back(std::move(aOne));
      return true;
    });
    for (const Message& one : due) {
      Process& to = At(one.mTo.mPort - 100);
      if (to.mRuns) {
        Take(to, one);
      }
    }
  }

  void Take(Process& aTo, const Message& aMessage)
  {
    if (const auto* pull = std::get_if<RegistryPull>(&aMessage.mBody)) {
      Send(aTo, aTo.mRegistry->HandlePull(aMessage.mFrom, *pull, Now()));
      return;
    }
    const auto& push = std::get<RegistryPush>(aMessage.mBody);
    aTo.mDirectory.ApplyPush(aMessage.mFrom, push, Now());
    if (aTo.mRegistry) {
      aTo.mRegistry->AdoptWithdrawals(push, Now());
    }
    Post(aTo.mAddress, aMessage.mFrom, aTo.mDirectory.PullFor(aMessage.mFrom));
  }

  void Settle()
  {
    std::vector<Address> voters;
    for (int i = 0; i < kVoters; ++i) {
      voters.push_back(AddressOf(i));
    }
    Process& taker = At(mTaker);
    if (taker.mRuns) {
      const auto held =
        taker.mRegistry->MajorityVersion(voters, taker.mAddress);
      for (const auto& decision : taker.mAcks.Step(held, Now())) {
        REQUIRE(decision.mAcknowledged);
        ++mAcknowledged;
      }
    }
  }

  void Tick()
  {
    for (int i = 0; i < kReplicas + kEntries; ++i) {
      Process& process = At(i);
      if (!process.mRuns) {
        continue;
      }
      if (process.mRegistry) {
        Send(process, process.mRegistry->Tick(Now()));
      }
      const bool subscribes = i < kVoters || i >= kReplicas;
      for (int to = 0; subscribes && mNowMs % 300 == 0 && to < kReplicas;
           ++to) {
        if (to != i) {
          RegistryPull pull = process.mDirectory.PullFor(AddressOf(to));
          pull.mFromReplica = i < kVoters;
          Post(process.mAddress, AddressOf(to), pull);
        }
      }
    }
    // The upstreams that stay repeat their heartbeats.
    for (int i = mLeaving; mNowMs % kHeartbeatMs == 0 && i < kUpstreams; ++i) {
      const int replica = RandomBelow(kReplicas);
      if (At(replica).mRuns) {
        Beat(i, replica, UpstreamStage::kReady);
      }
    }
  }

  std::mt19937 mRandom;
  int mNowMs = 0;
  std::vector<Process> mProcesses;
  std::vector<Message> mMessages;
  std::uint64_t mSequence = 0;
  int mTaker = 0;
  int mLeaving = 0;
  int mAcknowledged = 0;
  int mAdoptedRowsPushed = 0;
};

} // namespace

// Guards against requests to upstreams whose withdrawal was acknowledged by a
// replica that is killed at that moment: the entries that no disruption has
// touched were never told, because the replica answers before its pushes, which
// are spaced, have been sent.
TEST_CASE("AWithdrawalReachesAllEntriesThoughItsReplicaIsKilled")
{
  const auto stage = GENERATE(UpstreamStage::kDraining, UpstreamStage::kGone);
  for (unsigned seed = 1; seed <= 50; ++seed) {
    Model model(seed);
    model.Withdraw(5, stage);
    model.KillTaker(800);
    model.RunFor(kDrainMs - 800);
    INFO("seed " << seed << ", expected no entry to use an upstream "
                 << kDrainMs << " ms after its withdrawal was acknowledged");
    REQUIRE(model.StillUsed() == 0);
  }
}

// Guards against requests to a deregistered upstream by an entry that starts
// afterwards, once the replica that took the deregistration has been killed:
// the other replicas still have the upstream's last heartbeat as ready.
TEST_CASE("AWithdrawalOutlivesItsReplicaForEntriesThatStartAfterwards")
{
  const auto stage = GENERATE(UpstreamStage::kDraining, UpstreamStage::kGone);
  for (unsigned seed = 1; seed <= 50; ++seed) {
    Model model(seed);
    model.Withdraw(1, stage);
    model.RunFor(100);
    model.KillTaker(800);
    model.RunFor(3000);
    INFO("seed " << seed << ", expected a restarted entry to know that the "
                 << "upstream leaves");
    REQUIRE(model.StillUsed() == 0);
  }
}

// Guards against each withdrawal being told to all entries by each voter: with
// hundreds of entries these pushes take more of the links than all others.
TEST_CASE("VotersTellEntriesNothingThatALivingReplicaTellsThem")
{
  for (unsigned seed = 1; seed <= 20; ++seed) {
    Model model(seed);
    model.Withdraw(5, UpstreamStage::kGone, 500);
    model.RunFor(3000);
    INFO("seed " << seed << ", expected no push of adopted rows to an entry");
    CHECK(model.AdoptedRowsPushed() == 0);
    REQUIRE(model.StillUsed() == 0);
  }
}

// Guards against an acknowledgement that rests on what voters hold of another
// replica's registry only.
TEST_CASE("AWithdrawalThatIsRepeatedElsewhereIsReplicatedFromThere")
{
  UpstreamRegistry first({ .mRegistryIncarnation = RegistryIncarnation(1) });
  UpstreamRegistry second({ .mRegistryIncarnation = RegistryIncarnation(2) });
  const Address self{ "127.0.0.1", 1 };
  const Address other{ "127.0.0.1", 2 };
  const Address third{ "127.0.0.1", 3 };
  const TimePoint now{ std::chrono::seconds(1000) };
  const UpstreamReport leaving{ .mName = NameOf(1),
                                .mService = ServiceName("s"),
                                .mStage = UpstreamStage::kDraining,
                                .mSequence = 7 };
  first.HandlePull(self, RegistryPull{}, now);
  for (const RegistrySend& send : first.HandleHeartbeat(leaving, now)) {
    second.AdoptWithdrawals(send.mPush, now);
  }
  second.HandlePull(third, RegistryPull{}, now);
  const RegistryPull confirmed{ .mRegistryIncarnation = RegistryIncarnation(2),
                                .mVersion = second.Version() };
  second.HandlePull(third, confirmed, now);
  const auto sends = second.HandleHeartbeat(leaving, now);
  REQUIRE(sends.size() == 1);
  CHECK(sends.front().mPush.mRows.size() == 1);
  const std::uint64_t version = second.VersionOf(NameOf(1));
  REQUIRE(version != 0);
  CHECK(second.MajorityVersion({ self, other, third }, self) < version);
}

} // namespace peridotspool::membership
