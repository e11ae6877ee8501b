#pragma once

#include "peridotspool/base/ScanLimiter.h"
#include "peridotspool/base/Time.h"
#include "peridotspool/membership/EntryMessage.h"

#include <cstddef>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace peridotspool::control {

/** A control replica's state for one entry process. */
struct EntrySession
{
  std::optional<membership::EntryProfile> mProfile;
  TimePoint mHeardAt;
  Revision mInForce;
  EpochNumber mEpoch;
  bool mLeaving = false;
  bool mDone = false;
  std::vector<MemberId> mSuspected;
  /** The latest pushes, so that they aren't repeated with every heartbeat. */
  Revision mPushedRevision;
  TimePoint mPushedRevisionAt;
  EpochNumber mPushedEpoch;
  TimePoint mPushedEpochAt;
};

/** A control replica's state for one member, with or without a session. */
struct MemberView
{
  membership::EntryNonce mNonce;
  /** When the last message was received from it, or when it became known. */
  TimePoint mHeardAt;
  /** When this replica, as the leader, last granted it a lease. */
  std::optional<TimePoint> mGrantedAt;
};

/** The entry processes that send heartbeats to this control replica. */
class EntrySessions
{
public:
  static constexpr Duration kReadyPeriod = std::chrono::milliseconds(50);

  explicit EntrySessions(std::size_t aMaxSessions);

  /** Records a heartbeat; returns null when the table is full. */
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

  /** Replaces the current members; new ones count as heard from now. */
  void UpdateMembers(const std::map<membership::EntryNonce, MemberId>& aNonces,
                     TimePoint aNow);
  MemberView* Member(MemberId aMember);
  const MemberView* Member(MemberId aMember) const;
  const std::map<MemberId, MemberView>& Members() const { return mMembers; }
  /** Returns the session of a member, or null. */
  const EntrySession* SessionOf(MemberId aMember) const;

  /**
   * Returns the entries that callers can be referred to, sorted: those that
   * have settings, aren't leaving, and were heard from within aTimeout. The
   * list may be kReadyPeriod old.
   */
  const std::vector<membership::EntryProfile>& Ready(Duration aTimeout,
                                                     TimePoint aNow);
  /** Returns how often the sessions were scanned for ready entries. */
  std::uint64_t ReadyScans() const { return mReadyScan.Scans(); }

  /** Drops processes from which nothing has been received for a long time. */
  void Expire(TimePoint aNow);

private:
  std::size_t mMaxSessions;
  std::unordered_map<membership::EntryNonce, EntrySession> mSessions;
  std::map<MemberId, MemberView> mMembers;
  std::unordered_map<membership::EntryNonce, MemberId> mMemberOf;
  std::vector<membership::EntryProfile> mReady;
  ScanLimiter mReadyScan{ kReadyPeriod };
};

} // namespace peridotspool::control
