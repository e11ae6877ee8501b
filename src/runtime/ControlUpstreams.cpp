// What upstreams announce to this replica, and what registries tell each other.

#include "peridotspool/wire/Codec.h"
#include "runtime/ControlDecider.h"
#include "runtime/PeerTally.h"

#include <numeric>
#include <utility>

namespace peridotspool::runtime {

namespace {

constexpr Duration kPullPeriod = std::chrono::milliseconds(300);

std::size_t
Subscribers(const std::vector<membership::RegistrySend>& aSends)
{
  return std::accumulate(
    aSends.begin(), aSends.end(), std::size_t{ 0 }, [](auto aSum, auto& aSend) {
      return aSum + aSend.mTo.size();
    });
}

} // namespace

void
ControlDecider::Take(HttpInput& aInput, AnnounceCall& aCall)
{
  if (RefuseAnnouncement(aInput)) {
    return;
  }
  const membership::UpstreamReport report = aCall.mReport;
  const bool leaving = report.mStage != membership::UpstreamStage::kReady;
  const std::uint64_t before = mRegistry.Version();
  auto sends = mRegistry.HandleHeartbeat(report, mNow);
  if (mRegistry.Version() != before) {
    mParts.mLogger.Log(leaving ? observe::EventId::kUpstreamLeaving
                               : observe::EventId::kUpstreamAnnounced,
                       { { "upstream", report.mName },
                         { "service", report.mService },
                         { "address", ToText(report.mAddress) },
                         { "upstream_version", report.mVersion },
                         { "sequence", report.mSequence },
                         { "version", mRegistry.Version() },
                         { "told", Subscribers(sends) } });
  }
  SendAll(std::move(sends));
  if (leaving) {
    HoldWithdrawal(aInput, report.mName);
  } else {
    Acknowledge(aInput);
  }
}

// Entries ask the replicas that the leader names. One that has no place in the
// group yet, lost it, or is cut off could tell nobody what an upstream says;
// the upstream goes on to another replica if it gets no answer here.
bool
ControlDecider::RefuseAnnouncement(HttpInput& aInput)
{
  if (mNode.IsConnected(mNow)) {
    return false;
  }
  aInput.mServer->Respond(aInput.mExchange, mParts.mDialect.mWriteNotNow());
  return true;
}

void
ControlDecider::Take(HttpInput& aInput, DeregisterCall& aCall)
{
  if (RefuseAnnouncement(aInput)) {
    return;
  }
  auto sends =
    mRegistry.HandleDeregistration(aCall.mName, aCall.mIncarnation, mNow);
  mParts.mLogger.Log(observe::EventId::kUpstreamLeaving,
                     { { "upstream", aCall.mName },
                       { "stage", "gone" },
                       { "version", mRegistry.Version() },
                       { "told", Subscribers(sends) } });
  SendAll(std::move(sends));
  HoldWithdrawal(aInput, aCall.mName);
}

void
ControlDecider::Acknowledge(const HttpInput& aInput)
{
  aInput.mServer->Respond(aInput.mExchange, mParts.mDialect.mWriteAnnounced());
}

// The upstream counts on the acknowledgement: it may say nothing more, and is
// gone some time afterwards.
void
ControlDecider::HoldWithdrawal(HttpInput& aInput, const UpstreamName& aName)
{
  const std::uint64_t version = mRegistry.VersionOf(aName);
  if (version == 0 || !mWithdrawals.Add(++mLastWithdrawal, version, mNow)) {
    aInput.mServer->Respond(aInput.mExchange, mParts.mDialect.mWriteNotNow());
    return;
  }
  mWithdrawing.emplace(mLastWithdrawal, std::move(aInput));
  AnswerWithdrawals();
}

void
ControlDecider::AnswerWithdrawals()
{
  if (mWithdrawing.empty()) {
    return;
  }
  const std::uint64_t held = mRegistry.MajorityVersion(
    mNode.VoterAddresses(), mParts.mTransport.LocalAddress());
  for (const auto& decision : mWithdrawals.Step(held, mNow)) {
    const auto waiting = mWithdrawing.extract(decision.mCall);
    const HttpInput& input = waiting.mapped();
    if (decision.mAcknowledged) {
      Acknowledge(input);
      continue;
    }
    mParts.mCounters.Add(observe::CounterId::kWithdrawalNotReplicated);
    mParts.mLogger.Log(observe::EventId::kWithdrawalNotReplicated,
                       { { "call", input.mTarget },
                         { "version", mRegistry.Version() },
                         { "held", held } });
    input.mServer->Respond(input.mExchange, mParts.mDialect.mWriteNotNow());
  }
}

void
ControlDecider::TakeRegistry(const Address& aFrom,
                             const membership::RegistryMessage& aMessage)
{
  if (const auto* pull = std::get_if<membership::RegistryPull>(&aMessage)) {
    SendAll(mRegistry.HandlePull(aFrom, *pull, mNow));
    AnswerWithdrawals();
  } else {
    const auto& push = std::get<membership::RegistryPush>(aMessage);
    mDirectory.ApplyPush(aFrom, push, mNow);
    mRegistry.AdoptWithdrawals(push, mNow);
    SendPeer(aFrom, membership::RegistryMessage(mDirectory.PullFor(aFrom)));
  }
}

// A voter is a subscriber of all registries, its own among them: as the leader
// it has to know all upstreams, and it keeps what other replicas acknowledged.
void
ControlDecider::PullRegistries()
{
  if (mNow - mPulledAt < kPullPeriod || !mNode.Votes()) {
    return;
  }
  mPulledAt = mNow;
  mDirectory.Forget(mNow);
  const Address self = mParts.mTransport.LocalAddress();
  for (const Address& replica : mNode.ReplicaAddresses()) {
    if (replica != self) {
      membership::RegistryPull pull = mDirectory.PullFor(replica);
      pull.mFromReplica = true;
      SendPeer(replica, membership::RegistryMessage(pull));
    }
  }
  for (const auto& send :
       mRegistry.HandlePull(self, mDirectory.PullFor(self), mNow)) {
    mDirectory.ApplyPush(self, send.mPush, mNow);
  }
}

void
ControlDecider::SendAll(std::vector<membership::RegistrySend> aSends)
{
  const Address self = mParts.mTransport.LocalAddress();
  for (membership::RegistrySend& send : aSends) {
    if (std::erase(send.mTo, self) != 0) {
      mDirectory.ApplyPush(self, send.mPush, mNow);
    }
    const wire::PeerEnvelope envelope{ .mFrom = self,
                                       .mPayload = membership::RegistryMessage(
                                         std::move(send.mPush)) };
    const std::string frame = wire::Encode(envelope);
    for (const Address& subscriber : send.mTo) {
      CountSent(mParts.mCounters, envelope.mPayload, frame.size());
      mParts.mTransport.Send(subscriber, frame, wire::FramePriority::kBulk);
    }
  }
}

} // namespace peridotspool::runtime
