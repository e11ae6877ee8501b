// What an entry's session sends, and to which control replicas.

#include "peridotspool/membership/ControlSession.h"

#include <algorithm>

namespace peridotspool::membership {

namespace {

/** Maximum number of heartbeats whose responses are still accepted. */
constexpr std::size_t kMaxSent = 64;
/**
 * Every so many heartbeats, one includes the entry's profile, so that a control
 * replica that restarted learns it.
 */
constexpr std::uint64_t kProfileHeartbeatInterval = 4;

} // namespace

// Only voters decide whether an entry is silent, and only a voter can be the
// leader. The other replicas serve callers that request the list of entries,
// and receive heartbeats less often.
void
ControlSession::SendHeartbeat(HeartbeatScope aScope)
{
  if (mRemoved) {
    return;
  }
  mLastSent = mNow;
  ++mSequence;
  mSent.push_back({ mSequence, mNow, mInForce });
  if (mSent.size() > kMaxSent) {
    mSent.pop_front();
  }
  EntryHeartbeat heartbeat{ .mSequence = mSequence,
                            .mMember = mMember,
                            .mProfile = {},
                            .mInForce = mInForce,
                            .mEpoch = mEpoch.mEpoch,
                            .mLeaving = mLeaving,
                            .mDone = mDone,
                            .mSuspected = mSuspects,
                            .mSeeksLeader = SeeksLeader() };
  const bool due = mSequence % kProfileHeartbeatInterval == 1;
  if (!mMember.IsSet() || due) {
    heartbeat.mProfile = mOptions.mProfile;
  }
  const bool directly = aScope == HeartbeatScope::kVotersDirectly ||
                        aScope == HeartbeatScope::kAllDirectly;
  const bool toAll = aScope == HeartbeatScope::kAll ||
                     aScope == HeartbeatScope::kAllDirectly || SeeksLeader();
  mRelay = SeeksLeader() ? std::nullopt : mRelaySelector.Choose(mNow);
  if (mRelay && !directly) {
    SendToRelay(toAll ? RelayScope::kAll : RelayScope::kVoters, heartbeat);
  } else {
    Send(toAll ? Reachable() : Voters(), heartbeat);
  }
}

void
ControlSession::SendToRelay(RelayScope aScope, const FromEntryMessage& aMessage)
{
  mEffects.emplace_back(ToRelayEffect{
    *mRelay,
    aScope,
    EntryEnvelope{ .mNonce = mOptions.mNonce, .mMessage = aMessage } });
}

void
ControlSession::SendToLeader(const FromEntryMessage& aMessage)
{
  if (mRelay) {
    SendToRelay(RelayScope::kLeader, aMessage);
  } else {
    Send(Reachable(), aMessage);
  }
}

std::vector<Address>
ControlSession::Voters() const
{
  const std::size_t count =
    mVoters == 0 ? mControls.size() : std::min(mVoters, mControls.size());
  return { mControls.begin(),
           mControls.begin() + static_cast<std::ptrdiff_t>(count) };
}

// The leader may be a replica that is unknown to this process, while the known
// replicas are followers or no longer exist. Addresses from followers are used
// only as additional destinations for heartbeats; correctness does not depend
// on them.
void
ControlSession::AddControlHints(const HeartbeatResponse& aResponse)
{
  constexpr std::size_t kMaxKnownControls = 16;
  if (!SeeksLeader()) {
    return;
  }
  for (const Address& control : aResponse.mControls) {
    const bool known =
      std::find(mControls.begin(), mControls.end(), control) != mControls.end();
    if (!known && mControls.size() < kMaxKnownControls) {
      mControls.push_back(control);
    }
  }
}

// All replicas that the leader listed may have been replaced while this entry
// was partitioned from them. The configured list lets the entry find the
// current replicas.
std::vector<Address>
ControlSession::Reachable() const
{
  std::vector<Address> all = mControls;
  if (!SeeksLeader()) {
    return all;
  }
  for (const Address& seed : mOptions.mControls) {
    if (std::find(all.begin(), all.end(), seed) == all.end()) {
      all.push_back(seed);
    }
  }
  return all;
}

void
ControlSession::Send(const std::vector<Address>& aTo,
                     const FromEntryMessage& aMessage)
{
  for (const Address& control : aTo) {
    mEffects.emplace_back(ToControlEffect{
      control,
      EntryEnvelope{ .mNonce = mOptions.mNonce, .mMessage = aMessage } });
  }
}

} // namespace peridotspool::membership
