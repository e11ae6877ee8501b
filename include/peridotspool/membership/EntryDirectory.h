#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/membership/EpochMap.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <vector>

namespace peridotspool::membership {

/** Limits of the responses to `GET /v1/entries`. */
struct EntryDirectoryOptions
{
  /** Minimum time between a reclaim notice and the reclaim. */
  Duration mMinReclaimNotice = std::chrono::seconds(30);
  /** Maximum number of addresses in a response. */
  std::size_t mMaxEntries = 8;
  std::uint64_t mRandomSeed = 1;
};

/** Addresses for a caller, in order of preference. */
struct DirectoryResponse
{
  EpochNumber mEpoch;
  std::vector<Address> mAddresses;
  /** How long a caller may cache the response. */
  Duration mMaxAge{ 0 };

  auto operator<=>(const DirectoryResponse&) const = default;
};

/**
 * Distributes callers over the healthy active entries in proportion to their
 * weights. Entries of the requested region come first, and adjacent entries in
 * a response are in different failure domains where possible.
 *
 * Deterministic: the same calls with the same seed give the same responses. Not
 * thread-safe.
 */
class EntryDirectory
{
public:
  explicit EntryDirectory(EntryDirectoryOptions aOptions);

  void SetEpoch(const EpochMap& aMap);
  /**
   * Sets the entries that are currently unreachable. They are left out unless
   * all active entries are unreachable.
   */
  void SetSuspects(std::set<MemberId> aSuspects);
  /** Sets an entry's relative share of callers. The default is 1. */
  void SetEntryWeight(MemberId aMember, double aWeight);
  /**
   * Leaves out a member that is known to be leaving before an epoch marks it as
   * draining. An entry calls this for itself.
   */
  void MarkLeaving(MemberId aMember);

  /** Selects the entries for a caller that prefers aRegion. */
  DirectoryResponse MakeResponse(const Region& aRegion);

private:
  std::vector<const Member*> Candidates() const;
  double Key(MemberId aMember);

  EntryDirectoryOptions mOptions;
  EpochMap mMap;
  std::set<MemberId> mSuspects;
  std::set<MemberId> mLeaving;
  std::map<MemberId, double> mWeights;
  std::mt19937_64 mRandom;
};

} // namespace peridotspool::membership
