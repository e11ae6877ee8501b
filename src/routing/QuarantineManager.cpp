#include "peridotspool/routing/QuarantineManager.h"

#include <algorithm>
#include <utility>

namespace peridotspool::routing {

namespace {

/** Consecutive crashes after which a content is refused. */
constexpr std::uint32_t kCrashesToRefuse = 3;
/** Crashes after which a content runs one at a time. */
constexpr std::size_t kCrashesToSerialize = 2;
/**
 * The ages in a report don't include the time that the message took, so that a
 * run may seem to have been sent later than it was. Runs with a permit need no
 * margin: they started after all earlier crashes in any case.
 */
constexpr Duration kSequenceMargin = std::chrono::milliseconds(250);
/** A content without events for this long is no longer suspected. */
constexpr Duration kSuspectRetention = std::chrono::minutes(10);
constexpr Duration kRefusalRetention = std::chrono::hours(1);
constexpr Duration kMaxPermitTime = std::chrono::seconds(30);
constexpr Duration kProposalRetryInterval = std::chrono::seconds(1);
constexpr Duration kTouchInterval = std::chrono::seconds(1);
/**
 * When hundreds of upstreams crash at once, every request that they ran becomes
 * a suspect.
 */
constexpr std::size_t kMaxSuspects = 4096;
/**
 * Crashes stored for one content. A content that reaches this many is refused
 * or runs one at a time already.
 */
constexpr std::size_t kMaxCrashes = 16;

std::uint32_t
CapAgeMs(std::uint32_t aMs)
{
  constexpr std::uint32_t kMaxAgeMs = 600000;
  return std::min(aMs, kMaxAgeMs);
}

// Crashes of runs with a permit are the strongest evidence, so they replace
// others. The first crash is never replaced. The others can be: with so many
// crashes they are of runs that went on side by side.
template<typename Crashes>
bool
MakeRoomFor(Crashes& aCrashes, bool aHadPermit)
{
  if (aCrashes.size() < kMaxCrashes) {
    return true;
  }
  const auto replaceable =
    std::find_if(aCrashes.begin() + 1, aCrashes.end(), [](const auto& aOne) {
      return !aOne.mHadPermit;
    });
  if (!aHadPermit || replaceable == aCrashes.end()) {
    return false;
  }
  aCrashes.erase(replaceable);
  return true;
}

} // namespace

QuarantineManager::QuarantineManager(const QuarantineTable& aCommitted,
                                     TimePoint aNow)
  : mAppliedNumber(aCommitted.mNumber)
{
  for (const QuarantineRow& row : aCommitted.mRows) {
    if (row.mChange.mStage == QuarantineStage::kCleared ||
        PartOf(row.mChange.mContent)) {
      continue;
    }
    Suspect& suspect = mSuspects[row.mChange.mContent];
    suspect.mCommittedCount = row.mChange.mCounted;
    suspect.mCommittedCrashes = row.mChange.mCrashes;
    suspect.mCommittedUntil = aNow;
    suspect.mCommittedRefusal = row.mChange.mStage == QuarantineStage::kRefused;
    suspect.mTouchedAt = aNow;
    mOrder.emplace_back(aNow, row.mChange.mContent);
  }
}

CrashReportAck
QuarantineManager::HandleReport(const Address& aFrom,
                                const CrashReport& aReport,
                                const QuarantineTable& aCommitted,
                                TimePoint aNow)
{
  for (const ReportedCrash& reported : aReport.mLines) {
    RecordCrash(aFrom, reported, aCommitted, aNow);
  }
  return { .mNumber = aReport.mNumber };
}

void
QuarantineManager::RecordCrash(const Address& aFrom,
                               const ReportedCrash& aReported,
                               const QuarantineTable& aCommitted,
                               TimePoint aNow)
{
  const CrashRecord record{ .mUpstream = aReported.mUpstream,
                            .mIncarnation = aReported.mIncarnation,
                            .mSeenBy = ToText(aFrom) };
  const QuarantineRow* row = aCommitted.Find(aReported.mContent);
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
  if (!mSuspects.contains(aReported.mContent)) {
    EvictSuspects();
  }
  Suspect& suspect = mSuspects[aReported.mContent];
  if (suspect.mPermit && aReported.mHadPermit &&
      suspect.mPermit->mFrom == aFrom) {
    suspect.mPermit.reset();
  }
  // One incarnation counts once, however many copies of the content it was
  // running.
  if (!IsKnown(suspect, record) &&
      MakeRoomFor(suspect.mCrashes, aReported.mHadPermit)) {
    const Crash crash{ .mRecord = record,
                       .mSentAt = aNow - std::chrono::milliseconds(
                                           CapAgeMs(aReported.mSentAgeMs)),
                       .mLostAt = aNow - std::chrono::milliseconds(
                                           CapAgeMs(aReported.mLostAgeMs)),
                       .mHadPermit = aReported.mHadPermit };
    const auto place = std::find_if(
      suspect.mCrashes.begin(), suspect.mCrashes.end(), [&](const Crash& aOne) {
        return aOne.mLostAt > crash.mLostAt;
      });
    suspect.mCrashes.insert(place, crash);
  }
  Touch(aReported.mContent, suspect, aNow);
  mDirty.insert(aReported.mContent);
}

bool
QuarantineManager::IsKnown(const Suspect& aSuspect, const CrashRecord& aRecord)
{
  const auto same = [&](const CrashRecord& aOne) {
    return aOne.mUpstream == aRecord.mUpstream &&
           aOne.mIncarnation == aRecord.mIncarnation;
  };
  return std::any_of(aSuspect.mCommittedCrashes.begin(),
                     aSuspect.mCommittedCrashes.end(),
                     same) ||
         std::any_of(aSuspect.mCrashes.begin(),
                     aSuspect.mCrashes.end(),
                     [&](const Crash& aOne) { return same(aOne.mRecord); });
}

// Copies that ran at the same time and crashed together show a single cause,
// which may be unrelated, such as a power failure or a bad release. Therefore a
// crash counts only if its run was sent after the previous counted crash.
std::uint32_t
QuarantineManager::CountSequential(const Suspect& aSuspect)
{
  std::uint32_t counted = aSuspect.mCommittedCount;
  TimePoint until = aSuspect.mCommittedUntil;
  for (const Crash& crash : aSuspect.mCrashes) {
    const Duration margin = crash.mHadPermit ? Duration(0) : kSequenceMargin;
    if (counted == 0 || crash.mSentAt >= until + margin) {
      ++counted;
      until = crash.mLostAt;
    }
  }
  return counted;
}

// Nearly every upstream that crashes is running some copy of a popular content.
// Only a crash during the only run of the content is evidence that no other
// cause explains.
bool
QuarantineManager::HadPermit(const Suspect& aSuspect)
{
  return aSuspect.mCommittedRefusal ||
         std::any_of(aSuspect.mCrashes.begin(),
                     aSuspect.mCrashes.end(),
                     [](const Crash& aOne) { return aOne.mHadPermit; });
}

QuarantineStage
QuarantineManager::StageOf(const Suspect& aSuspect)
{
  if (aSuspect.mAnswered) {
    return QuarantineStage::kCleared;
  }
  if (CountSequential(aSuspect) >= kCrashesToRefuse && HadPermit(aSuspect)) {
    return QuarantineStage::kRefused;
  }
  return aSuspect.mCommittedCrashes.size() + aSuspect.mCrashes.size() >=
             kCrashesToSerialize
           ? QuarantineStage::kOneAtATime
           : QuarantineStage::kCleared;
}

PermitResponse
QuarantineManager::HandlePermitRequest(const Address& aFrom,
                                       const PermitRequest& aRequest,
                                       const QuarantineTable& aCommitted,
                                       TimePoint aNow)
{
  PermitResponse response{ .mTag = aRequest.mTag,
                           .mVerdict = PermitVerdict::kGranted };
  for (const ContentId& content : aRequest.mContents) {
    if (!PartOf(content) && response.mVerdict == PermitVerdict::kGranted) {
      response.mVerdict =
        HandlePermitRequest(aFrom, content, aRequest, aCommitted, aNow);
    }
  }
  return response;
}

PermitVerdict
QuarantineManager::HandlePermitRequest(const Address& aFrom,
                                       const ContentId& aContent,
                                       const PermitRequest& aRequest,
                                       const QuarantineTable& aCommitted,
                                       TimePoint aNow)
{
  const QuarantineRow* row = aCommitted.Find(aContent);
  const auto suspect = mSuspects.find(aContent);
  const bool listed =
    row != nullptr && row->mChange.mStage != QuarantineStage::kCleared;
  if (!listed || suspect == mSuspects.end() || suspect->second.mAnswered) {
    return PermitVerdict::kGranted;
  }
  auto& permit = suspect->second.mPermit;
  const bool held = permit && permit->mUntil > aNow &&
                    (permit->mFrom != aFrom || permit->mTag != aRequest.mTag);
  if (held || row->mChange.mStage == QuarantineStage::kRefused ||
      StageOf(suspect->second) == QuarantineStage::kRefused) {
    return PermitVerdict::kDenied;
  }
  const Duration wanted = std::chrono::milliseconds(aRequest.mForMs);
  permit = Permit{ .mFrom = aFrom,
                   .mTag = aRequest.mTag,
                   .mUntil = aNow + std::min(wanted, kMaxPermitTime) };
  return PermitVerdict::kGranted;
}

void
QuarantineManager::HandleRunEnded(const Address& aFrom,
                                  const RunEnded& aEnded,
                                  TimePoint aNow)
{
  for (const ContentId& content : aEnded.mContents) {
    HandleRunEnded(aFrom, content, aEnded, aNow);
  }
}

// A complete answer shows that the content does not crash upstreams, so that
// crashes before it had another cause.
void
QuarantineManager::HandleRunEnded(const Address& aFrom,
                                  const ContentId& aContent,
                                  const RunEnded& aEnded,
                                  TimePoint aNow)
{
  const auto found = mSuspects.find(aContent);
  if (found == mSuspects.end()) {
    return;
  }
  Suspect& suspect = found->second;
  if (suspect.mPermit && suspect.mPermit->mFrom == aFrom &&
      suspect.mPermit->mTag == aEnded.mTag) {
    suspect.mPermit.reset();
  }
  if (aEnded.mAnswered) {
    const TimePoint answeredAt =
      aNow - std::chrono::milliseconds(CapAgeMs(aEnded.mAgeMs));
    DropCrashesBefore(answeredAt, suspect);
    mDirty.insert(aContent);
  }
  Touch(aContent, suspect, aNow);
}

void
QuarantineManager::DropCrashesBefore(TimePoint aAnsweredAt, Suspect& aSuspect)
{
  std::erase_if(aSuspect.mCrashes,
                [&](const Crash& aOne) { return aOne.mLostAt <= aAnsweredAt; });
  if (aSuspect.mCommittedUntil <= aAnsweredAt) {
    aSuspect.mCommittedCrashes.clear();
    aSuspect.mCommittedCount = 0;
    aSuspect.mCommittedRefusal = false;
  }
  if (aSuspect.mCrashes.empty() && aSuspect.mCommittedCrashes.empty()) {
    aSuspect = Suspect{ .mAnswered = true, .mTouchedAt = aSuspect.mTouchedAt };
  }
}

void
QuarantineManager::RecordResubmission(const ContentId& aContent, TimePoint aNow)
{
  const auto found = mSuspects.find(aContent);
  if (found != mSuspects.end()) {
    Touch(aContent, found->second, aNow);
  }
}

void
QuarantineManager::Touch(const ContentId& aContent,
                         Suspect& aSuspect,
                         TimePoint aNow)
{
  if (!aSuspect.mTouchedAt || aNow - *aSuspect.mTouchedAt >= kTouchInterval) {
    aSuspect.mTouchedAt = aNow;
    mOrder.emplace_back(aNow, aContent);
  }
}

// Evicts suspects with a single crash first: nearly all of them were merely
// running when an upstream crashed.
void
QuarantineManager::EvictSuspects()
{
  for (std::size_t looked = mOrder.size();
       looked > 0 && mSuspects.size() >= kMaxSuspects;
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
      mDirty.erase(content);
    } else {
      mOrder.emplace_back(touchedAt, content);
    }
  }
}

