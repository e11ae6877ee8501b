#pragma once

#include "peridotspool/base/Address.h"
#include "peridotspool/base/Ids.h"
#include "peridotspool/streams/StreamOrigin.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace peridotspool::streams {

/** An entry that can hold records. */
struct Replica
{
  /** Differs for each incarnation, which begins without records. */
  MemberId mMember;
  Address mAddress;
  Region mRegion;
  FailureDomain mDomain;

  auto operator<=>(const Replica&) const = default;
};

/**
 * Selects the entries that hold the record of a stream, by rendezvous hashing
 * over the members of an epoch: first over the failure domains of a region,
 * then over the entries of each domain. Entries that know the same epoch agree
 * without exchanging messages, and a change of members moves few records.
 *
 * Deterministic. Not thread-safe.
 */
class ReplicaSelector
{
public:
  void SetMembers(const std::vector<Replica>& aMembers);
  bool HasMembers() const { return !mRegions.empty(); }
  std::vector<Region> Regions() const;

  /** Returns the entries of a region that hold a record: as many as there are
   * copies, in as many failure domains as there are. */
  std::vector<Replica> Holders(const StreamKey& aKey,
                               const Region& aRegion) const;
  /** Returns the entries of a region that may hold a record that was written
   * under a somewhat different list of members. */
  std::vector<Replica> PossibleHolders(const StreamKey& aKey,
                                       const Region& aRegion) const;

private:
  struct WeightedReplica
  {
    std::uint64_t mSeed = 0;
    Replica mReplica;
  };
  using Domains = std::map<FailureDomain, std::vector<WeightedReplica>>;

  std::vector<Replica> Select(const StreamKey& aKey,
                              const Region& aRegion,
                              std::size_t aMaxDomains,
                              std::size_t aCount) const;

  std::map<Region, Domains> mRegions;
};

} // namespace peridotspool::streams
