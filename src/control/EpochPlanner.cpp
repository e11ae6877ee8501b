#include "control/EpochPlanner.h"

#include <algorithm>
#include <utility>

namespace peridotspool::control {

using membership::Member;
using membership::MemberState;

namespace {

/** The maximum age of another replica's report. */
constexpr Duration kMaxReportAge = std::chrono::seconds(1);
/** A process heard from within this time counts as alive. */
constexpr Duration kRecentlyHeardTimeout = std::chrono::milliseconds(650);
/** A name that has been a member for this long starts without backoff again. */
constexpr Duration kRejoinBackoffReset = std::chrono::minutes(2);

} // namespace

EpochPlanner::EpochPlanner(const ControlOptions& aOptions,
                           ReplicaId aSelf,
                           TimePoint aLeaderSince)
  : mOptions(aOptions)
  , mSelf(aSelf)
  , mLeaderSince(aLeaderSince)
  , mNow(aLeaderSince)
  , mSuspects(aOptions.mMemberTimeout)
{
}

void
EpochPlanner::HandleSilenceReport(ReplicaId aFrom,
                                  const SilenceReport& aReport,
                                  TimePoint aNow)
{
  Report& report = mReports[aFrom];
  report.mReceivedAt = aNow;
  report.mSilent.clear();
  for (const SilentMember& silent : aReport.mSilent) {
    report.mSilent[silent.mMember] = silent.mSilentFor;
  }
}

void
EpochPlanner::HandleDrain(MemberId aMember)
{
  mDrains.insert(aMember);
}

void
EpochPlanner::TakeEpoch(const membership::EpochChange& aChange,
                        const membership::EpochMap& aBefore,
                        TimePoint aNow)
{
  mLastEpochAt = aNow;
  for (const MemberId removed : aChange.mRemoved) {
    mWithheld.erase(removed);
    mDrains.erase(removed);
    const auto member = std::find_if(
      aBefore.mMembers.begin(),
      aBefore.mMembers.end(),
      [&](const Member& aMember) { return aMember.mId == removed; });
    if (member == aBefore.mMembers.end()) {
      continue;
    }
    // A flapping process would create two epochs for each flap, and every epoch
    // moves shards. Its backoff grows each time.
    Rejoin& rejoin = mRejoins[member->mName];
    const bool quiet = aNow > rejoin.mNotBefore + kRejoinBackoffReset;
    rejoin.mBackoff =
      quiet || rejoin.mBackoff == Duration(0)
        ? mOptions.mRejoinBackoff
        : std::min(rejoin.mBackoff * 2, mOptions.mMaxRejoinBackoff);
    rejoin.mNotBefore = aNow + rejoin.mBackoff;
  }
}

bool
EpochPlanner::IsWithheld(MemberId aMember) const
{
  return mWithheld.contains(aMember);
}

std::vector<MemberId>
EpochPlanner::ExtractNewlySilent()
{
  return std::exchange(mNewlySilent, {});
}

std::optional<MembershipCommand>
EpochPlanner::Plan(EntrySessions& aSessions,
                   const MembershipState& aState,
                   const ReplicaSet& aReplicas,
                   TimePoint aNow)
{
  mNow = aNow;
  MembershipCommand command;
  mSuspects.Update(aSessions, aState.mCurrent, aNow);
  AddRemovals(aSessions, aState, aReplicas, command);
  AddDrains(aSessions, aState, command);
  AddJoins(aSessions, aState, command);
  if (!IsDue(command)) {
    return std::nullopt;
  }
  mFirstWantedAt.reset();
  return command;
}

// One faulty link between a member and one control replica must remove no
// member, so a majority of the voters must each have received nothing from it.
bool
EpochPlanner::IsSilent(MemberId aMember,
                       const MemberView& aView,
                       const ReplicaSet& aReplicas) const
{
  std::size_t missing =
    aReplicas.IsVoter(mSelf) && mNow - aView.mHeardAt >= mOptions.mMemberTimeout
      ? 1
      : 0;
  for (const auto& [replica, report] : mReports) {
    if (!aReplicas.IsVoter(replica) ||
        mNow - report.mReceivedAt > kMaxReportAge) {
      continue;
    }
    const auto silent = report.mSilent.find(aMember);
    if (silent != report.mSilent.end() &&
        silent->second >= mOptions.mMemberTimeout) {
      ++missing;
    }
  }
  return missing >= aReplicas.Majority();
}

void
EpochPlanner::AddRemovals(const EntrySessions& aSessions,
                          const MembershipState& aState,
                          const ReplicaSet& aReplicas,
                          MembershipCommand& aCommand)
{
  for (const Member& member : aState.mCurrent.mMembers) {
    const MemberView* view = aSessions.Member(member.mId);
    if (view == nullptr) {
      continue;
    }
    const EntrySession* session = aSessions.SessionOf(member.mId);
    if (session != nullptr && session->mDone) {
      aCommand.mRemovals.push_back(member.mId);
      continue;
    }
    if (!IsSilent(member.mId, *view, aReplicas) &&
        mSuspects.Worst() != member.mId) {
      mWithheld.erase(member.mId);
      continue;
    }
    // The member may still hold a lease granted by this leader or the previous
    // one. It gets no further lease and is removed once the last has certainly
    // expired.
    if (mWithheld.insert(member.mId).second) {
      mNewlySilent.push_back(member.mId);
    }
    const TimePoint granted =
      std::max(mLeaderSince, view->mGrantedAt.value_or(mLeaderSince));
    if (mNow - granted >= mOptions.mMemberTimeout) {
      aCommand.mRemovals.push_back(member.mId);
    }
  }
}

void
EpochPlanner::AddDrains(const EntrySessions& aSessions,
                        const MembershipState& aState,
                        MembershipCommand& aCommand)
{
  for (const Member& member : aState.mCurrent.mMembers) {
    const EntrySession* session = aSessions.SessionOf(member.mId);
    const bool leaving = session != nullptr && session->mLeaving;
    if (member.mState == MemberState::kActive &&
        (leaving || mDrains.contains(member.mId))) {
      aCommand.mDrains.push_back(member.mId);
    }
  }
}

void
EpochPlanner::AddJoins(EntrySessions& aSessions,
                       const MembershipState& aState,
                       MembershipCommand& aCommand)
{
  std::set<EntryName> names;
  for (const auto& [nonce, session] : aSessions.All()) {
    const bool known = aState.mNonces.contains(nonce) ||
                       std::find(aState.mRemovedNonces.begin(),
                                 aState.mRemovedNonces.end(),
                                 nonce) != aState.mRemovedNonces.end();
    if (!known && MayJoin(session, aSessions, aState) &&
        names.insert(session.mProfile->mName).second) {
      aCommand.mJoins.push_back(
        { .mNonce = nonce, .mProfile = *session.mProfile });
    }
  }
  // The table is unordered; ids must be assigned in a stable order.
  std::sort(aCommand.mJoins.begin(),
            aCommand.mJoins.end(),
            [](const MemberJoin& aLeft, const MemberJoin& aRight) {
              return aLeft.mProfile.mName < aRight.mProfile.mName;
            });
}

bool
EpochPlanner::MayJoin(const EntrySession& aSession,
                      const EntrySessions& aSessions,
                      const MembershipState& aState) const
{
  if (!aSession.mProfile || aSession.mLeaving ||
      mNow - aSession.mHeardAt > kRecentlyHeardTimeout) {
    return false;
  }
  const EntryName& name = aSession.mProfile->mName;
  const auto rejoin = mRejoins.find(name);
  if (rejoin != mRejoins.end() && mNow < rejoin->second.mNotBefore) {
    return false;
  }
  const auto& members = aState.mCurrent.mMembers;
  return std::none_of(
    members.begin(), members.end(), [&](const Member& aMember) {
      const MemberView* view = aSessions.Member(aMember.mId);
      return aMember.mName == name && view != nullptr &&
             mNow - view->mHeardAt <= kRecentlyHeardTimeout;
    });
}

bool
EpochPlanner::IsDue(const MembershipCommand& aCommand)
{
  const bool leaving = !aCommand.mDrains.empty();
  if (aCommand.mJoins.empty() && aCommand.mRemovals.empty() && !leaving) {
    mFirstWantedAt.reset();
    return false;
  }
  mFirstWantedAt = mFirstWantedAt.value_or(mNow);
  const bool gathered = mNow - *mFirstWantedAt >= mOptions.mEpochDelay;
  const bool spaced =
    !mLastEpochAt || mNow - *mLastEpochAt >= mOptions.mEpochSpacing;
  return leaving || (gathered && spaced);
}

} // namespace peridotspool::control