void
QuarantineManager::ExpireSuspects(TimePoint aNow)
{
  while (!mOrder.empty() && aNow - mOrder.front().first >= kSuspectRetention) {
    const auto [touchedAt, content] = mOrder.front();
    mOrder.pop_front();
    const auto found = mSuspects.find(content);
    if (found == mSuspects.end() || found->second.mTouchedAt > touchedAt) {
      continue;
    }
    Suspect& suspect = found->second;
    const QuarantineStage stage = StageOf(suspect);
    if (stage == QuarantineStage::kRefused &&
        aNow - *suspect.mTouchedAt < kRefusalRetention) {
      mOrder.emplace_back(aNow, content);
    } else if (stage == QuarantineStage::kCleared && !suspect.mAnswered) {
      mSuspects.erase(found);
    } else {
      suspect = Suspect{ .mAnswered = true, .mTouchedAt = aNow };
      mOrder.emplace_back(aNow, content);
      mDirty.insert(content);
    }
  }
}

// Applies changes committed since the last call, by this leader or by an
// operator who lifted a quarantine.
void
QuarantineManager::SyncCommitted(const QuarantineTable& aCommitted)
{
  for (const QuarantineRow& row : aCommitted.mRows) {
    if (row.mNumber <= mAppliedNumber || PartOf(row.mChange.mContent)) {
      continue;
    }
    const ContentId& content = row.mChange.mContent;
    mDirty.insert(content);
    const auto found = mSuspects.find(content);
    if (row.mChange.mStage != QuarantineStage::kCleared) {
      // Without evidence for it, the content is going to be cleared again.
      mSuspects.try_emplace(content);
    } else if (found != mSuspects.end() && !found->second.mAnswered) {
      mSuspects.erase(found);
    }
  }
  mAppliedNumber = aCommitted.mNumber;
}

QuarantineChange
QuarantineManager::ChangeOf(const ContentId& aContent, const Suspect& aSuspect)
{
  QuarantineChange change{ .mContent = aContent,
                           .mStage = StageOf(aSuspect),
                           .mCounted = CountSequential(aSuspect),
                           .mCrashes = aSuspect.mCommittedCrashes };
  for (const Crash& crash : aSuspect.mCrashes) {
    change.mCrashes.push_back(crash.mRecord);
  }
  return change;
}

std::vector<QuarantineChange>
QuarantineManager::PendingChanges(const QuarantineTable& aCommitted,
                                  TimePoint aNow)
{
  ExpireSuspects(aNow);
  SyncCommitted(aCommitted);
  std::vector<QuarantineChange> due;
  std::erase_if(mDirty, [&](const ContentId& aContent) {
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
                          aNow - *suspect.mProposedAt < kProposalRetryInterval;
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
