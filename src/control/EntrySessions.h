#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/membership/EntryMessage.h"

#include <cstddef>
#include <map>
#include <optional>
#include <unordered_map>

namespace peridotspool::control {

/** What a control replica knows of one entry process. */
struct EntrySession
{
  std::optional<membership::EntryProfile> mProfile;
  TimePoint mHeardAt;
  Revision mInForce;
  EpochNumber mEpoch;
  bool mLeaving = false;
  bool mDone = false;
  std::vector<MemberId> mSuspected;
  /** The last pushes, so that they aren't repeated with every heartbeat. */
  Revision mPushedRevision;
  TimePoint mPushedRevisionAt;
  EpochNumber mPushedEpoch;
  TimePoint mPushedEpochAt;
};

/** What a control replica knows of one member, with or without a session. */
struct MemberView
{
  membership::EntryNonce mNonce;
  /** When it was heard last, or first known. */
  TimePoint mHeardAt;
  /** When this replica, as a leader, last gave it a lease. */
  std::optional<TimePoint> mGrantedAt;
};

/** The entry processes that speak with this control replica. */
class EntrySessions
{
public:
  explicit EntrySessions(std::size_t aMaxSessions);

  /** Takes a heartbeat; returns null when the table is full. */
  EntrySession* RecordHeartbeat(membership::EntryNonce aNonce,
                                const membership::EntryHeartbeat& aHeartbeat,
                                TimePoint aNow);
  EntrySession* Find(membership::EntryNonce aNonce);
  const EntrySession* Find(membership::EntryNonce aNonce) const;
  std::unordered_map<membership::EntryNonce, EntrySession>& All()
  {
    return mSessions;
  }
  const std::unordered_map<membership::EntryNonce, EntrySession>& All() const
  {
    return mSessions;
  }

  /** Takes the current members: new ones count as heard now. */
  void UpdateMembers(const std::map<membership::EntryNonce, MemberId>& aNonces,
                     TimePoint aNow);
  MemberView* Member(MemberId aMember);
  const MemberView* Member(MemberId aMember) const;
  const std::map<MemberId, MemberView>& Members() const { return mMembers; }
  /** Returns the session of a member, or null. */
  const EntrySession* SessionOf(MemberId aMember) const;

  /** Forgets processes that haven't been heard for a long time. */
  void Expire(TimePoint aNow);

private:
  std::size_t mMaxSessions;
  std::unordered_map<membership::EntryNonce, EntrySession> mSessions;
  std::map<MemberId, MemberView> mMembers;
  std::unordered_map<membership::EntryNonce, MemberId> mMemberOf;
};

} // namespace peridotspool::control
