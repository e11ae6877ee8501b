#pragma once

#include "peridotspool/base/Ids.h"
#include "peridotspool/base/Time.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace peridotspool::routing {

/** Whether an entry reaches upstreams by itself. */
enum class UpstreamPath
{
  kDirect,
  /** It reaches none; other entries relay its connections. */
  kPartitioned,
};

/** What an entry has seen of its network path to all upstreams together. */
struct UpstreamPathFacts
{
  /** Time since the last connection was established; empty without one. */
  std::optional<Duration> mSinceConnected;
  /** Time since the last bytes were received; empty without any. */
  std::optional<Duration> mSinceReceived;
  /** Upstreams to which connections failed since the last was established. */
  std::size_t mFailedUpstreams = 0;

  auto operator<=>(const UpstreamPathFacts&) const = default;
};

struct UpstreamPathOptions
{
  /** Upstreams that only other entries reach, to be considered partitioned. */
  std::size_t mMinUnreachable = 2;
  /** Older failures are ignored. */
  Duration mMaxEvidenceAge = std::chrono::seconds(5);
  /** Requests to several upstreams without a byte for this long are suspect. */
  Duration mMaxSilence = std::chrono::milliseconds(400);
  /** The same for requests to a single upstream, which may just be busy. */
  Duration mMaxLoneSilence = std::chrono::milliseconds(1200);
  Duration mProbeInterval = std::chrono::milliseconds(500);
  /** Upstreams to be reached again before the partition is over. */
  std::size_t mReachedToRecover = 2;
};

/**
 * Judges whether this entry is partitioned from the upstreams. A failed
 * connection shows only that the entry or the upstream can't be reached. The
 * two are told apart by another entry: if that one reaches the upstream, the
 * fault is in this entry's path.
 *
 * Only connections that no other entry relays are recorded here. Does no I/O
 * and reads no clock. Not thread-safe.
 */
class UpstreamPathMonitor
{
public:
  using ConnectionId = std::uint64_t;

  UpstreamPathMonitor() = default;
  explicit UpstreamPathMonitor(UpstreamPathOptions aOptions)
    : mOptions(aOptions)
  {
  }

  /** Returns true iff the partition is over. */
  bool RecordConnected(const UpstreamName& aUpstream, TimePoint aNow);
  void RecordConnectFailed(const UpstreamName& aUpstream);
  /**
   * Another entry connected to an upstream that this entry could not connect
   * to, or not as soon. Returns true iff a partition has begun.
   */
  bool RecordUnreachable(const UpstreamName& aUpstream, TimePoint aNow);

  /** A request was sent, and its response is due on this connection. */
  void RecordRequest(ConnectionId aConnection,
                     const UpstreamName& aUpstream,
                     TimePoint aNow);
  void RecordReceived(ConnectionId aConnection, TimePoint aNow);
  /** Nothing is due on this connection any more. */
  void RecordIdle(ConnectionId aConnection);

  /**
   * Returns true iff connections to some upstreams are to be tried now; at most
   * once in a probe interval.
   */
  bool StartProbe(TimePoint aNow);

  UpstreamPath Path() const { return mPath; }
  /** Returns true iff this entry's failed connections may be its own fault, so
   * that they tell other entries nothing about an upstream. */
  bool IsSuspect() const
  {
    return mPath == UpstreamPath::kPartitioned ||
           mFailed.size() >= mOptions.mMinUnreachable;
  }
  /** Returns true iff a connection that was established or last received bytes
   * then can be expected to work. */
  bool IsTrusted(const std::optional<TimePoint>& aActiveAt) const;
  /** Returns true iff there is a partition, and the connections that were
   * established before it carry nothing either. */
  bool AreOpenConnectionsSilent(TimePoint aNow) const;
  /** Upstreams to which connections failed since the last was established. */
  const std::set<UpstreamName>& Failed() const { return mFailed; }
  UpstreamPathFacts Facts(TimePoint aNow) const;

private:
  struct PendingResponse
  {
    UpstreamName mUpstream;
    /** When the request was sent, or bytes of its response were received. */
    TimePoint mActiveAt;
  };

  bool IsSilent(TimePoint aNow) const;

  UpstreamPathOptions mOptions;
  UpstreamPath mPath = UpstreamPath::kDirect;
  TimePoint mPartitionedAt;
  TimePoint mProbedAt;
  std::optional<TimePoint> mConnectedAt;
  std::optional<TimePoint> mReceivedAt;
  std::set<UpstreamName> mFailed;
  /** Upstreams that only other entries reach, with the time of evidence. */
  std::map<UpstreamName, TimePoint> mUnreachable;
  /** Upstreams reached since the last evidence of the partition. */
  std::set<UpstreamName> mReached;
  std::map<ConnectionId, PendingResponse> mPending;
};

} // namespace peridotspool::routing
