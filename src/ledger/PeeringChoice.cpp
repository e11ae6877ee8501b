#include "ledger/PeeringChoice.h"

#include <algorithm>

namespace peridotspool::ledger {

namespace {

/**
 * The conclusion from the reports of the members of one past replica set:
 * kCovered if no commit of the set can be missed, kWaiting if more reports may
 * decide, kGone if all members that could decide have left.
 */
enum class Finding
{
  kCovered,
  kWaiting,
  kGone,
};

bool
HasReported(const PeeringInput& aInput, MemberId aMember)
{
  return aInput.mReports.contains(aMember);
}

bool
AllReported(const PeeringInput& aInput, const auto& aMembers)
{
  return std::all_of(aMembers.begin(), aMembers.end(), [&](MemberId aMember) {
    return HasReported(aInput, aMember);
  });
}

/**
 * Returns kWaiting if one of the members may still report, and kGone otherwise.
 */
Finding
WaitFor(const PeeringInput& aInput, const std::vector<MemberId>& aMembers)
{
  const bool mayReport =
    std::any_of(aMembers.begin(), aMembers.end(), [&](MemberId aMember) {
      return aInput.mMembers.contains(aMember) && !HasReported(aInput, aMember);
    });
  return mayReport ? Finding::kWaiting : Finding::kGone;
}

/** Returns the reporting member with the newest copy, or an unset id. */
MemberId
Newest(const PeeringInput& aInput)
{
  MemberId newest;
  const ShardReport* best = nullptr;
  const auto consider = [&](MemberId aMember, const ShardReport& aReport) {
    if (!aReport.mActivated.IsSet()) {
      return;
    }
    const bool newer = best == nullptr ||
                       aReport.mActivated > best->mActivated ||
                       (aReport.mActivated == best->mActivated &&
                        aReport.mLast.mSequence > best->mLast.mSequence);
    if (newer) {
      newest = aMember;
      best = &aReport;
    }
  };
  // Considers the querying primary first: among equal copies, its own needs no
  // transfer.
  if (const auto own = aInput.mReports.find(aInput.mSet.front());
      own != aInput.mReports.end()) {
    consider(own->first, own->second);
  }
  for (const auto& [member, report] : aInput.mReports) {
    consider(member, report);
  }
  return newest;
}

/**
 * Checks whether a member that holds all commits of the newest activated
 * interval has reported.
 */
Finding
FindActivated(const PeeringInput& aInput, const ShardReport& aBest)
{
  const std::vector<MemberId>& set = aBest.mActivatedSet;
  if (aInput.mRule == CommitRule::kAllReplicas || set.size() <= 2) {
    return Finding::kCovered;
  }
  if (HasReported(aInput, set.front())) {
    return Finding::kCovered;
  }
  const std::vector<MemberId> others(set.begin() + 1, set.end());
  return AllReported(aInput, others) ? Finding::kCovered : WaitFor(aInput, set);
}

/**
 * Checks whether a member of a later set has reported, and thereby shown that
 * the set was never activated.
 */
Finding
FindLater(const PeeringInput& aInput, const PastSet& aLater)
{
  const bool witness =
    std::any_of(aLater.mMembers.begin(),
                aLater.mMembers.end(),
                [&](MemberId aMember) { return HasReported(aInput, aMember); });
  return witness ? Finding::kCovered : WaitFor(aInput, aLater.mMembers);
}

/** Returns all reported replica sets later than `aActivated`. */
std::vector<PastSet>
LaterSets(const PeeringInput& aInput, EpochNumber aActivated)
{
  std::vector<PastSet> sets;
  for (const auto& [member, report] : aInput.mReports) {
    for (const PastSet& later : report.mLater) {
      if (later.mEpoch > aActivated) {
        sets.push_back(later);
      }
    }
    if (report.mVanished && report.mVanished->mEpoch > aActivated) {
      sets.push_back(*report.mVanished);
    }
  }
  return sets;
}

/** Returns true iff every replica set later than the best copy is known. */
bool
PastIsKnown(const PeeringInput& aInput, EpochNumber aActivated)
{
  if (AllReported(aInput, aInput.mMembers)) {
    return true;
  }
  return std::any_of(
    aInput.mReports.begin(), aInput.mReports.end(), [&](const auto& aEntry) {
      const ShardReport& report = aEntry.second;
      return aActivated.IsSet() && report.mActivated == aActivated &&
             report.mLaterIsComplete;
    });
}

} // namespace

PeeringChoice
ChooseSource(const PeeringInput& aInput)
{
  PeeringChoice choice;
  if (!AllReported(aInput, aInput.mSet)) {
    return choice;
  }
  choice.mSource = Newest(aInput);
  const ShardReport best =
    choice.mSource.IsSet() ? aInput.mReports.at(choice.mSource) : ShardReport();
  if (!PastIsKnown(aInput, best.mActivated)) {
    return choice;
  }
  std::vector<Finding> findings{ FindActivated(aInput, best) };
  for (const PastSet& later : LaterSets(aInput, best.mActivated)) {
    findings.push_back(FindLater(aInput, later));
  }
  const auto has = [&](Finding aFinding) {
    return std::find(findings.begin(), findings.end(), aFinding) !=
           findings.end();
  };
  choice.mReady = !has(Finding::kWaiting);
  choice.mMayMissCommits = has(Finding::kGone);
  return choice;
}

} // namespace peridotspool::ledger
