// Member lists in the replicated state.

#include "peridotspool/control/StateMachine.h"

#include <algorithm>

namespace peridotspool::control {

using membership::EpochChange;
using membership::Member;
using membership::MemberState;

namespace {

bool
Among(const std::vector<MemberId>& aIds, MemberId aId)
{
  return std::find(aIds.begin(), aIds.end(), aId) != aIds.end();
}

const Member*
FindMember(const membership::EpochMap& aMap, MemberId aId)
{
  const auto found =
    std::find_if(aMap.mMembers.begin(),
                 aMap.mMembers.end(),
                 [&](const Member& aMember) { return aMember.mId == aId; });
  return found == aMap.mMembers.end() ? nullptr : &*found;
}

void
AddRemovals(const MembershipState& aState,
            const MembershipCommand& aCommand,
            EpochChange& aChange)
{
  for (const MemberId member : aCommand.mRemovals) {
    if (FindMember(aState.mCurrent, member) != nullptr &&
        !Among(aChange.mRemoved, member)) {
      aChange.mRemoved.push_back(member);
    }
  }
}

void
AddDrains(const MembershipState& aState,
          const MembershipCommand& aCommand,
          EpochChange& aChange)
{
  for (const MemberId id : aCommand.mDrains) {
    const Member* member = FindMember(aState.mCurrent, id);
    if (member != nullptr && member->mState == MemberState::kActive &&
        !Among(aChange.mRemoved, id) && !Among(aChange.mDraining, id)) {
      aChange.mDraining.push_back(id);
    }
  }
}

/** A process that joins replaces an earlier incarnation of the same entry. */
void
RemoveEarlierLife(const MembershipState& aState,
                  const EntryName& aName,
                  EpochChange& aChange)
{
  for (const Member& member : aState.mCurrent.mMembers) {
    if (member.mName == aName && !Among(aChange.mRemoved, member.mId)) {
      aChange.mRemoved.push_back(member.mId);
    }
  }
}

void
AddJoins(MembershipState& aState,
         const MembershipCommand& aCommand,
         EpochChange& aChange)
{
  for (const MemberJoin& join : aCommand.mJoins) {
    const auto& removed = aState.mRemovedNonces;
    // Without the list of removed processes, a join delayed by a slow network
    // would make an ended process a member.
    const bool gone =
      std::find(removed.begin(), removed.end(), join.mNonce) != removed.end();
    if (gone || aState.mNonces.contains(join.mNonce)) {
      continue;
    }
    RemoveEarlierLife(aState, join.mProfile.mName, aChange);
    aState.mLastMember = aState.mLastMember.Next();
    aState.mNonces[join.mNonce] = aState.mLastMember;
    aChange.mAdded.push_back(
      Member{ .mId = aState.mLastMember,
              .mName = join.mProfile.mName,
              .mRegion = join.mProfile.mRegion,
              .mDomain = join.mProfile.mDomain,
              .mPeerAddress = join.mProfile.mPeerAddress,
              .mCallerAddress = join.mProfile.mCallerAddress,
              .mState = MemberState::kActive });
  }
}

void
ForgetNonces(MembershipState& aState,
             const EpochChange& aChange,
             std::size_t aMaxRemoved)
{
  for (auto nonce = aState.mNonces.begin(); nonce != aState.mNonces.end();) {
    if (Among(aChange.mRemoved, nonce->second)) {
      aState.mRemovedNonces.push_back(nonce->first);
      nonce = aState.mNonces.erase(nonce);
    } else {
      ++nonce;
    }
  }
  if (aState.mRemovedNonces.size() > aMaxRemoved) {
    aState.mRemovedNonces.erase(aState.mRemovedNonces.begin(),
                                aState.mRemovedNonces.end() -
                                  static_cast<std::ptrdiff_t>(aMaxRemoved));
  }
}

} // namespace

ApplyResult
StateMachine::ApplyCommand(const MembershipCommand& aCommand)
{
  MembershipState& state = mState.mMembership;
  EpochChange change;
  AddRemovals(state, aCommand, change);
  AddJoins(state, aCommand, change);
  AddDrains(state, aCommand, change);
  if (change.mAdded.empty() && change.mDraining.empty() &&
      change.mRemoved.empty()) {
    return EpochApplied{};
  }
  change.mEpoch = state.mCurrent.mEpoch.Next();
  ForgetNonces(state, change, mOptions.mMaxRemovedNonces);
  membership::ApplyChange(state.mCurrent, change);
  state.mChanges.push_back(std::move(change));
  TrimEpochs();
  return EpochApplied{ state.mCurrent.mEpoch };
}

void
StateMachine::TrimEpochs()
{
  std::vector<EpochChange>& changes = mState.mMembership.mChanges;
  while (changes.size() > mOptions.mMaxEpochs) {
    membership::ApplyChange(mState.mMembership.mOldest, changes.front());
    changes.erase(changes.begin());
  }
}

} // namespace peridotspool::control
