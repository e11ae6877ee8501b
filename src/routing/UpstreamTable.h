#pragma once

#include "peridotspool/routing/Router.h"
#include "routing/Upstream.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace peridotspool::routing {

/** The upstreams of one service that may be chosen. */
struct ServicePool
{
  std::vector<UpstreamIndex> mServing;
  /** Number of present but ejected upstreams. */
  std::uint32_t mEjected = 0;
  /**
   * Mean run time of the service's requests; zero before the first has ended.
   */
  double mHoldMicros = 0;
  /** Highest price that any upstream has announced. */
  double mHighestPrice = 0;
};

/** What an announcement changed. */
struct AnnouncementResult
{
  UpstreamIndex mIndex = 0;
  bool mNewIncarnation = false;
};

/**
 * The known upstreams, with their announcements as leases, and for each service
 * the list of those that may be chosen.
 */
class UpstreamTable
{
public:
  explicit UpstreamTable(const RouterOptions& aOptions);

  /** Returns empty iff the announcement is not newer than the known one. */
  std::optional<AnnouncementResult> Announce(
    const UpstreamAnnouncement& aAnnouncement,
    TimePoint aNow);

  /** Removes expired upstreams and readmits ejected ones. */
  void Tick(TimePoint aNow);
  void Sent(UpstreamIndex aIndex, TimePoint aNow);
  void Ended(UpstreamIndex aIndex, AttemptEnd aEnd, TimePoint aNow);

  std::optional<UpstreamIndex> Find(const UpstreamName& aName) const;
  const ServicePool* Pool(const ServiceName& aService) const;
  const UpstreamStats& Stats(UpstreamIndex aIndex) const
  {
    return mStats[aIndex];
  }
  UpstreamStats& Stats(UpstreamIndex aIndex) { return mStats[aIndex]; }
  const UpstreamDetail& Detail(UpstreamIndex aIndex) const
  {
    return mDetails[aIndex];
  }
  UpstreamDetail& Detail(UpstreamIndex aIndex) { return mDetails[aIndex]; }
  std::vector<UpstreamAnnouncement> Present(TimePoint aNow) const;
  std::uint64_t Ejections() const { return mEjections; }

private:
  /** Returns true iff it is newer than the known one of its upstream. */
  bool IsNewer(const UpstreamAnnouncement& aAnnouncement) const;
  UpstreamIndex IndexOf(const UpstreamAnnouncement& aAnnouncement);
  /** Recomputes the upstream's estimated load. */
  void UpdateLoad(UpstreamIndex aIndex);
  void UpdateStats(UpstreamIndex aIndex, TimePoint aNow);
  void UpdateServing(UpstreamIndex aIndex, TimePoint aNow);
  void StopServing(UpstreamIndex aIndex);
  void RecordHoldTime(UpstreamIndex aIndex, Duration aDuration, TimePoint aNow);
  void TryEject(UpstreamIndex aIndex, TimePoint aNow);
  void EndEjection(UpstreamIndex aIndex);
  void Forget(UpstreamIndex aIndex);
  ServicePool& PoolOf(UpstreamIndex aIndex);

  const RouterOptions& mOptions;
  std::vector<UpstreamStats> mStats;
  std::vector<UpstreamDetail> mDetails;
  std::vector<UpstreamIndex> mFree;
  std::unordered_map<UpstreamName, UpstreamIndex> mByName;
  std::unordered_map<ServiceName, ServicePool> mPools;
  std::uint64_t mEjections = 0;
};

} // namespace peridotspool::routing
