#pragma once

#include "peridotspool/base/Address.h"
#include "peridotspool/base/PromptPartId.h"
#include "peridotspool/base/Time.h"
#include "peridotspool/routing/CrashReport.h"
#include "peridotspool/routing/PartVerdict.h"
#include "peridotspool/routing/Quarantine.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace peridotspool::routing {

/**
 * Tracks, on the control leader, the parts of prompts that were running when
 * upstreams crashed, and issues the permits of those that run one at a time.
 *
 * Each part that was running is listed at once, so that entries report when
 * they answered it last and when they answer it next, which clears it. See
 * JudgeParts for what is made of the others. A part is refused for the
 * customer whose requests crashed upstreams; others' requests with it run one
 * at a time, and one more crash refuses it for all.
 *
 * Does no I/O and reads no clock. Not thread-safe.
 */
class PromptPartSuspects
{
public:
  PromptPartSuspects() = default;
  /** Creates the state of a new leader from the committed table. */
  PromptPartSuspects(const QuarantineTable& aCommitted, TimePoint aNow);

  void HandleCrash(const Address& aFrom,
                   const ReportedCrash& aReported,
                   TimePoint aNow);
  /** Applies a report on contents and parts; ignores the contents. */
  void HandleRunEnded(const Address& aFrom,
                      const RunEnded& aEnded,
                      TimePoint aNow);
  /** Decides on the parts that a request asks a permit for; grants nothing. */
  PermitVerdict CheckPermit(const Address& aFrom,
                            const PermitRequest& aRequest,
                            const QuarantineTable& aCommitted,
                            TimePoint aNow);
  /** Grants what CheckPermit has allowed. */
  void Grant(const Address& aFrom,
             const PermitRequest& aRequest,
             TimePoint aNow);
  /** Records that an entry refused a request with this part. */
  void RecordResubmission(PromptPartId aPart, TimePoint aNow);
  /**
   * Returns the changes to commit. A change is returned again until it is
   * committed.
   */
  std::vector<QuarantineChange> PendingChanges(
    const QuarantineTable& aCommitted,
    TimePoint aNow);

  std::size_t Size() const { return mSuspects.size(); }

private:
  struct Permit
  {
    Address mFrom;
    std::uint64_t mTag = 0;
    TimePoint mUntil;
  };
  struct Suspect
  {
    PartCase mCase;
    PartVerdict mVerdict;
    QuarantineStage mCommittedStage = QuarantineStage::kCleared;
    /** When this leader asked entries for its answers. */
    std::optional<TimePoint> mListedAt;
    /** Since when the part runs one at a time. */
    std::optional<TimePoint> mSerializedAt;
    /** Crashes before this time had another cause. */
    std::optional<TimePoint> mAnsweredAt;
    bool mOthersAllowed = false;
    std::optional<Permit> mPermit;
    /** Permits given after the part had counted kMaxPartCrashes. */
    std::uint32_t mLatePermitsUsed = 0;
    std::uint32_t mLatePermitsWanted = 0;
    TimePoint mLatePermitAt;
    /** A late permit has ended without an answer or a crash. */
    bool mHadInconclusiveRun = false;
    TimePoint mTouchedAt;
    std::optional<QuarantineChange> mProposed;
    TimePoint mProposedAt;
  };
  /** Committed rows of parts that are listed. */
  using Rows = std::map<PromptPartId, const QuarantineChange*>;

  Suspect* Find(const ContentId& aContent);
  void RecordPromptCrash(const UpstreamIncarnation& aUpstream,
                         TimePoint aLostAt);
  void ApplyAnswer(Suspect& aSuspect,
                   const CustomerName& aCustomer,
                   TimePoint aAnsweredAt);
  PermitVerdict CheckPermit(Suspect& aSuspect,
                            const Address& aFrom,
                            const PermitRequest& aRequest,
                            std::uint32_t aCommittedPermits,
                            TimePoint aNow);
  PermitVerdict CheckLatePermit(Suspect& aSuspect,
                                std::uint32_t aCommittedPermits,
                                TimePoint aNow);
  PermitVerdict CheckGroup(const PermitRequest& aRequest, TimePoint aNow);
  static bool IsRipe(const Suspect& aSuspect, TimePoint aNow);
  static PartVerdict UnripeVerdict(const Suspect& aSuspect);
  static PartVerdict RipeVerdict(const Suspect& aSuspect,
                                 const PartVerdict& aJudged);
  void Judge(TimePoint aNow);
  void SyncCommitted(const QuarantineTable& aCommitted, TimePoint aNow);
  void Expire(TimePoint aNow);
  void Evict();
  std::vector<std::pair<PromptPartId, QuarantineChange>> Differences(
    const Rows& aRows) const;
  std::vector<PromptPartId> WatchedParts(const Rows& aRows) const;
  bool MakeRoom(std::size_t aCrashes,
                const Rows& aRows,
                std::vector<PromptPartId>& aWatched);
  static QuarantineChange ChangeOf(PromptPartId aPart, const Suspect& aSuspect);

  std::map<PromptPartId, Suspect> mSuspects;
  /** Recent crashes, whichever parts were running. */
  std::vector<PromptCrash> mCrashes;
  /** The evidence has changed since the last judgement. */
  bool mIsDirty = false;
  /** Some parts are to be judged once entries have told of their answers. */
  bool mIsUnripe = false;
  /** Some changes are not committed yet. */
  bool mIsUnsettled = false;
  TimePoint mExpiredAt;
  /** Number of the last committed change that was applied here. */
  std::uint64_t mAppliedNumber = 0;
};

} // namespace peridotspool::routing
