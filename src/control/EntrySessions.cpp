#include "control/EntrySessions.h"

#include <algorithm>

namespace peridotspool::control {

namespace {

constexpr Duration kForgetAfter = std::chrono::seconds(60);

} // namespace

EntrySessions::EntrySessions(std::size_t aMaxSessions)
  : mMaxSessions(aMaxSessions)
{
}

EntrySession*
EntrySessions::RecordHeartbeat(membership::EntryNonce aNonce,
                               const membership::EntryHeartbeat& aHeartbeat,
                               TimePoint aNow)
{
  EntrySession* session = Find(aNonce);
  if (session == nullptr) {
    if (mSessions.size() >= mMaxSessions) {
      return nullptr;
    }
    session = &mSessions[aNonce];
  }
  if (aHeartbeat.mProfile) {
    session->mProfile = aHeartbeat.mProfile;
  }
  session->mHeardAt = aNow;
  // Heartbeats may be duplicated or reordered; the reported values only
  // increase.
  session->mInForce = std::max(session->mInForce, aHeartbeat.mInForce);
  session->mEpoch = std::max(session->mEpoch, aHeartbeat.mEpoch);
  session->mLeaving = session->mLeaving || aHeartbeat.mLeaving;
  session->mDone = session->mDone || aHeartbeat.mDone;
  session->mSuspected = aHeartbeat.mSuspected;
  const auto member = mMemberOf.find(aNonce);
  if (member != mMemberOf.end()) {
    mMembers[member->second].mHeardAt = aNow;
  }
  return session;
}

EntrySession*
EntrySessions::Find(membership::EntryNonce aNonce)
{
  const auto found = mSessions.find(aNonce);
  return found == mSessions.end() ? nullptr : &found->second;
}

const EntrySession*
EntrySessions::Find(membership::EntryNonce aNonce) const
{
  const auto found = mSessions.find(aNonce);
  return found == mSessions.end() ? nullptr : &found->second;
}

void
EntrySessions::UpdateMembers(
  const std::map<membership::EntryNonce, MemberId>& aNonces,
  TimePoint aNow)
{
  std::map<MemberId, MemberView> members;
  mMemberOf.clear();
  for (const auto& [nonce, member] : aNonces) {
    mMemberOf[nonce] = member;
    const auto known = mMembers.find(member);
    members[member] =
      known != mMembers.end()
        ? known->second
        : MemberView{ .mNonce = nonce, .mHeardAt = aNow, .mGrantedAt = {} };
  }
  mMembers = std::move(members);
}

MemberView*
EntrySessions::Member(MemberId aMember)
{
  const auto found = mMembers.find(aMember);
  return found == mMembers.end() ? nullptr : &found->second;
}

const MemberView*
EntrySessions::Member(MemberId aMember) const
{
  const auto found = mMembers.find(aMember);
  return found == mMembers.end() ? nullptr : &found->second;
}

const EntrySession*
EntrySessions::SessionOf(MemberId aMember) const
{
  const MemberView* view = Member(aMember);
  return view == nullptr ? nullptr : Find(view->mNonce);
}

// Many callers ask at once, and there may be as many entries as callers.
const std::vector<membership::EntryProfile>&
EntrySessions::Ready(Duration aTimeout, TimePoint aNow)
{
  if (!mReady.empty() && !mReadyScan.IsDue(aNow)) {
    return mReady;
  }
  mReady.clear();
  for (const auto& [nonce, session] : mSessions) {
    if (session.mProfile && session.mInForce.IsSet() && !session.mLeaving &&
        aNow - session.mHeardAt < aTimeout) {
      mReady.push_back(*session.mProfile);
    }
  }
  std::sort(mReady.begin(), mReady.end());
  return mReady;
}

void
EntrySessions::Expire(TimePoint aNow)
{
  std::erase_if(mSessions, [&](const auto& aPair) {
    return aNow - aPair.second.mHeardAt > kForgetAfter;
  });
}

} // namespace peridotspool::control
