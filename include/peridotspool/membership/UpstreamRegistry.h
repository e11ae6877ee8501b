#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/membership/RegistryMessage.h"

#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace peridotspool::membership {

struct UpstreamRegistryOptions
{
  /** Random, different for each start of the process, never zero. */
  RegistryIncarnation mRegistryIncarnation;
  /** An upstream without a heartbeat for longer than this is silent. */
  Duration mSilentAfter = std::chrono::milliseconds(4500);
  /** Rows of silent and gone upstreams are removed after this time. */
  Duration mForgetAfter = std::chrono::seconds(90);
  /**
   * Pushes that are not confirmed within this time are sent again. Increases
   * with the spacing and with the time that the subscriber's confirmations
   * take, and is twice as long after the first resend, up to mMaxResendAfter.
   */
  Duration mResendAfter = std::chrono::milliseconds(250);
  Duration mMaxResendAfter = std::chrono::milliseconds(2000);
  /**
   * Maximum number of consecutive pushes to one subscriber before they are
   * spaced.
   */
  std::uint32_t mMaxBurst = 3;
  /** Pushes are spaced after a burst until none was sent for this time. */
  Duration mBurstResetAfter = std::chrono::milliseconds(100);
  /** Minimum time between pushes to one subscriber after a burst. */
  Duration mSpacing = std::chrono::milliseconds(10);
  /** Bounds the spacing of pushes to another replica. */
  Duration mReplicaSpacing = std::chrono::milliseconds(40);
  /**
   * The spacing is at least this times the number of subscribers, which bounds
   * the pushes per second to all of them.
   */
  Duration mSpacingPerSubscriber = std::chrono::microseconds(500);
  /**
   * An incarnation that is first reported within this time after a
   * deregistration is the one that was deregistered: an upstream continues to
   * serve for longer than this after it deregisters.
   */
  Duration mLateHeartbeatWindow = kLateHeartbeatWindow;
  /** Interval between checks for silent upstreams and expired subscribers. */
  Duration mSweepPeriod = std::chrono::milliseconds(100);
  /**
   * The withdrawals adopted from a registry are pushed to subscribers once
   * nothing has been received from it for this time.
   */
  Duration mRegistryTimeout = std::chrono::milliseconds(900);
  /** A subscriber that does not pull for longer than this is removed. */
  Duration mSubscriberTimeout = std::chrono::milliseconds(2500);
  std::size_t mMaxRows = 16384;
  std::size_t mMaxSubscribers = 4096;
};

/** A push for the host to send to each address. Delivery is not guaranteed. */
struct RegistrySend
{
  std::vector<Address> mTo;
  RegistryPush mPush;
};

/**
 * Stores the upstreams that send heartbeats to this process and pushes changes
 * to subscribers. The state is soft: upstreams repeat their heartbeats, so
 * nothing is persisted. A registry contains what was reported to it directly;
 * subscribers merge the registries (UpstreamDirectory). Withdrawals are not
 * repeated, so that registries adopt those of each other; subscribers that are
 * there already are told of them by the registry that received them, as long as
 * it lives.
 *
 * A deterministic state machine: it uses no clock, thread or socket. Not
 * thread-safe.
 */
class UpstreamRegistry
{
public:
  explicit UpstreamRegistry(UpstreamRegistryOptions aOptions);

  /** Applies a heartbeat; returns the pushes to send immediately. */
  std::vector<RegistrySend> HandleHeartbeat(UpstreamReport aReport,
                                            TimePoint aNow);
  /**
   * Applies a deregistration. If it specifies no incarnation, it ends the
   * newest one.
   */
  std::vector<RegistrySend> HandleDeregistration(const UpstreamName& aName,
                                                 Incarnation aIncarnation,
                                                 TimePoint aNow);
  /**
   * Applies the withdrawals (draining or deregistered) in another registry's
   * push: what it acknowledged has to remain known when its process ends.
   */
  void AdoptWithdrawals(const RegistryPush& aPush, TimePoint aNow);
  /** Confirms the subscriber's version and renews its subscription. */
  std::vector<RegistrySend> HandlePull(const Address& aFrom,
                                       const RegistryPull& aPull,
                                       TimePoint aNow);
  /**
   * Called about every 10 ms. Detects silent upstreams and sends pushes that
   * were delayed or lost.
   */
  std::vector<RegistrySend> Tick(TimePoint aNow);

