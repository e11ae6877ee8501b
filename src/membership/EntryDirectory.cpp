#include "peridotspool/membership/EntryDirectory.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace peridotspool::membership {

namespace {

/**
 * The lifetime of a response is the reclaim notice divided by this. A cached
 * response must expire well before a reclaimed entry stops.
 */
constexpr std::int64_t kResponsesPerNotice = 3;

/** A candidate with its sort key; lower keys are preferred. */
struct Ranked
{
  const Member* mMember = nullptr;
  bool mOtherRegion = false;
  double mKey = 0.0;
};

/**
 * Reorders entries within a region so that adjacent ones are in different
 * failure domains where possible.
 */
std::vector<const Member*>
SpreadDomains(std::vector<const Member*> aOrdered)
{
  for (std::size_t at = 1; at < aOrdered.size(); ++at) {
    const auto here = aOrdered.begin() + static_cast<std::ptrdiff_t>(at);
    const auto other =
      std::find_if(here, aOrdered.end(), [&](const Member* aMember) {
        return aMember->mDomain != aOrdered[at - 1]->mDomain &&
               aMember->mRegion == (*here)->mRegion;
      });
    if (other != aOrdered.end()) {
      std::rotate(here, other, other + 1);
    }
  }
  return aOrdered;
}

} // namespace

EntryDirectory::EntryDirectory(EntryDirectoryOptions aOptions)
  : mOptions(aOptions)
  , mRandom(aOptions.mRandomSeed)
{
}

void
EntryDirectory::SetEpoch(const EpochMap& aMap)
{
  if (aMap.mEpoch <= mMap.mEpoch) {
    return;
  }
  mMap = aMap;
  const auto gone = [&](MemberId aMember) {
    return std::none_of(
      mMap.mMembers.begin(), mMap.mMembers.end(), [&](const Member& aOne) {
        return aOne.mId == aMember;
      });
  };
  std::erase_if(mWeights, [&](const auto& aPair) { return gone(aPair.first); });
  std::erase_if(mLeaving, gone);
}

void
EntryDirectory::SetSuspects(std::set<MemberId> aSuspects)
{
  mSuspects = std::move(aSuspects);
}

void
EntryDirectory::SetEntryWeight(MemberId aMember, double aWeight)
{
  mWeights[aMember] = aWeight;
}

void
EntryDirectory::MarkLeaving(MemberId aMember)
{
  mLeaving.insert(aMember);
}

std::vector<const Member*>
EntryDirectory::Candidates() const
{
  std::vector<const Member*> active;
  std::vector<const Member*> healthy;
  for (const Member& member : mMap.mMembers) {
    if (member.mState != MemberState::kActive ||
        mLeaving.contains(member.mId)) {
      continue;
    }
    active.push_back(&member);
    if (!mSuspects.contains(member.mId)) {
      healthy.push_back(&member);
    }
  }
  // If all entries are suspected, this entry itself is most likely partitioned.
  // An empty response would leave its callers without any entry.
  return healthy.empty() ? active : healthy;
}

// Weighted sampling without replacement: with exponentially distributed keys,
// the probability that an entry comes first is proportional to its weight.
double
EntryDirectory::Key(MemberId aMember)
{
  const auto found = mWeights.find(aMember);
  const double weight =
    std::max(found == mWeights.end() ? 1.0 : found->second, 1e-6);
  const double uniform =
    (static_cast<double>(mRandom() >> 11) + 1.0) / 9007199254740993.0;
  return -std::log(uniform) / weight;
}

DirectoryResponse
EntryDirectory::MakeResponse(const Region& aRegion)
{
  std::vector<Ranked> ranked;
  for (const Member* member : Candidates()) {
    ranked.push_back({ .mMember = member,
                       .mOtherRegion = member->mRegion != aRegion,
                       .mKey = Key(member->mId) });
  }
  const std::size_t count = std::min(ranked.size(), mOptions.mMaxEntries);
  std::partial_sort(ranked.begin(),
                    ranked.begin() + static_cast<std::ptrdiff_t>(count),
                    ranked.end(),
                    [](const Ranked& aLeft, const Ranked& aRight) {
                      return std::tie(aLeft.mOtherRegion, aLeft.mKey) <
                             std::tie(aRight.mOtherRegion, aRight.mKey);
                    });
  std::vector<const Member*> chosen;
  for (std::size_t at = 0; at < count; ++at) {
    chosen.push_back(ranked[at].mMember);
  }
  DirectoryResponse response{ .mEpoch = mMap.mEpoch,
                              .mAddresses = {},
                              .mMaxAge = mOptions.mMinReclaimNotice /
                                         kResponsesPerNotice };
  for (const Member* member : SpreadDomains(std::move(chosen))) {
    response.mAddresses.push_back(member->mCallerAddress);
  }
  return response;
}

} // namespace peridotspool::membership
