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
 * complete answer between.
 *
 * A pure step; not thread-safe.
 */
class QuarantineBank
{
public:
  QuarantineBank() = default;
  /** A new leader begins with what is committed. */
  QuarantineBank(const QuarantineTable& aCommitted, TimePoint aNow);

  CrashTaken Take(const Address& aFrom,
                  const CrashReport& aReport,
                  const QuarantineTable& aCommitted,
                  TimePoint aNow);
  TurnAnswer Take(const Address& aFrom,
                  const TurnAsk& aAsk,
                  const QuarantineTable& aCommitted,
                  TimePoint aNow);
  void Take(const Address& aFrom, const TurnEnded& aEnded, TimePoint aNow);
  /** An entry has refused a request of this content. */
  void CameAgain(const ContentId& aContent, TimePoint aNow);
  /** Changes to commit; each comes again until it is committed. */
  std::vector<QuarantineChange> Due(const QuarantineTable& aCommitted,
                                    TimePoint aNow);

  std::size_t Size() const { return mSuspects.size(); }

private:
  struct Crash
  {
    CrashRecord mRecord;
    TimePoint mSentAt;
    TimePoint mLostAt;
    bool mHadTurn = false;
  };
  struct Turn
  {
    Address mFrom;
    std::uint64_t mTag = 0;
    TimePoint mUntil;
  };
  struct Suspect
  {
    /** Committed before this leader's time. */
    std::uint32_t mCountedBefore = 0;
    std::vector<CrashRecord> mBefore;
    TimePoint mBeforeUntil;
    bool mRefusedBefore = false;
    std::vector<Crash> mCrashes;
    std::optional<Turn> mTurn;
    bool mAnswered = false;
    std::optional<TimePoint> mTouchedAt;
    std::optional<TimePoint> mProposedAt;
    QuarantineStage mProposed = QuarantineStage::kCleared;
  };

  static std::uint32_t Counted(const Suspect& aSuspect);
  static bool HadTurn(const Suspect& aSuspect);
  static QuarantineStage StageOf(const Suspect& aSuspect);
  static void ForgetBefore(TimePoint aAnsweredAt, Suspect& aSuspect);
  static bool Knows(const Suspect& aSuspect, const CrashRecord& aLife);
  static QuarantineChange ChangeOf(const ContentId& aContent,
                                   const Suspect& aSuspect);
  void TakeLine(const Address& aFrom,
                const CrashLine& aLine,
                const QuarantineTable& aCommitted,
                TimePoint aNow);
  void Touch(const ContentId& aContent, Suspect& aSuspect, TimePoint aNow);
  void MakeRoom();
  void NoteCommitted(const QuarantineTable& aCommitted);
  void ForgetOld(TimePoint aNow);

  std::unordered_map<ContentId, Suspect> mSuspects;
  /** In the order in which they were touched; may name one more than once. */
  std::deque<std::pair<TimePoint, ContentId>> mOrder;
  /** Contents whose treatment may have to change. */
  std::set<ContentId> mOpen;
  /** Committed changes up to this one have been looked at. */
  std::uint64_t mSeen = 0;
};

} // namespace peridotspool::routing