  std::size_t Size() const { return mRows.size(); }
  std::uint64_t Version() const { return mVersion; }
  /** The version of the upstream's last change; 0 if it isn't stored. */
  std::uint64_t VersionOf(const UpstreamName& aName) const;
  /**
   * Returns the newest version that a majority of aReplicas holds, with
   * everything before it; 0 if there is none.
   * @param aSelf this registry's address
   */
  std::uint64_t MajorityVersion(const std::vector<Address>& aReplicas,
                                const Address& aSelf) const;

private:
  struct Row
  {
    RegistryRow mRow;
    /** When the last heartbeat or deregistration was received. */
    TimePoint mLastContactAt;
    /** When its incarnation was first reported. */
    TimePoint mIncarnationSeenAt;
    /** Time of the last deregistration that specified no incarnation. */
    std::optional<TimePoint> mDeregisteredAt;
    /** Version of the last change. */
    std::uint64_t mVersion = 0;
    /** The complete row was published before its last change. */
    bool mPreviouslyPushed = false;
    /** The registry that received its withdrawal, while that one is to tell
     * subscribers; unset if this one is. */
    RegistryIncarnation mAdoptedFrom;
  };
  struct Subscriber
  {
    /** Version that the subscriber last reported. */
    std::uint64_t mConfirmed = 0;
    /** Version of the last push. */
    std::uint64_t mPushed = 0;
    TimePoint mPushedAt;
    /** Number of consecutive pushes without a pause of mBurstResetAfter. */
    std::uint32_t mBurstCount = 0;
    /** When the wait for a confirmation of the last pushes started. */
    TimePoint mUnconfirmedSince;
    /** When the newest push was sent whose receipt is known. */
    TimePoint mReceivedSentAt;
    /** Moving average of the time until a push is confirmed. */
    std::optional<Duration> mConfirmTime;
    /** What was not confirmed in time has been sent again. */
    bool mHasResent = false;
    TimePoint mLastPullAt;
    bool mIsReplica = false;
  };

  void MarkChanged(Row& aRow);
  std::vector<RegistrySend> ReplaceIncarnation(Row& aRow,
                                               UpstreamReport aReport,
                                               TimePoint aNow);
  bool IsInLateHeartbeatWindow(const Row& aRow, TimePoint aNow) const;
  /** Returns the row if it has changed, else null. */
  Row* AdoptWithdrawal(const RegistryRow& aReported, TimePoint aNow);
  Row* AddWithdrawn(const RegistryRow& aReported, TimePoint aNow);
  /** Publishes the withdrawals of registries that are silent. */
  void PublishAdopted(TimePoint aNow);
  void PublishAdopted(Row& aRow);
  void MergeWithdrawal(Row& aRow, const RegistryRow& aReported, TimePoint aNow);
  static RegistryRow MakePushRow(const Row& aRow, TimePoint aNow);
  Duration Spacing() const;
  Duration SpacingOf(const Subscriber& aSubscriber) const;
  Duration ResendAfter(const Subscriber& aSubscriber) const;
  bool IsLost(const Subscriber& aSubscriber, TimePoint aNow) const;
  static void TimeConfirmation(Subscriber& aSubscriber,
                               TimePoint aSentAt,
                               TimePoint aNow);
  bool IsDue(const Subscriber& aSubscriber, TimePoint aNow) const;
  std::vector<RegistrySend> PushAll(TimePoint aNow);
  /** Removes expired rows; returns true iff an upstream became silent. */
  bool MarkSilentRows(TimePoint aNow);
  /** Records a push; returns the version after which its rows begin. */
  std::uint64_t StartPush(Subscriber& aSubscriber, TimePoint aNow);
  RegistryPush MakePush(std::uint64_t aFrom, TimePoint aNow) const;

  UpstreamRegistryOptions mOptions;
  std::unordered_map<UpstreamName, Row> mRows;
  /** Upstream names by the version of the row's last change. */
  std::map<std::uint64_t, UpstreamName> mByVersion;
  std::map<Address, Subscriber> mSubscribers;
  /** Registries whose withdrawals were adopted, and when each last pushed. */
  std::map<RegistryIncarnation, TimePoint> mHeardAt;
  std::uint64_t mVersion = 1;
  TimePoint mLastSweepAt;
};

} // namespace peridotspool::membership
