#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/membership/RegistryMessage.h"

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace peridotspool::membership {

/** The state of one upstream, merged from all registries. */
struct KnownUpstream
{
  UpstreamReport mReport;
  /** No registry receives its heartbeats. It may still be running. */
  bool mSilent = false;
  /** When a registry first received a report of its incarnation. */
  TimePoint mSince;
};

/**
 * Merges the contents of several registries. The stage of an incarnation only
 * advances, and the report with the highest sequence number determines the
 * other fields, so the result does not depend on the order of the pushes. A
 * deregistration that specifies no incarnation ends the incarnation that was
 * known before it.
 *
 * A deterministic state machine: it uses no clock, thread or socket. Not
 * thread-safe.
 */
class UpstreamDirectory
{
public:
  /** Merges a push; returns the upstreams that changed. */
  std::vector<UpstreamName> ApplyPush(const Address& aFrom,
                                      const RegistryPush& aPush,
                                      TimePoint aNow);
  /** Returns the pull to send to a registry, with its last known version. */
  RegistryPull PullFor(const Address& aRegistry) const;
  /**
   * Removes upstreams that have been gone or silent for longer than the
   * retention period; returns their names.
   */
  std::vector<UpstreamName> Forget(TimePoint aNow);

  const KnownUpstream* Find(const UpstreamName& aName) const;
  const std::unordered_map<UpstreamName, KnownUpstream>& All() const
  {
    return mKnown;
  }

private:
  struct RegistryState
  {
    RegistryIncarnation mRegistryIncarnation;
    std::uint64_t mVersion = 0;
    /** RegistryPush::mSentAt of the last push. */
    std::int64_t mLastSentAt = 0;
    /**
     * The upstreams in the registry, and whether it receives their heartbeats.
     */
    std::unordered_map<UpstreamName, bool> mReceivesHeartbeats;
  };

  /** Returns false iff aReport is of an earlier incarnation. */
  bool UpdateIncarnation(const UpstreamReport& aReport);
  bool Merge(const RegistryRow& aRow, TimePoint aNow);
  void RecordDeregistration(const RegistryRow& aRow, TimePoint aNow);
  bool ApplyDeregistration(const UpstreamName& aName);
  bool UpdateSilence(const UpstreamName& aName, TimePoint aNow);

  std::map<Address, RegistryState> mRegistries;
  std::unordered_map<UpstreamName, KnownUpstream> mKnown;
  /** Time of the last deregistration that specified no incarnation. */
  std::unordered_map<UpstreamName, TimePoint> mDeregistrations;
  /** When an upstream became gone or silent. */
  std::unordered_map<UpstreamName, TimePoint> mInactiveSince;
};

} // namespace peridotspool::membership
