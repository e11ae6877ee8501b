#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/membership/ControlSessionEffect.h"
#include "peridotspool/membership/ControlSessionEvent.h"
#include "peridotspool/membership/ControlSessionOptions.h"

#include <boost/describe/enum.hpp>
#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <utility>

namespace peridotspool::membership {

/** May an entry take new work? */
enum class ServeVerdict
{
  kMayServe,
  /** The control log hasn't made this process a member yet. */
  kNotMember,
  /** Removed from the member list, for good. */
  kRemoved,
  /** No majority has confirmed this process's settings since it started. */
  kNeverConfirmed,
  /** The last confirmation is too long ago. */
  kConfirmationTooOld,
};
BOOST_DESCRIBE_ENUM(ServeVerdict,
                    kMayServe,
                    kNotMember,
                    kRemoved,
                    kNeverConfirmed,
                    kConfirmationTooOld)

/**
 * An entry's side of its session with the control replicas: membership, lease,
 * settings and epochs. Settings and epochs only ever rise.
 *
 * A pure step without clock, thread or socket. Not thread-safe.
 */
class ControlSession
{
public:
  explicit ControlSession(ControlSessionOptions aOptions);

  /** Takes one event and returns what the host is to do, in order. */
  ControlSessionEffects Step(const ControlSessionEvent& aEvent, TimePoint aNow);

  /** Says whether the entry may take new work at aNow, and if not, why. */
  ServeVerdict MayServe(TimePoint aNow) const;
  /**
   * Returns true iff the leader's lease for this member holds at aNow. Asked
   * right before an effect that only a live member may have.
   */
  bool LeaseHolds(TimePoint aNow) const;

  /** The control replicas as the leader last named them, or the first list. */
  const std::vector<Address>& Controls() const { return mControls; }
  /** Those of them that may lead, or all while that isn't known. */
  std::vector<Address> Voters() const;
  /** Unset until the process is a member. */
  MemberId Member() const { return mMember; }
  /** The newest epoch that was taken. */
  const EpochMap& Epoch() const { return mEpoch; }
  /** The newest settings that were taken. */
  Revision ReceivedRevision() const { return mReceived; }
  Revision InForceRevision() const { return mInForce; }
  /** The newest revision that a majority is known to have committed. */
  Revision ConfirmedRevision() const { return mConfirmed; }

private:
  /** A heartbeat whose answer may still come. */
  struct SentHeartbeat
  {
    std::uint64_t mSequence;
    TimePoint mSentAt;
    /** The settings that it reported. */
    Revision mInForce;
  };

  void Handle(const FromControlEvent& aEvent);
  void Handle(const SettingsInForceEvent& aEvent);
  void Handle(const LeaveEvent& aEvent);
  void Handle(const HandoverCompleteEvent& aEvent);
  void Handle(const SuspectsEvent& aEvent);
  void Handle(const SessionTickEvent& aEvent);

  void HandleMessage(const HeartbeatResponse& aResponse);
  void HandleMessage(const SettingsPush& aPush);
  void HandleMessage(const EpochPush& aPush);
  void ApplyMembershipStatus(const HeartbeatResponse& aResponse);
  std::optional<std::string> TextOf(const SettingsPush& aPush) const;
  void HandleEpochChange(const EpochChange& aChange);

  Duration HeartbeatPeriod() const;
  bool SeeksLeader() const;
  void SendHeartbeat(bool aToAll);
  void AddControlHints(const HeartbeatResponse& aResponse);
  std::vector<Address> Reachable() const;
  void Send(const std::vector<Address>& aTo, const FromEntryMessage& aMessage);
  const SentHeartbeat* FindSent(std::uint64_t aSequence) const;

  ControlSessionOptions mOptions;
  std::vector<Address> mControls;
  /** So many of them, from the first, vote; 0 if unknown. */
  std::size_t mVoters = 0;
  std::optional<TimePoint> mLastLeaderResponseAt;
  ControlSessionEffects mEffects;
  TimePoint mNow;
  std::optional<TimePoint> mStartedAt;
  std::optional<TimePoint> mLastSent;
  std::deque<SentHeartbeat> mSent;
  std::uint64_t mSequence = 0;
  MemberId mMember;
  bool mRemoved = false;
  bool mLeaving = false;
  bool mDrainNotified = false;
  bool mDone = false;
  std::vector<MemberId> mSuspects;
  EpochMap mEpoch;
  Revision mReceived;
  std::string mText;
  Revision mInForce;
  Revision mConfirmed;
  /** When the entry's settings were last known to be the newest. */
  std::optional<TimePoint> mLastConfirmedAt;
  TimePoint mLeaseEnd;
};

} // namespace peridotspool::membership
