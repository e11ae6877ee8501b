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

/** Bounds of the answers to `GET /v1/entries`. */
struct EntryDirectoryOptions
{
  /** The shortest notice that a reclaim gives. */
  Duration mMinReclaimNotice = std::chrono::seconds(30);
  /** How many addresses an answer has, at most. */
  std::size_t mMaxEntries = 8;
  std::uint64_t mRandomSeed = 1;
};

/** Which addresses a caller is to use, the first one first. */
struct DirectoryResponse
{
  EpochNumber mEpoch;
  std::vector<Address> mAddresses;
  /** How long a caller may keep the response. */
  Duration mMaxAge{ 0 };

  auto operator<=>(const DirectoryResponse&) const = default;
};

/**
 * Spreads callers over the healthy active entries by weight. Entries of the
 * asked region come before others, and neighbours in an answer stand in
 * different failure domains where that is possible.
 *
 * Pure: the same calls give the same answers. Not thread-safe.
 */
class EntryDirectory
{
public:
  explicit EntryDirectory(EntryDirectoryOptions aOptions);

  void SetEpoch(const EpochMap& aMap);
  /** Entries that can't be reached now: left out while others remain. */
  void SetSuspects(std::set<MemberId> aSuspects);
  /** An entry's share of callers against others'; 1 unless told. */
  void SetEntryWeight(MemberId aMember, double aWeight);
  /** This entry itself is leaving: left out before an epoch says so. */
  void MarkLeaving(MemberId aMember);

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
