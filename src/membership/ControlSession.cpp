#include "peridotspool/membership/ControlSession.h"

#include "peridotspool/base/LastReason.h"

#include <algorithm>

namespace peridotspool::membership {

namespace {

/**
 * Every so many heartbeats, one is also sent to the replicas that can't lead.
 * Must be a power of two.
 */
constexpr std::uint64_t kLearnerHeartbeatInterval = 2;
/**
 * The initial heartbeat period grows after each of so many heartbeats. All
 * entries may start at the same moment, and would keep the replicas that elect
 * a leader busy.
 */
constexpr std::uint64_t kBackoffInterval = 16;
/**
 * After this time without a response from a leader, heartbeats are also sent to
 * the configured replicas.
 */
constexpr Duration kLeaderTimeout = std::chrono::seconds(2);
/** Requests ask for a confirmation at any rate. */
constexpr Duration kConfirmSpacing = std::chrono::milliseconds(100);

bool
Contains(const EpochMap& aMap, MemberId aMember)
{
  return std::any_of(aMap.mMembers.begin(),
                     aMap.mMembers.end(),
                     [&](const Member& aOne) { return aOne.mId == aMember; });
}

} // namespace

ControlSession::ControlSession(ControlSessionOptions aOptions)
  : mOptions(std::move(aOptions))
  , mControls(mOptions.mControls)
  , mRelaySelector(mOptions.mNonce.Value())
{
}

ControlSessionEffects
ControlSession::Step(const ControlSessionEvent& aEvent, TimePoint aNow)
{
  mNow = std::max(mNow, aNow);
  mStartedAt = mStartedAt.value_or(mNow);
  std::visit([this](const auto& aOne) { Handle(aOne); }, aEvent);
  return std::exchange(mEffects, {});
}

// An entry that can't confirm its settings may be on the minority side of a
// network partition while other entries already use newer settings. It
// continues for a grace period, so that a change of the control leader
// interrupts no service, and then accepts no new requests, so that old settings
// stop being used within seconds. The age of the confirmation is measured from
// the sending of the heartbeat, so that a process that was suspended finds it
// too old when it resumes.
ServeVerdict
ControlSession::MayServe(TimePoint aNow) const
{
  if (mRemoved) {
    return ServeVerdict::kRemoved;
  }
  if (!mMember.IsSet() || !Contains(mEpoch, mMember)) {
    return ServeVerdict::kNotMember;
  }
  if (!mLastConfirmedAt) {
    return ServeVerdict::kNeverConfirmed;
  }
  return aNow - *mLastConfirmedAt < mOptions.mConfirmationGrace
           ? ServeVerdict::kMayServe
           : ServeVerdict::kConfirmationTooOld;
}

bool
ControlSession::LeaseHolds(TimePoint aNow) const
{
  return !mRemoved && mMember.IsSet() && aNow < mLeaseEnd;
}

void
ControlSession::Handle(const FromControlEvent& aEvent)
{
  // A message for an earlier session of this process may come late. Sequence
  // numbers start again with each session, so it could be taken for the
  // response to another heartbeat.
  if (aEvent.mTo.value_or(mOptions.mNonce) != mOptions.mNonce) {
    return;
  }
  std::visit([this](const auto& aMessage) { HandleMessage(aMessage); },
             aEvent.mMessage);
}

void
ControlSession::Handle(const SettingsInForceEvent& aEvent)
{
  if (aEvent.mRevision > mInForce && aEvent.mRevision <= mReceived) {
    // From its first settings on, every replica may refer callers to it.
    const bool isFirst = !mInForce.IsSet();
    mInForce = aEvent.mRevision;
    // Reported immediately because operators wait for the slowest entry.
    SendHeartbeat(isFirst ? HeartbeatScope::kAll : HeartbeatScope::kVoters);
  }
}

void
ControlSession::Handle(const LeaveEvent&)
{
  mLeaving = true;
  mDrainNotified = true;
  SendHeartbeat(HeartbeatScope::kAllDirectly);
}

void
ControlSession::Handle(const HandoverCompleteEvent&)
{
  mLeaving = true;
  mDone = true;
  SendHeartbeat(HeartbeatScope::kAllDirectly);
}

void
ControlSession::Handle(const SuspectsEvent& aEvent)
{
  mSuspects = aEvent.mSuspects;
}

// Heartbeats are sent all the time, so that a confirmation is late only if they
// or their responses are lost or delayed, for instance at the relay.
void
ControlSession::Handle(const ConfirmSettingsEvent&)
{
  if (!mLastSent || mNow - *mLastSent >= kConfirmSpacing) {
    SendHeartbeat(HeartbeatScope::kVotersDirectly);
  }
}

void
ControlSession::Handle(const SessionTickEvent&)
{
  if (!mLastSent || mNow - *mLastSent >= HeartbeatPeriod()) {
    const bool toLearners = mSequence % kLearnerHeartbeatInterval == 0;
    SendHeartbeat(toLearners ? HeartbeatScope::kAll : HeartbeatScope::kVoters);
  }
}

Duration
ControlSession::HeartbeatPeriod() const
{
  const bool isInitialPhase =
    !mReceived.IsSet() && mNow - *mStartedAt < mOptions.mInitialPhase;
  if (!isInitialPhase) {
    return mOptions.mHeartbeatPeriod;
  }
  const auto step =
    static_cast<Duration::rep>(1 + mSequence / kBackoffInterval);
  return std::min(mOptions.mInitialHeartbeatPeriod * step,
                  mOptions.mHeartbeatPeriod);
}

bool
ControlSession::SeeksLeader() const
{
  return !mLastLeaderResponseAt ||
         mNow - *mLastLeaderResponseAt >= kLeaderTimeout;
}

const ControlSession::SentHeartbeat*
ControlSession::FindSent(std::uint64_t aSequence) const
{
  const auto found =
    std::find_if(mSent.begin(), mSent.end(), [&](const SentHeartbeat& aSent) {
      return aSent.mSequence == aSequence;
    });
  return found == mSent.end() ? nullptr : &*found;
}

void
ControlSession::HandleMessage(const HeartbeatResponse& aResponse)
{
  const SentHeartbeat* sent = FindSent(aResponse.mSequence);
  if (!aResponse.mLeads) {
    AddControlHints(aResponse);
  }
  if (!aResponse.mLeads || sent == nullptr || mRemoved) {
    return;
  }
  mLastLeaderResponseAt = mNow;
  mRelaySelector.RecordResponse(sent->mSentAt, mNow);
  if (!aResponse.mControls.empty()) {
    mControls = aResponse.mControls;
    mVoters = aResponse.mVoters;
    mRelaySelector.SetRelays(aResponse.mRelays);
  }
  ApplyMembershipStatus(aResponse);
  if (mRemoved) {
    return;
  }
  mConfirmed = std::max(mConfirmed, aResponse.mConfirmed);
  // The response confirms the revision that this heartbeat reported, which may
  // be older than the current one.
  if (sent->mInForce.IsSet() && sent->mInForce >= aResponse.mConfirmed) {
    mLastConfirmedAt =
      std::max(mLastConfirmedAt.value_or(sent->mSentAt), sent->mSentAt);
  }
  if (aResponse.mMember.IsSet() && aResponse.mEpoch <= mEpoch.mEpoch) {
    mEpochConfirmedAt =
      std::max(mEpochConfirmedAt.value_or(sent->mSentAt), sent->mSentAt);
  }
  if (aResponse.mMember.IsSet()) {
    mLeaseEnd = std::max(mLeaseEnd, sent->mSentAt + aResponse.mLease);
  }
}

void
ControlSession::ApplyMembershipStatus(const HeartbeatResponse& aResponse)
{
  if (aResponse.mMembershipStatus == MembershipStatus::kRemoved ||
      (mMember.IsSet() && aResponse.mMember.IsSet() &&
       aResponse.mMember != mMember)) {
    mRemoved = true;
    mEffects.emplace_back(RemovedEffect{});
    return;
  }
  if (!mMember.IsSet() && aResponse.mMember.IsSet()) {
    mMember = aResponse.mMember;
    mEffects.emplace_back(JoinedEffect{ mMember });
  }
  if (aResponse.mMembershipStatus == MembershipStatus::kDraining &&
      !mDrainNotified) {
    mDrainNotified = true;
    mLeaving = true;
    mEffects.emplace_back(DrainEffect{});
  }
}

// Messages may be delayed or duplicated. Only a revision higher than
// the last received one is processed, so that settings are never reverted.
void
ControlSession::HandleMessage(const SettingsPush& aPush)
{
  if (aPush.mRevision <= mReceived || mRemoved) {
    return;
  }
  auto text = TextOf(aPush);
  if (!text || DigestOf(*text) != aPush.mDigest) {
    // The deltas have a different base, or the text is not the committed one.
    SendToLeader(SettingsPull{ text ? Revision() : mReceived });
    return;
  }
  mReceived = aPush.mRevision;
  mText = std::move(*text);
  mEffects.emplace_back(NewSettingsEffect{ mReceived, mText });
}

std::optional<std::string>
ControlSession::TextOf(const SettingsPush& aPush) const
{
  if (aPush.mWhole) {
    return aPush.mWhole;
  }
  if (aPush.mBase != mReceived) {
    return std::nullopt;
  }
  std::optional<std::string> text = mText;
  LastReason reason;
  for (const TextDelta& delta : aPush.mDeltas) {
    text = text ? ApplyDelta(*text, delta, reason) : std::nullopt;
  }
  // If a delta can't be applied, an empty text is returned, which fails the
  // digest check and makes the caller pull the whole tree. Returning nullopt
  // would pull the same deltas repeatedly.
  return text ? text : std::optional<std::string>(std::in_place);
}

void
ControlSession::HandleMessage(const EpochPush& aPush)
{
  if (mRemoved) {
    return;
  }
  if (aPush.mWhole && aPush.mWhole->mEpoch > mEpoch.mEpoch) {
    mEpoch = *aPush.mWhole;
    mEffects.emplace_back(NewEpochEffect{ mEpoch });
  }
  for (const EpochChange& change : aPush.mChanges) {
    HandleEpochChange(change);
  }
}

void
ControlSession::HandleEpochChange(const EpochChange& aChange)
{
  if (aChange.mEpoch <= mEpoch.mEpoch) {
    return;
  }
  if (aChange.mEpoch != mEpoch.mEpoch.Next()) {
    SendToLeader(EpochPull{ mEpoch.mEpoch });
    return;
  }
  ApplyChange(mEpoch, aChange);
  mEffects.emplace_back(NewEpochEffect{ mEpoch });
}

} // namespace peridotspool::membership
