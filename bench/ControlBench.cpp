// Costs of the control replicas' steps and of an entry's session.

#include "peridotspool/control/ControlNode.h"
#include "peridotspool/membership/ControlSession.h"
#include "peridotspool/wire/Codec.h"

#include <benchmark/benchmark.h>

namespace peridotspool::control {
namespace {

using membership::EntryNonce;

constexpr Duration kHeartbeat = std::chrono::milliseconds(300);

/** A single replica that leads, with a given number of members. */
class LeaderWithEntries
{
public:
  explicit LeaderWithEntries(std::uint64_t aEntries)
    : mEntries(aEntries)
    , mNode(Options(), InitialState(SystemId(1), {}), mNow)
  {
    Advance(std::chrono::seconds(2));
    for (std::uint64_t entry = 1; entry <= mEntries; ++entry) {
      Heartbeat(entry, true);
    }
    Advance(std::chrono::seconds(1));
    Edit();
    HeartbeatAll();
  }

  void HeartbeatAll()
  {
    for (std::uint64_t entry = 1; entry <= mEntries; ++entry) {
      Heartbeat(entry);
    }
  }

  static ControlOptions Options()
  {
    ControlOptions options;
    options.mName = ReplicaName("control-1");
    return options;
  }

  void Advance(Duration aFor)
  {
    constexpr Duration kTick = std::chrono::milliseconds(20);
    for (Duration passed{ 0 }; passed < aFor; passed += kTick) {
      mNow += kTick;
      Step(TickEvent{});
    }
  }

  void Heartbeat(std::uint64_t aEntry, bool aJoins = false)
  {
    membership::EntryHeartbeat heartbeat;
    heartbeat.mSequence = ++mSequence;
    heartbeat.mInForce = mNode.State().mSettings.mRevision;
    heartbeat.mEpoch = mNode.State().mMembership.mCurrent.mEpoch;
    if (aJoins) {
      heartbeat.mProfile = membership::EntryProfile{
        .mName = EntryName("entry-" + std::to_string(aEntry)),
        .mRegion = Region("attica"),
        .mDomain = FailureDomain("marousi"),
        .mPeerAddress = { "10.0.0.1", 7000 },
        .mCallerAddress = { "10.0.0.1", 8000 }
      };
    } else {
      heartbeat.mMember = MemberId(aEntry);
    }
    Step(FromEntryEvent{ { EntryNonce(aEntry), heartbeat } });
  }

  /** Commits one edit of a tree of 20 KB; returns the bytes pushed. */
  std::size_t Edit()
  {
    std::string text = mNode.State().mSettings.mText;
    if (text.empty()) {
      for (int line = 0; line < 1000; ++line) {
        text += "setting-" + std::to_string(line) + ": 0.5\n";
      }
    }
    text.replace(text.size() / 2, 1, std::to_string(mSequence++ % 10));
    mPushed = 0;
    Step(OperatorEvent{
      CallId(1),
      EditRequest{ .mEdit = EditId("edit-" + std::to_string(mSequence)),
                   .mBase = mNode.State().mSettings.mRevision,
                   .mText = text,
                   .mAuthor = "operator" } });
    return mPushed;
  }

  std::uint64_t mEntries;

private:
  void Step(const ControlEvent& aEvent)
  {
    ControlEffects effects = mNode.Step(aEvent, mNow);
    for (std::size_t at = 0; at < effects.size(); ++at) {
      if (const auto* write = std::get_if<PersistEffect>(&effects[at])) {
        ControlEffects more = mNode.Step(SyncedEvent{ write->mToken }, mNow);
        effects.insert(effects.end(), more.begin(), more.end());
      } else if (const auto* push = std::get_if<ToEntryEffect>(&effects[at])) {
        mPushed += wire::Encode(push->mMessage).size();
      }
    }
  }

  TimePoint mNow{ std::chrono::seconds(100) };
  std::uint64_t mSequence = 0;
  std::size_t mPushed = 0;
  ControlNode mNode;
};

void
ControlHeartbeat(benchmark::State& aState)
{
  LeaderWithEntries leader(static_cast<std::uint64_t>(aState.range(0)));
  std::uint64_t entry = 0;
  for (auto _ : aState) {
    leader.Heartbeat(entry++ % leader.mEntries + 1);
  }
}
BENCHMARK(ControlHeartbeat)->Arg(11)->Arg(100)->Arg(380);

/** A heartbeat period of a leader's own work: ticks and planning. */
void
ControlIdlePeriod(benchmark::State& aState)
{
  LeaderWithEntries leader(static_cast<std::uint64_t>(aState.range(0)));
  for (auto _ : aState) {
    leader.Advance(kHeartbeat);
    aState.PauseTiming();
    leader.HeartbeatAll();
    aState.ResumeTiming();
  }
}
BENCHMARK(ControlIdlePeriod)->Arg(11)->Arg(100)->Arg(380);

/** One edit until it is pushed to all entries, with its bytes encoded. */
void
ControlEditToAll(benchmark::State& aState)
{
  LeaderWithEntries leader(static_cast<std::uint64_t>(aState.range(0)));
  std::size_t pushed = 0;
  for (auto _ : aState) {
    pushed = leader.Edit();
    aState.PauseTiming();
    leader.HeartbeatAll();
    aState.ResumeTiming();
  }
  aState.counters["bytes_pushed"] = static_cast<double>(pushed);
}
BENCHMARK(ControlEditToAll)->Arg(11)->Arg(100)->Arg(380);

/** The bytes of an entry's heartbeat and of its answer. */
void
EntryHeartbeatBytes(benchmark::State& aState)
{
  membership::ControlSessionOptions options;
  options.mNonce = EntryNonce(0x123456789abcdef0ULL);
  options.mControls.assign(static_cast<std::size_t>(aState.range(0)), {});
  membership::ControlSession session(options);
  TimePoint now{ std::chrono::seconds(100) };
  membership::HeartbeatResponse answer{ .mSequence = 0,
                                        .mLeads = true,
                                        .mLeaderHint =
                                          Address{ "10.0.0.1", 7000 },
                                        .mMembershipStatus =
                                          membership::MembershipStatus::kActive,
                                        .mMember = MemberId(1000),
                                        .mConfirmed = Revision(100000),
                                        .mEpoch = EpochNumber(10000),
                                        .mLease = std::chrono::seconds(1) };
  std::size_t sent = 0;
  std::size_t received = 0;
  for (auto _ : aState) {
    now += kHeartbeat;
    sent = 0;
    received = 0;
    const auto effects = session.Step(membership::SessionTickEvent{}, now);
    for (const auto& effect : effects) {
      const auto& send = std::get<membership::ToControlEffect>(effect);
      sent += wire::Encode(send.mEnvelope).size();
    }
    ++answer.mSequence;
    for (std::int64_t control = 0; control < aState.range(0); ++control) {
      const membership::ToEntryMessage message = answer;
      received += wire::Encode(message).size();
      session.Step(membership::FromControlEvent{ message }, now);
    }
  }
  aState.counters["bytes_sent"] = static_cast<double>(sent);
  aState.counters["bytes_received"] = static_cast<double>(received);
}
BENCHMARK(EntryHeartbeatBytes)->Arg(3)->Arg(5);

} // namespace
} // namespace peridotspool::control
