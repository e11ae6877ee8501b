#include "ledger/PeeringChoice.h"

#include <algorithm>

namespace peridotspool::ledger {

namespace {

/** What the heard members of one past set let us conclude. */
enum class Finding
{
  kCovered,
  kWaiting,
  kGone,
};

bool
Heard(const PeeringFacts& aFacts, MemberId aMember)
{
  return aFacts.mReports.contains(aMember);
}

bool
AllHeard(const PeeringFacts& aFacts, const auto& aMembers)
{
  return std::all_of(aMembers.begin(), aMembers.end(), [&](MemberId aMember) {
    return Heard(aFacts, aMember);
  });
}

/** Returns kWaiting if one of them may yet report, else kGone. */
Finding
WaitFor(const PeeringFacts& aFacts, const std::vector<MemberId>& aMembers)
{
  const bool mayReport =
    std::any_of(aMembers.begin(), aMembers.end(), [&](MemberId aMember) {
      return aFacts.mMembers.contains(aMember) && !Heard(aFacts, aMember);
    });
  return mayReport ? Finding::kWaiting : Finding::kGone;
}

/** Returns the reporter with the newest copy, or an unset id. */
MemberId
Newest(const PeeringFacts& aFacts)
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
  // The asker first: of equal copies its own needs no transfer.
  if (const auto own = aFacts.mReports.find(aFacts.mSet.front());
      own != aFacts.mReports.end()) {
    consider(own->first, own->second);
  }
  for (const auto& [member, report] : aFacts.mReports) {
    consider(member, report);
  }
  return newest;
}

/** Has somebody with all commits of the newest activated interval reported? */
Finding
FindActivated(const PeeringFacts& aFacts, const ShardReport& aBest)
{
  const std::vector<MemberId>& set = aBest.mActivatedSet;
  if (aFacts.mRule == CommitRule::kAllReplicas || set.size() <= 2) {
    return Finding::kCovered;
  }
  if (Heard(aFacts, set.front())) {
    return Finding::kCovered;
  }
  const std::vector<MemberId> others(set.begin() + 1, set.end());
  return AllHeard(aFacts, others) ? Finding::kCovered : WaitFor(aFacts, set);
}

/** Has a member of a later set said that it never went active? */
Finding
FindLater(const PeeringFacts& aFacts, const PastSet& aLater)
{
  const bool witness =
    std::any_of(aLater.mMembers.begin(),
                aLater.mMembers.end(),
                [&](MemberId aMember) { return Heard(aFacts, aMember); });
  return witness ? Finding::kCovered : WaitFor(aFacts, aLater.mMembers);
}

/** Returns the sets in charge after `aActivated` that anybody knows of. */
std::vector<PastSet>
LaterSets(const PeeringFacts& aFacts, EpochNumber aActivated)
{
  std::vector<PastSet> sets;
  for (const auto& [member, report] : aFacts.mReports) {
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

/** Returns true iff no set in charge after the best copy can be unknown. */
bool
PastIsKnown(const PeeringFacts& aFacts, EpochNumber aActivated)
{
  if (AllHeard(aFacts, aFacts.mMembers)) {
    return true;
  }
  return std::any_of(
    aFacts.mReports.begin(), aFacts.mReports.end(), [&](const auto& aEntry) {
      const ShardReport& report = aEntry.second;
      return aActivated.IsSet() && report.mActivated == aActivated &&
             report.mLaterIsWhole;
    });
}

} // namespace

PeeringChoice
ChooseSource(const PeeringFacts& aFacts)
{
  PeeringChoice choice;
  if (!AllHeard(aFacts, aFacts.mSet)) {
    return choice;
  }
  choice.mSource = Newest(aFacts);
  const ShardReport best =
    choice.mSource.IsSet() ? aFacts.mReports.at(choice.mSource) : ShardReport();
  if (!PastIsKnown(aFacts, best.mActivated)) {
    return choice;
  }
  std::vector<Finding> findings{ FindActivated(aFacts, best) };
  for (const PastSet& later : LaterSets(aFacts, best.mActivated)) {
    findings.push_back(FindLater(aFacts, later));
  }
  const auto has = [&](Finding aFinding) {
    return std::find(findings.begin(), findings.end(), aFinding) !=
           findings.end();
  };
  choice.mReady = !has(Finding::kWaiting);
  choice.mMayLack = has(Finding::kGone);
  return choice;
}

} // namespace peridotspool::ledger
