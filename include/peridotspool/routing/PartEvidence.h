#pragma once

#include "peridotspool/base/Ids.h"
#include "peridotspool/base/Time.h"
#include "peridotspool/routing/UpstreamIncarnation.h"

#include <compare>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace peridotspool::routing {

/** A crash of an upstream that was running a prompt with the part. */
struct PartCrash
{
  UpstreamIncarnation mUpstream;
  /** Whose request it was; empty where no key is needed. */
  CustomerName mCustomer;
  /** Address of the entry that reported the crash. */
  std::string mSeenBy;
  TimePoint mSentAt;
  TimePoint mLostAt;
  /** It was the only run of the part at that time. */
  bool mHadPermit = false;
  /** Committed by an earlier leader. */
  bool mIsCommitted = false;
  /** False until an entry has reported a committed crash again. */
  bool mHasTimes = true;

  auto operator<=>(const PartCrash&) const = default;
};

/** The crashes since the last complete answer to a prompt with the part. */
class PartEvidence
{
public:
  PartEvidence() = default;
  /**
   * Evidence that an earlier leader has committed, whose times are unknown.
   * aCounted of the crashes were consecutive.
   */
  PartEvidence(std::vector<PartCrash> aCrashes,
               std::uint32_t aCounted,
               TimePoint aUntil);

  /** Each incarnation counts once. Returns true iff the evidence changes. */
  bool Add(const PartCrash& aCrash);
  /** Drops the crashes that a complete answer came after. */
  void DropBefore(TimePoint aAnsweredAt);
  const std::vector<PartCrash>& Crashes() const { return mCrashes; }
  bool IsEmpty() const { return mCrashes.empty(); }
  /**
   * Counts the consecutive crashes, without those of some incarnations: each
   * run was sent after the previous counted crash. Runs that go on side by side
   * may be lost to a single cause.
   */
  std::uint32_t CountConsecutive(
    const std::set<UpstreamIncarnation>& aWithout) const;
  std::set<UpstreamIncarnation> Incarnations() const;
  /** At most two: more are treated like two. */
  std::vector<CustomerName> Customers() const;

  bool operator==(const PartEvidence&) const = default;

private:
  /** Ordered by the time of the loss. */
  std::vector<PartCrash> mCrashes;
  /** Of the committed crashes, so many were consecutive. */
  std::uint32_t mCommittedCount = 0;
};

} // namespace peridotspool::routing
