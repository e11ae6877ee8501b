#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/rollout/RolloutMessage.h"
#include "peridotspool/rollout/VersionFilter.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace peridotspool::rollout {

/** The upstreams that a request may be sent to, and why. */
struct VersionChoice
{
  VersionFilter mFilter;
  /** For the log. */
  const char* mReason = "any version";
};

/** Numbers of ready upstreams of a service by version, as known to an entry. */
using ReadyByVersion = std::map<VersionName, std::size_t>;

/** One answer of an upstream. */
struct VersionAnswer
{
  ServiceName mService;
  VersionName mVersion;
  UpstreamName mUpstream;
  std::string mRoute;
  bool mFailed = false;
  /**
   * Time of a whole answer, or between two events of a stream; unset if not
   * meaningful.
   */
  std::optional<Duration> mPace;
  /** Time to the first event, relative to the time to prefill the prompt. */
  std::optional<double> mFirstEvent;
  /** Time of the whole answer. */
  Duration mTotalTime{ 0 };
};

/**
 * An entry's part of rollouts: decides which versions of a service its requests
 * may go to and how many of them to a new version, and counts the results.
 *
 * The entry fails closed. Its share of a new version is a lease, and upstreams
 * of a version that no rollout names get no requests while upstreams of the
 * earlier versions are ready.
 *
 * A state machine without clock, threads or sockets; not thread-safe.
 */
class RolloutGate
{
public:
  void ApplyUpdate(const RolloutUpdate& aUpdate, TimePoint aNow);
  /**
   * Returns true iff an update has arrived, so the current rollouts are known.
   */
  bool HasUpdate() const { return mNumber != 0; }
  std::uint64_t Number() const { return mNumber; }

  /**
   * Returns where the first attempt of a request may go; aSeed differs for each
   * request. Uses one request of the entry's allowance if that is the new
   * version.
   */
  VersionChoice ChooseFirst(const ServiceName& aService,
                            const std::string& aRoute,
                            std::uint64_t aSeed,
                            const ReadyByVersion& aReady,
                            TimePoint aNow);
  /** Returns where a retry of a request may go. */
  VersionChoice ChooseRetry(const ServiceName& aService,
                            const ReadyByVersion& aReady,
                            TimePoint aNow);
  /**
   * Returns where a stream that began at a version may be resumed: at upstreams
   * of that version, or nowhere. Uses one request of the entry's allowance if
   * the version is still tried.
   */
  VersionChoice ChooseResumed(const ServiceName& aService,
                              const VersionName& aVersion,
                              const ReadyByVersion& aReady,
                              TimePoint aNow);
  /** Records the first attempt of a request to an upstream of the service. */
  void RecordSent(const ServiceName& aService);
  /**
   * Records an answer, including one that ends after its caller stopped
   * waiting.
   */
  void RecordAnswer(const VersionAnswer& aAnswer);
  /** Returns true iff a rollout to that version is running. */
  bool IsRollingOut(const ServiceName& aService,
                    const VersionName& aVersion) const;
  /** Returns true iff a rollout is running for any service. */
  bool HasRunning() const;

  /**
   * Returns the report to the control replicas. aOldRunning returns the number
   * of requests running at a service's upstreams of any version but the given
   * one.
   */
  RolloutReport Report(
    std::uint64_t aIncarnation,
    const std::function<std::uint64_t(const ServiceName&, const VersionName&)>&
      aOldRunning,
    TimePoint aNow) const;

private:
  struct Run
  {
    RolloutShare mShare;
    std::uint64_t mRequests = 0;
    std::uint64_t mUsed = 0;
    /** When the last allowance was granted or used. */
    TimePoint mUnusedSince;
    std::uint64_t mChoices = 0;
    std::map<std::string, std::uint64_t> mChoicesByRoute;
    /** By route and, for the new version, by upstream. */
    std::map<std::pair<std::string, UpstreamName>, AnswerTally> mTallies;
  };

  bool HoldsLease(TimePoint aNow) const { return aNow < mLeaseUntil; }
  const ServiceVersions* Find(const ServiceName& aService) const;
  Run* RunOf(const ServiceName& aService);
  const Run* RunOf(const ServiceName& aService) const;
  VersionChoice ChooseWithoutRollout(const ServiceName& aService,
                                     const ReadyByVersion& aReady);
  static VersionFilter OldVersionsOnly(const ServiceVersions& aVersions);
  static bool IsSampled(const Run& aRun,
                        const std::string& aRoute,
                        std::uint64_t aSeed,
                        TimePoint aNow);
  bool SelectsNewVersion(Run& aRun,
                         const std::string& aRoute,
                         std::uint64_t aSeed,
                         TimePoint aNow,
                         const char*& aReason);

  std::uint64_t mTerm = 0;
  std::uint64_t mSequence = 0;
  std::uint64_t mNumber = 0;
  TimePoint mLeaseUntil;
  std::map<ServiceName, ServiceVersions> mServices;
  std::map<ServiceName, Run> mRuns;
  /** Versions that served each service before any rollout. */
  std::unordered_map<ServiceName, std::set<VersionName>> mInitialVersions;
};

} // namespace peridotspool::rollout
