#include "peridotspool/routing/QuarantineBank.h"

#include <algorithm>
#include <utility>

namespace peridotspool::routing {

namespace {

/** Ends in a row after which a content isn't run any more. */
constexpr std::uint32_t kEndsToRefuse = 3;
/** Ends after which it runs once at a time. */
constexpr std::size_t kEndsToSlow = 2;
/**
 * Ages cross the network with the report, so that a run may look later than it
 * was by as much as a message takes. A run that had a turn began after the ends
 * before it in any case.
 */
constexpr Duration kSameMoment = std::chrono::milliseconds(250);
/** A content that nothing was heard of for this long is like any other. */
constexpr Duration kSuspectFor = std::chrono::minutes(10);
constexpr Duration kRefusedFor = std::chrono::hours(1);
constexpr Duration kLongestTurn = std::chrono::seconds(30);
constexpr Duration kProposeAgain = std::chrono::seconds(1);
constexpr Duration kTouchEach = std::chrono::seconds(1);
/** When hundreds of upstreams end at once, each request there is a suspect. */
constexpr std::size_t kMostSuspects = 4096;
/** Evidence of one content; by then it is refused or runs once at a time. */
constexpr std::size_t kMostCrashes = 16;

std::uint32_t
CapMs(std::uint32_t aMs)
{
  constexpr std::uint32_t kMost = 600000;
  return std::min(aMs, kMost);
}

// Ends of the only copy that ran tell the most. The first end of all stays as
// well: one that has to yield, among so many, ended beside others.
template<typename Crashes>
bool
HasRoom(Crashes& aCrashes, bool aHadTurn)
{
  if (aCrashes.size() < kMostCrashes) {
    return true;
  }
  const auto yields =
    std::find_if(aCrashes.begin() + 1, aCrashes.end(), [](const auto& aOne) {
      return !aOne.mHadTurn;
    });
  if (!aHadTurn || yields == aCrashes.end()) {
    return false;
  }
  aCrashes.erase(yields);
  return true;
}

} // namespace

QuarantineBank::QuarantineBank(const QuarantineTable& aCommitted,
                               TimePoint aNow)
  : mSeen(aCommitted.mNumber)
{
  for (const QuarantineRow& row : aCommitted.mRows) {
    if (row.mChange.mStage == QuarantineStage::kCleared) {
      continue;
    }
    Suspect& suspect = mSuspects[row.mChange.mContent];
    suspect.mCountedBefore = row.mChange.mCounted;
    suspect.mBefore = row.mChange.mCrashes;
    suspect.mBeforeUntil = aNow;
    suspect.mRefusedBefore = row.mChange.mStage == QuarantineStage::kRefused;
    suspect.mTouchedAt = aNow;
    mOrder.emplace_back(aNow, row.mChange.mContent);
  }
}

CrashTaken
QuarantineBank::Take(const Address& aFrom,
                     const CrashReport& aReport,
                     const QuarantineTable& aCommitted,
                     TimePoint aNow)
{
  for (const CrashLine& line : aReport.mLines) {
    TakeLine(aFrom, line, aCommitted, aNow);
  }
  return { .mNumber = aReport.mNumber };
}

void
QuarantineBank::TakeLine(const Address& aFrom,
                         const CrashLine& aLine,
                         const QuarantineTable& aCommitted,
                         TimePoint aNow)
{
  const CrashRecord record{ .mUpstream = aLine.mUpstream,
                            .mIncarnation = aLine.mIncarnation,
                            .mSeenBy = ToText(aFrom) };
  const QuarantineRow* row = aCommitted.Find(aLine.mContent);
  const bool cleared =
    row != nullptr && row->mChange.mStage == QuarantineStage::kCleared &&
    std::any_of(row->mChange.mCrashes.begin(),
                row->mChange.mCrashes.end(),
                [&](const CrashRecord& aOne) {
                  return aOne.mUpstream == record.mUpstream &&
                         aOne.mIncarnation == record.mIncarnation;
                });
  if (cleared) {
    return;
  }
  if (!mSuspects.contains(aLine.mContent)) {
    MakeRoom();
  }
  Suspect& suspect = mSuspects[aLine.mContent];
  if (suspect.mTurn && aLine.mHadTurn && suspect.mTurn->mFrom == aFrom) {
    suspect.mTurn.reset();
  }
  // One life counts once, however many copies of the content it was running.
  if (!Knows(suspect, record) && HasRoom(suspect.mCrashes, aLine.mHadTurn)) {
    const Crash crash{
      .mRecord = record,
      .mSentAt = aNow - std::chrono::milliseconds(CapMs(aLine.mSentAgoMs)),
      .mLostAt = aNow - std::chrono::milliseconds(CapMs(aLine.mLostAgoMs)),
      .mHadTurn = aLine.mHadTurn
    };
    const auto place = std::find_if(
      suspect.mCrashes.begin(), suspect.mCrashes.end(), [&](const Crash& aOne) {
        return aOne.mLostAt > crash.mLostAt;
      });
    suspect.mCrashes.insert(place, crash);
  }
  Touch(aLine.mContent, suspect, aNow);
  mOpen.insert(aLine.mContent);
}

bool
QuarantineBank::Knows(const Suspect& aSuspect, const CrashRecord& aLife)
{
  const auto same = [&](const CrashRecord& aOne) {
    return aOne.mUpstream == aLife.mUpstream &&
           aOne.mIncarnation == aLife.mIncarnation;
  };
  return std::any_of(aSuspect.mBefore.begin(), aSuspect.mBefore.end(), same) ||
         std::any_of(aSuspect.mCrashes.begin(),
                     aSuspect.mCrashes.end(),
                     [&](const Crash& aOne) { return same(aOne.mRecord); });
}

// Copies that ran at the same time and ended together show one cause only,
// which may be any: a power supply, a bad release. Each end that counts is of a
// run that was sent after the end before it.
std::uint32_t
QuarantineBank::Counted(const Suspect& aSuspect)
{
  std::uint32_t counted = aSuspect.mCountedBefore;
  TimePoint until = aSuspect.mBeforeUntil;
  for (const Crash& crash : aSuspect.mCrashes) {
    const Duration margin = crash.mHadTurn ? Duration(0) : kSameMoment;
    if (counted == 0 || crash.mSentAt >= until + margin) {
      ++counted;
      until = crash.mLostAt;
    }
  }
  return counted;
}

// Of a content that many ask for, some copy is at nearly every upstream that
// ends. What nothing else explains is an end under the one copy that runs.
bool
QuarantineBank::HadTurn(const Suspect& aSuspect)
{
  return aSuspect.mRefusedBefore ||
         std::any_of(aSuspect.mCrashes.begin(),
                     aSuspect.mCrashes.end(),
                     [](const Crash& aOne) { return aOne.mHadTurn; });
}

QuarantineStage
QuarantineBank::StageOf(const Suspect& aSuspect)
{
  if (aSuspect.mAnswered) {
    return QuarantineStage::kCleared;
  }
  if (Counted(aSuspect) >= kEndsToRefuse && HadTurn(aSuspect)) {
    return QuarantineStage::kRefused;
  }
  return aSuspect.mBefore.size() + aSuspect.mCrashes.size() >= kEndsToSlow
           ? QuarantineStage::kOneAtATime
           : QuarantineStage::kCleared;
}

TurnAnswer
QuarantineBank::Take(const Address& aFrom,
                     const TurnAsk& aAsk,
                     const QuarantineTable& aCommitted,
                     TimePoint aNow)
{
  TurnAnswer answer{ .mTag = aAsk.mTag, .mGranted = true };
  const QuarantineRow* row = aCommitted.Find(aAsk.mContent);
  const auto suspect = mSuspects.find(aAsk.mContent);
  const bool listed =
    row != nullptr && row->mChange.mStage != QuarantineStage::kCleared;
  if (!listed || suspect == mSuspects.end() || suspect->second.mAnswered) {
    return answer;
  }
  auto& turn = suspect->second.mTurn;
  const bool taken = turn && turn->mUntil > aNow &&
                     (turn->mFrom != aFrom || turn->mTag != aAsk.mTag);
  if (taken || row->mChange.mStage == QuarantineStage::kRefused ||
      StageOf(suspect->second) == QuarantineStage::kRefused) {
    answer.mGranted = false;
    return answer;
  }
  const Duration wanted = std::chrono::milliseconds(aAsk.mForMs);
  turn = Turn{ .mFrom = aFrom,
               .mTag = aAsk.mTag,
               .mUntil = aNow + std::min(wanted, kLongestTurn) };
  return answer;
}

// Whatever an upstream can answer does not end it: what ended before was
// ended by something else.
void
QuarantineBank::Take(const Address& aFrom,
                     const TurnEnded& aEnded,
                     TimePoint aNow)
{
  const auto found = mSuspects.find(aEnded.mContent);
  if (found == mSuspects.end()) {
    return;
  }
  Suspect& suspect = found->second;
  if (suspect.mTurn && suspect.mTurn->mFrom == aFrom &&
      suspect.mTurn->mTag == aEnded.mTag) {
    suspect.mTurn.reset();
  }
  if (aEnded.mAnswered) {
    const TimePoint answeredAt =
      aNow - std::chrono::milliseconds(CapMs(aEnded.mAgoMs));
    ForgetBefore(answeredAt, suspect);
    mOpen.insert(aEnded.mContent);
  }
  Touch(aEnded.mContent, suspect, aNow);
}

void
QuarantineBank::ForgetBefore(TimePoint aAnsweredAt, Suspect& aSuspect)
{
  std::erase_if(aSuspect.mCrashes,
                [&](const Crash& aOne) { return aOne.mLostAt <= aAnsweredAt; });
  if (aSuspect.mBeforeUntil <= aAnsweredAt) {
    aSuspect.mBefore.clear();
    aSuspect.mCountedBefore = 0;
    aSuspect.mRefusedBefore = false;
  }
  if (aSuspect.mCrashes.empty() && aSuspect.mBefore.empty()) {
    aSuspect = Suspect{ .mAnswered = true, .mTouchedAt = aSuspect.mTouchedAt };
  }
}

void
QuarantineBank::CameAgain(const ContentId& aContent, TimePoint aNow)
{
  const auto found = mSuspects.find(aContent);
  if (found != mSuspects.end()) {
    Touch(aContent, found->second, aNow);
  }
}

void
QuarantineBank::Touch(const ContentId& aContent,
                      Suspect& aSuspect,
                      TimePoint aNow)
{
  if (!aSuspect.mTouchedAt || aNow - *aSuspect.mTouchedAt >= kTouchEach) {
    aSuspect.mTouchedAt = aNow;
    mOrder.emplace_back(aNow, aContent);
  }
}

// The ones that go first are those that one life ended under: nearly all of
// them were only there when it happened.
void
QuarantineBank::MakeRoom()
{
  for (std::size_t looked = mOrder.size();
       looked > 0 && mSuspects.size() >= kMostSuspects;
       --looked) {
    const auto [touchedAt, content] = mOrder.front();
    mOrder.pop_front();
    const auto found = mSuspects.find(content);
    if (found == mSuspects.end() || found->second.mTouchedAt > touchedAt) {
      continue;
    }
    if (StageOf(found->second) == QuarantineStage::kCleared &&
        !found->second.mAnswered) {
      mSuspects.erase(found);
      mOpen.erase(content);
    } else {
      mOrder.emplace_back(touchedAt, content);
    }
  }
}

void
QuarantineBank::ForgetOld(TimePoint aNow)
{
  while (!mOrder.empty() && aNow - mOrder.front().first >= kSuspectFor) {
    const auto [touchedAt, content] = mOrder.front();
    mOrder.pop_front();
    const auto found = mSuspects.find(content);
    if (found == mSuspects.end() || found->second.mTouchedAt > touchedAt) {
      continue;
    }
    Suspect& suspect = found->second;
    const QuarantineStage stage = StageOf(suspect);
    if (stage == QuarantineStage::kRefused &&
        aNow - *suspect.mTouchedAt < kRefusedFor) {
      mOrder.emplace_back(aNow, content);
    } else if (stage == QuarantineStage::kCleared && !suspect.mAnswered) {
      mSuspects.erase(found);
    } else {
      suspect = Suspect{ .mAnswered = true, .mTouchedAt = aNow };
      mOrder.emplace_back(aNow, content);
      mOpen.insert(content);
    }
  }
}

// What was committed since: by this leader, or by an operator who lifts it.
void
QuarantineBank::NoteCommitted(const QuarantineTable& aCommitted)
{
  for (const QuarantineRow& row : aCommitted.mRows) {
    if (row.mNumber <= mSeen) {
      continue;
    }
    const ContentId& content = row.mChange.mContent;
    mOpen.insert(content);
    const auto found = mSuspects.find(content);
    if (row.mChange.mStage != QuarantineStage::kCleared) {
      // Without evidence any more it is to be cleared again.
      mSuspects.try_emplace(content);
    } else if (found != mSuspects.end() && !found->second.mAnswered) {
      mSuspects.erase(found);
    }
  }
  mSeen = aCommitted.mNumber;
}

QuarantineChange
QuarantineBank::ChangeOf(const ContentId& aContent, const Suspect& aSuspect)
{
  QuarantineChange change{ .mContent = aContent,
                           .mStage = StageOf(aSuspect),
                           .mCounted = Counted(aSuspect),
                           .mCrashes = aSuspect.mBefore };
  for (const Crash& crash : aSuspect.mCrashes) {
    change.mCrashes.push_back(crash.mRecord);
  }
  return change;
}

std::vector<QuarantineChange>
QuarantineBank::Due(const QuarantineTable& aCommitted, TimePoint aNow)
{
  ForgetOld(aNow);
  NoteCommitted(aCommitted);
  std::vector<QuarantineChange> due;
  std::erase_if(mOpen, [&](const ContentId& aContent) {
    const auto found = mSuspects.find(aContent);
    if (found == mSuspects.end()) {
      return true;
    }
    Suspect& suspect = found->second;
    const QuarantineRow* row = aCommitted.Find(aContent);
    const auto committed =
      row == nullptr ? QuarantineStage::kCleared : row->mChange.mStage;
    if (StageOf(suspect) == committed) {
      if (suspect.mAnswered && suspect.mCrashes.empty()) {
        mSuspects.erase(found);
        return true;
      }
      return !std::exchange(suspect.mAnswered, false);
    }
    const bool proposed = suspect.mProposedAt &&
                          suspect.mProposed == StageOf(suspect) &&
                          aNow - *suspect.mProposedAt < kProposeAgain;
    if (!proposed) {
      suspect.mProposed = StageOf(suspect);
      suspect.mProposedAt = aNow;
      due.push_back(ChangeOf(aContent, suspect));
    }
    return false;
  });
  return due;
}

} // namespace peridotspool::routing
