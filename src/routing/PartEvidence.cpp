#include "peridotspool/routing/PartEvidence.h"

#include <algorithm>
#include <utility>

namespace peridotspool::routing {

namespace {

/** Ages in reports don't include the time that the message took, so that a run
 * may seem to have been sent later than it was. */
constexpr Duration kSequenceMargin = std::chrono::milliseconds(250);
/** A part with this many crashes is refused, or nearly so. */
constexpr std::size_t kMaxCrashes = 32;

} // namespace

PartEvidence::PartEvidence(std::vector<PartCrash> aCrashes,
                           std::uint32_t aCounted,
                           TimePoint aUntil)
  : mCrashes(std::move(aCrashes))
  , mCommittedCount(aCounted)
{
  for (PartCrash& crash : mCrashes) {
    crash.mSentAt = aUntil;
    crash.mLostAt = aUntil;
    crash.mIsCommitted = true;
    crash.mHasTimes = false;
  }
}

bool
PartEvidence::Add(const PartCrash& aCrash)
{
  PartCrash added = aCrash;
  const auto known =
    std::find_if(mCrashes.begin(), mCrashes.end(), [&](const PartCrash& aOne) {
      return aOne.mUpstream == aCrash.mUpstream;
    });
  if (known != mCrashes.end()) {
    if (known->mHasTimes) {
      return false;
    }
    added.mIsCommitted = true;
    mCrashes.erase(known);
  } else if (mCrashes.size() >= kMaxCrashes) {
    return false;
  }
  const auto place =
    std::find_if(mCrashes.begin(), mCrashes.end(), [&](const PartCrash& aOne) {
      return aOne.mLostAt > added.mLostAt;
    });
  mCrashes.insert(place, added);
  return true;
}

void
PartEvidence::DropBefore(TimePoint aAnsweredAt)
{
  std::erase_if(mCrashes, [&](const PartCrash& aOne) {
    return aOne.mLostAt <= aAnsweredAt;
  });
}

std::uint32_t
PartEvidence::CountConsecutive(
  const std::set<UpstreamIncarnation>& aWithout) const
{
  std::uint32_t committed = 0;
  TimePoint until;
  for (const PartCrash& crash : mCrashes) {
    if (crash.mIsCommitted && !aWithout.contains(crash.mUpstream)) {
      ++committed;
      until = crash.mLostAt;
    }
  }
  std::uint32_t counted = std::min(committed, mCommittedCount);
  for (const PartCrash& crash : mCrashes) {
    const Duration margin = crash.mHadPermit ? Duration(0) : kSequenceMargin;
    if (!crash.mIsCommitted && !aWithout.contains(crash.mUpstream) &&
        (counted == 0 || crash.mSentAt >= until + margin)) {
      ++counted;
      until = crash.mLostAt;
    }
  }
  return counted;
}

std::set<UpstreamIncarnation>
PartEvidence::Incarnations() const
{
  std::set<UpstreamIncarnation> incarnations;
  for (const PartCrash& crash : mCrashes) {
    incarnations.insert(crash.mUpstream);
  }
  return incarnations;
}

std::vector<CustomerName>
PartEvidence::Customers() const
{
  constexpr std::size_t kMaxCustomers = 2;
  std::vector<CustomerName> customers;
  for (const PartCrash& crash : mCrashes) {
    const bool isNew =
      std::find(customers.begin(), customers.end(), crash.mCustomer) ==
      customers.end();
    if (isNew && customers.size() < kMaxCustomers) {
      customers.push_back(crash.mCustomer);
    }
  }
  return customers;
}

} // namespace peridotspool::routing
