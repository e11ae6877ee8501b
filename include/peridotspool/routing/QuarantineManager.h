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
 * The control leader's account of contents under which upstreams ended. It
 * says how each is to be treated, and gives out the turns of those that run
 * once at a time.
 *
 * An upstream may end for reasons of its own, and hundreds of requests with it.
 * So a content is held back only after three ends in a row: each run sent after
 * the one before had ended, one of them the only run of the content, and no
 * complete response between.
 *
 * A pure step; not thread-safe.
 */
class QuarantineManager
{
public:
  QuarantineManager() = default;
  /** A new leader begins with what is committed. */
  QuarantineManager(const QuarantineTable& aCommitted, TimePoint aNow);

  CrashReportAck HandleReport(const Address& aFrom,
                              const CrashReport& aReport,
                              const QuarantineTable& aCommitted,
                              TimePoint aNow);
  PermitResponse HandlePermitRequest(const Address& aFrom,
                                     const PermitRequest& aRequest,
                                     const QuarantineTable& aCommitted,
                                     TimePoint aNow);
  void HandleRunEnded(const Address& aFrom,
                      const RunEnded& aEnded,
                      TimePoint aNow);
  /** An entry has refused a request of this content. */
  void RecordResubmission(const ContentId& aContent, TimePoint aNow);
  /** Changes to commit; each comes again until it is committed. */
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
    /** Committed before this leader's time. */
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
  void Touch(const ContentId& aContent, Suspect& aSuspect, TimePoint aNow);
  void EvictSuspects();
  void SyncCommitted(const QuarantineTable& aCommitted);
  void ExpireSuspects(TimePoint aNow);

  std::unordered_map<ContentId, Suspect> mSuspects;
  /** In the order in which they were touched; may name one more than once. */
  std::deque<std::pair<TimePoint, ContentId>> mOrder;
  /** Contents whose treatment may have to change. */
  std::set<ContentId> mDirty;
  /** Committed changes up to this one have been looked at. */
  std::uint64_t mAppliedNumber = 0;
};

} // namespace peridotspool::routing
