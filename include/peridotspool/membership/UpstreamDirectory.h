#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/membership/RegistryMessage.h"

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace peridotspool::membership {

/** One upstream as all registries together know it. */
struct KnownUpstream
{
  UpstreamReport mReport;
  /** No registry hears it. It may work all the same. */
  bool mSilent = false;
  /** When the first registry heard of its incarnation. */
  TimePoint mSince;
};

/**
 * Puts several registries together. Stages only ever advance, and the highest
 * sequence says the rest, so the order in which registries are heard does not
 * matter. A goodbye that names no incarnation ends the one that was known
 * before it.
 *
 * A pure step without clock, thread or socket. Not thread-safe.
 */
class UpstreamDirectory
{
public:
  /** Takes a push; returns the upstreams that changed. */
  std::vector<UpstreamName> ApplyPush(const Address& aFrom,
                                      const RegistryPush& aPush,
                                      TimePoint aNow);
  /** What to tell a registry: what is known of it. */
  RegistryPull PullFor(const Address& aRegistry) const;
  /** Forgets upstreams that are gone, or silent for long. */
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
    /** Whom it speaks of, and whether it hears them. */
    std::unordered_map<UpstreamName, bool> mReceivesHeartbeats;
  };

  bool UpdateIncarnation(const UpstreamReport& aReport);
  bool Merge(const RegistryRow& aRow, TimePoint aNow);
  void RecordDeregistration(const RegistryRow& aRow, TimePoint aNow);
  bool ApplyDeregistration(const UpstreamName& aName);
  bool UpdateSilence(const UpstreamName& aName, TimePoint aNow);

  std::map<Address, RegistryState> mRegistries;
  std::unordered_map<UpstreamName, KnownUpstream> mKnown;
  /** When an upstream last said goodbye without naming its incarnation. */
  std::unordered_map<UpstreamName, TimePoint> mDeregistrations;
  /** Since when an upstream is gone or silent. */
  std::unordered_map<UpstreamName, TimePoint> mInactiveSince;
};

} // namespace peridotspool::membership
