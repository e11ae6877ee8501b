#include "peridotspool/membership/ControlSession.h"

#include "peridotspool/base/LastReason.h"

#include <algorithm>

namespace peridotspool::membership {

namespace {

/** Heartbeats whose answers still count. */
constexpr std::size_t kMaxSent = 64;
/** A control replica that restarted learns the profile from every so many. */
constexpr std::uint64_t kProfileEvery = 4;
/** Replicas that can't lead hear every so many; a power of two. */
constexpr std::uint64_t kLearnersEach = 2;
/** Without a leader's word for this long, the first list is asked as well. */
constexpr Duration kLeaderQuiet = std::chrono::seconds(2);

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
{
}

ControlSessionEffects
ControlSession::Step(const ControlSessionEvent& aEvent, TimePoint aNow)
{
  mNow = std::max(mNow, aNow);
  mStartedAt = mStartedAt.value_or(mNow);
  std::visit([this](const auto& aOne) { Take(aOne); }, aEvent);
  return std::exchange(mEffects, {});
}

// An entry that can't confirm its settings may be on the wrong side of a cut,
// while an accepted edit is in force elsewhere. It goes on for the grace, so
// that a change of the control leader stops nobody, and then takes no new work,
// so that the old settings are out of force within seconds. The confirmation
// counts from the sending of the heartbeat: a process that was frozen finds it
// too old when it wakes.
ServeVerdict
ControlSession::MayServe(TimePoint aNow) const
{
  if (mRemoved) {
    return ServeVerdict::kRemoved;
  }
  if (!mMember.IsSet() || !Contains(mEpoch, mMember)) {
    return ServeVerdict::kNotMember;
  }
  if (!mUpToDateAt) {
    return ServeVerdict::kNeverConfirmed;
  }
  return aNow - *mUpToDateAt < mOptions.mConfirmationGrace
           ? ServeVerdict::kMayServe
           : ServeVerdict::kConfirmationTooOld;
}

bool
ControlSession::LeaseHolds(TimePoint aNow) const
{
  return !mRemoved && mMember.IsSet() && aNow < mLeaseEnd;
}

void
ControlSession::Take(const FromControlEvent& aEvent)
{
  std::visit([this](const auto& aMessage) { TakeMessage(aMessage); },
             aEvent.mMessage);
}

void
ControlSession::Take(const SettingsInForceEvent& aEvent)
{
  if (aEvent.mRevision > mInForce && aEvent.mRevision <= mTaken) {
    mInForce = aEvent.mRevision;
    // Said at once: operators wait for the slowest entry.
    SendHeartbeat(false);
  }
}

void
ControlSession::Take(const LeaveEvent&)
{
  mLeaving = true;
  mDrainTold = true;
  SendHeartbeat(true);
}

void
ControlSession::Take(const LeftNothingEvent&)
{
  mLeaving = true;
  mDone = true;
  SendHeartbeat(true);
}

void
ControlSession::Take(const SuspectsEvent& aEvent)
{
  mSuspects = aEvent.mSuspects;
}

void
ControlSession::Take(const SessionTickEvent&)
{
  if (!mLastSent || mNow - *mLastSent >= HeartbeatPeriod()) {
    SendHeartbeat(mSequence % kLearnersEach == 0);
  }
}

Duration
ControlSession::HeartbeatPeriod() const
{
  const bool eager = !mTaken.IsSet() && mNow - *mStartedAt < mOptions.mEagerFor;
  return eager ? std::min(mOptions.mEagerPeriod, mOptions.mHeartbeatPeriod)
               : mOptions.mHeartbeatPeriod;
}

bool
ControlSession::SeeksLeader() const
{
  return !mLeaderHeardAt || mNow - *mLeaderHeardAt >= kLeaderQuiet;
}

// Only voters judge silence, and one of them leads; the others answer callers
// who ask for entries, and are told less often.
void
ControlSession::SendHeartbeat(bool aToAll)
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
  const bool due = mSequence % kProfileEvery == 1;
  if (!mMember.IsSet() || due) {
    heartbeat.mProfile = mOptions.mProfile;
  }
  const bool toAll = aToAll || SeeksLeader() || !mTaken.IsSet();
  Send(toAll ? Reachable() : Voters(), heartbeat);
}

std::vector<Address>
ControlSession::Voters() const
{
  const std::size_t count =
    mVoters == 0 ? mControls.size() : std::min(mVoters, mControls.size());
  return { mControls.begin(),
           mControls.begin() + static_cast<std::ptrdiff_t>(count) };
}

// The leader may be a replica that this process was never told of, while those
// that it was told of are followers, or gone. What they say of others is only
// a place to ask: nothing rests on it.
void
ControlSession::TakeHints(const HeartbeatAnswer& aAnswer)
{
  constexpr std::size_t kMostHints = 16;
  if (!SeeksLeader()) {
    return;
  }
  for (const Address& control : aAnswer.mControls) {
    const bool known =
      std::find(mControls.begin(), mControls.end(), control) != mControls.end();
    if (!known && mControls.size() < kMostHints) {
      mControls.push_back(control);
    }
  }
}

// All replicas that the leader named may be gone since, with an entry that was
// cut off meanwhile; the first list is what it can begin again from.
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
ControlSession::TakeMessage(const HeartbeatAnswer& aAnswer)
{
  const SentHeartbeat* sent = FindSent(aAnswer.mSequence);
  if (!aAnswer.mLeads) {
    TakeHints(aAnswer);
  }
  if (!aAnswer.mLeads || sent == nullptr || mRemoved) {
    return;
  }
  mLeaderHeardAt = mNow;
  if (!aAnswer.mControls.empty()) {
    mControls = aAnswer.mControls;
    mVoters = aAnswer.mVoters;
  }
  TakeStanding(aAnswer);
  if (mRemoved) {
    return;
  }
  mConfirmed = std::max(mConfirmed, aAnswer.mConfirmed);
  // The heartbeat was confirmed against what it reported then.
  if (sent->mInForce.IsSet() && sent->mInForce >= aAnswer.mConfirmed) {
    mUpToDateAt = std::max(mUpToDateAt.value_or(sent->mSentAt), sent->mSentAt);
  }
  if (aAnswer.mMember.IsSet()) {
    mLeaseEnd = std::max(mLeaseEnd, sent->mSentAt + aAnswer.mLease);
  }
}

void
ControlSession::TakeStanding(const HeartbeatAnswer& aAnswer)
{
  if (aAnswer.mStanding == Standing::kRemoved ||
      (mMember.IsSet() && aAnswer.mMember.IsSet() &&
       aAnswer.mMember != mMember)) {
    mRemoved = true;
    mEffects.emplace_back(RemovedEffect{});
    return;
  }
  if (!mMember.IsSet() && aAnswer.mMember.IsSet()) {
    mMember = aAnswer.mMember;
    mEffects.emplace_back(JoinedEffect{ mMember });
  }
  if (aAnswer.mStanding == Standing::kDraining && !mDrainTold) {
    mDrainTold = true;
    mLeaving = true;
    mEffects.emplace_back(DrainEffect{});
  }
}

// Messages may come late and twice. Only a higher revision than any taken
// before is looked at, so that settings never go back.
void
ControlSession::TakeMessage(const SettingsPush& aPush)
{
  if (aPush.mRevision <= mTaken || mRemoved) {
    return;
  }
  auto text = TextOf(aPush);
  if (!text || DigestOf(*text) != aPush.mDigest) {
    // The base is another one, or the text isn't what was committed.
    Send(Reachable(), SettingsPull{ text ? Revision() : mTaken });
    return;
  }
  mTaken = aPush.mRevision;
  mText = std::move(*text);
  mEffects.emplace_back(NewSettingsEffect{ mTaken, mText });
}

std::optional<std::string>
ControlSession::TextOf(const SettingsPush& aPush) const
{
  if (aPush.mWhole) {
    return aPush.mWhole;
  }
  if (aPush.mBase != mTaken) {
    return std::nullopt;
  }
  std::optional<std::string> text = mText;
  LastReason reason;
  for (const TextDelta& delta : aPush.mDeltas) {
    text = text ? ApplyDelta(*text, delta, reason) : std::nullopt;
  }
  // Returned empty, a delta that doesn't fit is pulled again as deltas, and
  // again; the whole tree ends that.
  return text ? text : std::optional<std::string>(std::in_place);
}

void
ControlSession::TakeMessage(const EpochPush& aPush)
{
  if (mRemoved) {
    return;
  }
  if (aPush.mWhole && aPush.mWhole->mEpoch > mEpoch.mEpoch) {
    mEpoch = *aPush.mWhole;
    mEffects.emplace_back(NewEpochEffect{ mEpoch });
  }
  for (const EpochChange& change : aPush.mChanges) {
    TakeChange(change);
  }
}

void
ControlSession::TakeChange(const EpochChange& aChange)
{
  if (aChange.mEpoch <= mEpoch.mEpoch) {
    return;
  }
  if (aChange.mEpoch != mEpoch.mEpoch.Next()) {
    Send(Reachable(), EpochPull{ mEpoch.mEpoch });
    return;
  }
  ApplyChange(mEpoch, aChange);
  mEffects.emplace_back(NewEpochEffect{ mEpoch });
}

} // namespace peridotspool::membership
