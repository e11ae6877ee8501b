#include "control/SuspectTracker.h"

namespace peridotspool::control {

namespace {

/** Only what was reported within this time counts. */
constexpr Duration kMaxReportAge = std::chrono::milliseconds(650);
constexpr std::size_t kMinReporters = 2;
constexpr std::size_t kMinDomains = 2;

} // namespace

SuspectTracker::SuspectTracker(Duration aTimeout)
  : mTimeout(aTimeout)
{
}

// An entry that its peers can't reach stalls the shards that it holds, while
// its heartbeats to the control replicas look healthy. Its peers notice. In a
// cut between two halves everybody reports everybody on the other side; taking
// out only the one with most reporters leaves the other half with fewer, so
// that one half goes member by member and the other one stays whole.
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
