#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/membership/ControlSessionEffect.h"
#include "peridotspool/membership/ControlSessionEvent.h"
#include "peridotspool/membership/ControlSessionOptions.h"
#include "peridotspool/membership/RelaySelector.h"

#include <boost/describe/enum.hpp>
#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <utility>

namespace peridotspool::membership {

/** Whether an entry may accept new requests, and the reason if it may not. */
enum class ServeVerdict
{
  kMayServe,
  /** The control log has not admitted this process as a member yet. */
  kNotMember,
  /** Permanently removed from the member list. */
  kRemoved,
  /** No majority has confirmed this process's settings since it started. */
  kNeverConfirmed,
  /** The last confirmation is older than the grace period. */
  kConfirmationTooOld,
};
BOOST_DESCRIBE_ENUM(ServeVerdict,
                    kMayServe,
                    kNotMember,
                    kRemoved,
                    kNeverConfirmed,
                    kConfirmationTooOld)

/**
 * The entry's side of its session with the control replicas: membership, lease,
 * settings and epochs. The revision of the settings and the number of the epoch
 * never decrease.
 *
 * A deterministic state machine: it uses no clock, thread or socket. Not
 * thread-safe.
 */
class ControlSession
{
public:
  explicit ControlSession(ControlSessionOptions aOptions);

  /** Applies one event; returns the effects to execute, in order. */
  ControlSessionEffects Step(const ControlSessionEvent& aEvent, TimePoint aNow);

  /** Returns whether the entry may accept new requests at aNow. */
  ServeVerdict MayServe(TimePoint aNow) const;
  /**
   * Returns true iff this member's lease from the leader is valid at aNow.
   * Checked immediately before an action that only a live member may perform.
   */
  bool LeaseHolds(TimePoint aNow) const;

  /**
   * When the last heartbeat was sent for which the leader confirmed that this
   * member knew the newest epoch; empty if there is none.
   */
  std::optional<TimePoint> EpochConfirmedAt() const
  {
    return mEpochConfirmedAt;
  }

  /**
   * When the last heartbeat was sent for which the leader confirmed that the
   * entry's settings were the newest; empty if there is none.
   */
  std::optional<TimePoint> SettingsConfirmedAt() const
  {
    return mLastConfirmedAt;
  }

  /** The control replicas last listed by the leader, or the initial list. */
  const std::vector<Address>& Controls() const { return mControls; }
  /** The voting control replicas, or all replicas if that is unknown. */
  std::vector<Address> Voters() const;
  /** The relay in use; empty while messages go to each replica. */
  const std::optional<Address>& Relay() const { return mRelay; }
  /** Unset until the process is a member. */
  MemberId Member() const { return mMember; }
  /** The newest epoch received. */
  const EpochMap& Epoch() const { return mEpoch; }
  /** Revision of the newest settings received. */
  Revision ReceivedRevision() const { return mReceived; }
  /** Revision of the settings that the entry uses. */
  Revision InForceRevision() const { return mInForce; }
  /** The newest revision known to be committed by a majority. */
  Revision ConfirmedRevision() const { return mConfirmed; }

private:
  /** A heartbeat whose response may still arrive. */
  struct SentHeartbeat
  {
    std::uint64_t mSequence;
    TimePoint mSentAt;
    /** Revision of the settings that the heartbeat reported. */
    Revision mInForce;
  };

  void Handle(const FromControlEvent& aEvent);
  void Handle(const SettingsInForceEvent& aEvent);
  void Handle(const LeaveEvent& aEvent);
  void Handle(const HandoverCompleteEvent& aEvent);
  void Handle(const SuspectsEvent& aEvent);
  void Handle(const ConfirmSettingsEvent& aEvent);
  void Handle(const SessionTickEvent& aEvent);

  void HandleMessage(const HeartbeatResponse& aResponse);
  void HandleMessage(const SettingsPush& aPush);
  void HandleMessage(const EpochPush& aPush);
  void ApplyMembershipStatus(const HeartbeatResponse& aResponse);
  std::optional<std::string> TextOf(const SettingsPush& aPush) const;
  void HandleEpochChange(const EpochChange& aChange);

  Duration HeartbeatPeriod() const;
  bool SeeksLeader() const;
  /** Where a heartbeat is sent besides to the voters. */
  enum class HeartbeatScope
  {
    kVoters,
    kAll,
    /** To the voters, and not through a relay, whose failure would delay it. */
    kVotersDirectly,
    /** To all, and not through a relay. */
    kAllDirectly,
  };
  void SendHeartbeat(HeartbeatScope aScope);
  void SendToRelay(RelayScope aScope, const FromEntryMessage& aMessage);
  void SendToLeader(const FromEntryMessage& aMessage);
  void AddControlHints(const HeartbeatResponse& aResponse);
  std::vector<Address> Reachable() const;
  void Send(const std::vector<Address>& aTo, const FromEntryMessage& aMessage);
  const SentHeartbeat* FindSent(std::uint64_t aSequence) const;

  ControlSessionOptions mOptions;
  std::vector<Address> mControls;
  /** The first mVoters elements of mControls vote; 0 if unknown. */
  std::size_t mVoters = 0;
  RelaySelector mRelaySelector;
  std::optional<Address> mRelay;
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
  /**
   * When the last heartbeat was sent for which the leader confirmed that the
   * entry's settings were the newest.
   */
  std::optional<TimePoint> mLastConfirmedAt;
  std::optional<TimePoint> mEpochConfirmedAt;
  TimePoint mLeaseEnd;
};

} // namespace peridotspool::membership
