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

/** Which upstreams a request may be sent to, and why. */
struct VersionChoice
{
  VersionFilter mFilter;
  /** For the log. */
  const char* mReason = "any version";
};

/** Upstreams of a service by version, as an entry knows them. */
using ReadyByVersion = std::map<VersionName, std::size_t>;

/** One answer of an upstream. */
struct VersionAnswer
{
  ServiceName mService;
  VersionName mVersion;
  UpstreamName mUpstream;
  std::string mRoute;
  bool mFailed = false;
  /** Of a whole answer, or between two events; unset where it shows nothing. */
  std::optional<Duration> mPace;
  /** To the first event, as a part of what reading the prompt takes. */
  std::optional<double> mFirstEvent;
  /** Of the whole answer. */
  Duration mTotalTime{ 0 };
};

/**
 * An entry's part in rollouts: which versions of a service its requests may go
 * to, how many of them to a new one, and what became of them.
 *
 * What an entry isn't told it doesn't allow: its part for a new version is a
 * lease, and an upstream of a version that no rollout names gets nothing as
 * long as there are upstreams of versions that were there before.
 *
 * A pure step; not thread-safe.
 */
class RolloutGate
{
public:
  void ApplyUpdate(const RolloutUpdate& aUpdate, TimePoint aNow);
  /** An update has come: what rollouts there are is known. */
  bool HasUpdate() const { return mNumber != 0; }
  std::uint64_t Number() const { return mNumber; }

  /**
   * Says where the first send of a request may go; aSeed differs for each.
   * Counts against the entry's allowance where it is for the new version.
   */
  VersionChoice ChooseFirst(const ServiceName& aService,
                            const std::string& aRoute,
                            std::uint64_t aSeed,
                            const ReadyByVersion& aReady,
                            TimePoint aNow);
  /** Says where a request may be repeated. */
  VersionChoice ChooseRetry(const ServiceName& aService,
                            const ReadyByVersion& aReady,
                            TimePoint aNow);
  /** A request was sent to an upstream of the service, for the first time. */
  void RecordSent(const ServiceName& aService);
  /** Also of one that lasts longer than its caller waits. */
  void RecordAnswer(const VersionAnswer& aAnswer);
  /** Returns true iff a rollout to that version is running. */
  bool IsRollingOut(const ServiceName& aService,
                    const VersionName& aVersion) const;
  /** Returns true iff a rollout runs, for any service. */
  bool HasRunning() const;

  /**
   * What to tell the control replicas; aOldRunning says how many requests are
   * at upstreams of a service that run another version than the one named.
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
    /** When the last allowance was given or used. */
    TimePoint mUnusedSince;
    std::uint64_t mChoices = 0;
    std::map<std::string, std::uint64_t> mChoicesByRoute;
    /** By route and, for the new version, upstream. */
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
