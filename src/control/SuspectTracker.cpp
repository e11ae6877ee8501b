#include "control/SuspectTracker.h"

namespace peridotspool::control {

namespace {

/** The maximum age of a report. */
constexpr Duration kMaxReportAge = std::chrono::milliseconds(650);
constexpr std::size_t kMinReporters = 2;
constexpr std::size_t kMinDomains = 2;

} // namespace

SuspectTracker::SuspectTracker(Duration aTimeout)
  : mTimeout(aTimeout)
{
}

// An entry that its peers can't reach stalls the shards that it holds, while
// its heartbeats to the control replicas look healthy. Only its peers detect
// it. When a partition splits the entries into two halves, each entry reports
// all entries on the other side. Removing only the one with the most reporters
// leaves its half with fewer, so that one half is removed member by member and
// the other stays complete.
void
SuspectTracker::Update(const EntrySessions& aSessions,
                       const membership::EpochMap& aMembers,
                       TimePoint aNow)
{
  std::map<MemberId, Suspect> suspects;
  for (const membership::Member& member : aMembers.mMembers) {
    const EntrySession* session = aSessions.SessionOf(member.mId);
    if (session == nullptr || aNow - session->mHeardAt > kMaxReportAge) {
      continue;
    }
    for (const MemberId suspected : session->mSuspected) {
      ++suspects[suspected].mReporters;
      suspects[suspected].mDomains.insert(member.mDomain);
    }
  }
  std::erase_if(suspects, [&](const auto& aPair) {
    return aPair.second.mReporters < kMinReporters ||
           aPair.second.mDomains.size() < kMinDomains ||
           aSessions.Member(aPair.first) == nullptr;
  });
  std::erase_if(
    mSince, [&](const auto& aPair) { return !suspects.contains(aPair.first); });
  mWorst.reset();
  std::size_t most = 0;
  for (const auto& [member, suspect] : suspects) {
    const TimePoint since = mSince.try_emplace(member, aNow).first->second;
    if (aNow - since >= mTimeout && suspect.mReporters > most) {
      most = suspect.mReporters;
      mWorst = member;
    }
  }
}

} // namespace peridotspool::control
