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
  /** Random; differs for each start of the process, never zero. */
  RegistryIncarnation mRegistryIncarnation;
  /** An upstream that was not heard for this long counts as silent. */
  Duration mSilentAfter = std::chrono::milliseconds(4500);
  /** Rows of silent and gone upstreams are forgotten after this long. */
  Duration mForgetAfter = std::chrono::seconds(90);
  /** Pushes that were not confirmed for this long are sent again. */
  Duration mResendAfter = std::chrono::milliseconds(250);
  /** Pushes to one subscriber that go out at once... */
  std::uint32_t mMaxBurst = 3;
  /** ...before they are spaced, until there was none for this long. */
  Duration mBurstResetAfter = std::chrono::milliseconds(100);
  Duration mSpacing = std::chrono::milliseconds(10);
  /** The same for each subscriber, where there are many. */
  Duration mSpacingPerSubscriber = std::chrono::microseconds(500);
  /** An incarnation first heard this soon after a goodbye is the one that said
   * it: an upstream goes on serving for longer than that. */
  Duration mLateHeartbeatWindow = kLateHeartbeatWindow;
  /** Silence is looked for this often. */
  Duration mSweepPeriod = std::chrono::milliseconds(100);
  /** A subscriber that did not pull for this long has gone. */
  Duration mSubscriberTimeout = std::chrono::milliseconds(2500);
  std::size_t mMaxRows = 16384;
  std::size_t mMaxSubscribers = 4096;
};

/** A message that the host is to send; it may be lost. */
struct RegistrySend
{
  Address mTo;
  RegistryPush mPush;
};

/**
 * The upstreams that announce themselves to this process, and who is told of
 * them. Soft state: upstreams repeat their heartbeats, so nothing is kept on a
 * disk, and each registry knows only what it was told itself; a subscriber
 * puts the registries together (UpstreamDirectory).
 *
 * A pure step without clock, thread or socket. Not thread-safe.
 */
class UpstreamRegistry
{
public:
  explicit UpstreamRegistry(UpstreamRegistryOptions aOptions);

  /** Takes a heartbeat; returns what its subscribers are to be told at once. */
  std::vector<RegistrySend> HandleHeartbeat(UpstreamReport aReport,
                                            TimePoint aNow);
  /** Takes a goodbye; one that names no incarnation ends the newest one. */
  std::vector<RegistrySend> HandleDeregistration(const UpstreamName& aName,
                                                 Incarnation aIncarnation,
                                                 TimePoint aNow);
  std::vector<RegistrySend> HandlePull(const Address& aFrom,
                                       const RegistryPull& aPull,
                                       TimePoint aNow);
  /** About every 10 ms: silence, and pushes that waited or got lost. */
  std::vector<RegistrySend> Tick(TimePoint aNow);

  std::size_t Size() const { return mRows.size(); }
  std::uint64_t Version() const { return mVersion; }

private:
  struct Row
  {
    RegistryRow mRow;
    TimePoint mLastHeardAt;
    /** When its incarnation was first heard. */
    TimePoint mIncarnationSeenAt;
    /** When it last said goodbye without naming its incarnation. */
    std::optional<TimePoint> mDeregisteredAt;
    std::uint64_t mVersion = 0;
    /** Subscribers were told all of it before its last change. */
    bool mPreviouslyPushed = false;
  };
  struct Subscriber
  {
    std::uint64_t mConfirmed = 0;
    std::uint64_t mPushed = 0;
    TimePoint mPushedAt;
    /** Pushes with little time between them, up to the last one. */
    std::uint32_t mBurstCount = 0;
    /** Since when nothing more was confirmed of what was pushed. */
    TimePoint mUnconfirmedSince;
    TimePoint mLastPullAt;
  };

  void MarkChanged(Row& aRow);
  std::vector<RegistrySend> ReplaceIncarnation(Row& aRow,
                                               UpstreamReport aReport,
                                               TimePoint aNow);
  bool IsInLateHeartbeatWindow(const Row& aRow, TimePoint aNow) const;
  static RegistryRow MakePushRow(const Row& aRow, TimePoint aNow);
  Duration Spacing() const;
  bool IsLost(const Subscriber& aSubscriber, TimePoint aNow) const;
  bool IsDue(const Subscriber& aSubscriber, TimePoint aNow) const;
  std::vector<RegistrySend> PushAll(TimePoint aNow);
  bool MarkSilentRows(TimePoint aNow);
  RegistrySend Push(const Address& aTo,
                    Subscriber& aSubscriber,
                    TimePoint aNow);

  UpstreamRegistryOptions mOptions;
  std::unordered_map<UpstreamName, Row> mRows;
  /** Rows by the version of their last change. */
  std::map<std::uint64_t, UpstreamName> mByVersion;
  std::map<Address, Subscriber> mSubscribers;
  std::uint64_t mVersion = 1;
  TimePoint mLastSweepAt;
};

} // namespace peridotspool::membership
