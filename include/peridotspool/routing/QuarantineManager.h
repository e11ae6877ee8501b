#pragma once

#include "peridotspool/base/Address.h"
#include "peridotspool/base/Time.h"
#include "peridotspool/routing/CrashReport.h"
#include "peridotspool/routing/Quarantine.h"

#include <deque>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace peridotspool::routing {

/**
 * Tracks, on the control leader, the contents that were running when upstreams
 * crashed. Determines the stage of each content and issues the permits of those
 * that run one at a time.
 *
 * An upstream may crash for unrelated reasons while it runs hundreds of
 * requests. Therefore a content is refused only after three consecutive
 * crashes: each run was sent after the previous crash, at least one of them
 * held the permit and so was the only run of the content, and no run was
 * answered completely in between.
 *
 * Does no I/O and reads no clock. Not thread-safe.
 */
class QuarantineManager
{
public:
  QuarantineManager() = default;
  /** Creates the state of a new leader from the committed table. */
  QuarantineManager(const QuarantineTable& aCommitted, TimePoint aNow);

  CrashReportAck HandleReport(const Address& aFrom,
                              const CrashReport& aReport,
                              const QuarantineTable& aCommitted,
                              TimePoint aNow);
  /** Decides on the contents of a request; ignores its parts. */
  PermitResponse HandlePermitRequest(const Address& aFrom,
                                     const PermitRequest& aRequest,
                                     const QuarantineTable& aCommitted,
                                     TimePoint aNow);
  /** Applies a report on contents and parts; ignores the parts. */
  void HandleRunEnded(const Address& aFrom,
                      const RunEnded& aEnded,
                      TimePoint aNow);
  /** Records that an entry refused a request of this content. */
  void RecordResubmission(const ContentId& aContent, TimePoint aNow);
  /**
   * Returns the changes to commit. A change is returned again until it is
   * committed.
   */
  std::vector<QuarantineChange> PendingChanges(
    const QuarantineTable& aCommitted,
    TimePoint aNow);

  std::size_t Size() const { return mSuspects.size(); }

private:
  struct Crash
  {
    CrashRecord mRecord;
    TimePoint mSentAt;
    TimePoint mLostAt;
    bool mHadPermit = false;
  };
  struct Permit
  {
    Address mFrom;
    std::uint64_t mTag = 0;
    TimePoint mUntil;
  };
  struct Suspect
  {
    /** Committed before this leader took over. */
    std::uint32_t mCommittedCount = 0;
    std::vector<CrashRecord> mCommittedCrashes;
    TimePoint mCommittedUntil;
    bool mCommittedRefusal = false;
    std::vector<Crash> mCrashes;
    std::optional<Permit> mPermit;
    bool mAnswered = false;
    std::optional<TimePoint> mTouchedAt;
    std::optional<TimePoint> mProposedAt;
    QuarantineStage mProposed = QuarantineStage::kCleared;
  };

  static std::uint32_t CountSequential(const Suspect& aSuspect);
  static bool HadPermit(const Suspect& aSuspect);
  static QuarantineStage StageOf(const Suspect& aSuspect);
  static void DropCrashesBefore(TimePoint aAnsweredAt, Suspect& aSuspect);
  static bool IsKnown(const Suspect& aSuspect, const CrashRecord& aRecord);
  static QuarantineChange ChangeOf(const ContentId& aContent,
                                   const Suspect& aSuspect);
  void RecordCrash(const Address& aFrom,
                   const ReportedCrash& aReported,
                   const QuarantineTable& aCommitted,
                   TimePoint aNow);
  PermitVerdict HandlePermitRequest(const Address& aFrom,
                                    const ContentId& aContent,
                                    const PermitRequest& aRequest,
                                    const QuarantineTable& aCommitted,
                                    TimePoint aNow);
  void HandleRunEnded(const Address& aFrom,
                      const ContentId& aContent,
                      const RunEnded& aEnded,
                      TimePoint aNow);
  void Touch(const ContentId& aContent, Suspect& aSuspect, TimePoint aNow);
  void EvictSuspects();
  void SyncCommitted(const QuarantineTable& aCommitted);
  void ExpireSuspects(TimePoint aNow);

  std::unordered_map<ContentId, Suspect> mSuspects;
  /** Ordered by the time of the touch; may contain a content more than once. */
  std::deque<std::pair<TimePoint, ContentId>> mOrder;
  /** Contents whose stage may have to change. */
  std::set<ContentId> mDirty;
  /** Number of the last committed change that was applied here. */
  std::uint64_t mAppliedNumber = 0;
};

} // namespace peridotspool::routing
