#include "peridotspool/routing/PromptPartSuspects.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace peridotspool::routing {

namespace {

/** A crashing part may come once in hours. */
constexpr Duration kRetention = std::chrono::hours(24);
constexpr Duration kExpiryInterval = std::chrono::minutes(1);
/** By then entries have told of the answers that they remember. */
constexpr Duration kAnswerWindow = std::chrono::milliseconds(400);
/** A suspect takes some 300 bytes. */
constexpr std::size_t kMaxSuspects = 8192;
constexpr std::size_t kMaxPromptCrashes = 256;
constexpr std::uint32_t kMaxAgeMs = 600000;

TimePoint
Ago(TimePoint aNow, std::uint32_t aAgeMs)
{
  return aNow - std::chrono::milliseconds(std::min(aAgeMs, kMaxAgeMs));
}

PartEvidence
CommittedEvidence(const QuarantineChange& aChange, TimePoint aNow)
{
  std::vector<PartCrash> crashes;
  for (const CrashRecord& record : aChange.mCrashes) {
    // Which customer had which crash isn't committed, only who had some.
    const std::size_t at = crashes.size();
    crashes.push_back(
      { .mUpstream = { .mName = record.mUpstream,
                       .mIncarnation = record.mIncarnation },
        .mCustomer = aChange.mCustomers.empty()
                       ? CustomerName()
                       : aChange.mCustomers[at % aChange.mCustomers.size()],
        .mSeenBy = record.mSeenBy });
  }
  return { std::move(crashes), aChange.mCounted, aNow };
}

} // namespace

PromptPartSuspects::PromptPartSuspects(const QuarantineTable& aCommitted,
                                       TimePoint aNow)
  : mAppliedNumber(aCommitted.mNumber)
{
  for (const QuarantineRow& row : aCommitted.mRows) {
    const auto part = PartOf(row.mChange.mContent);
    if (!part || row.mChange.mStage == QuarantineStage::kCleared) {
      continue;
    }
    Suspect& suspect = mSuspects[*part];
    suspect.mCase = { .mEvidence = CommittedEvidence(row.mChange, aNow),
                      .mAnsweredBefore = row.mChange.mAnsweredBefore };
    suspect.mCommittedStage = row.mChange.mStage;
    suspect.mListedAt = aNow;
    suspect.mOthersAllowed = row.mChange.mOthersAllowed;
    suspect.mLatePermitsUsed = row.mChange.mLatePermits;
    suspect.mLatePermitsWanted = row.mChange.mLatePermits;
    suspect.mTouchedAt = aNow;
    for (const CrashRecord& crash : row.mChange.mCrashes) {
      RecordPromptCrash(
        { .mName = crash.mUpstream, .mIncarnation = crash.mIncarnation }, aNow);
    }
  }
  Judge(aNow);
}

PromptPartSuspects::Suspect*
PromptPartSuspects::Find(const ContentId& aContent)
{
  const auto part = PartOf(aContent);
  const auto found = part ? mSuspects.find(*part) : mSuspects.end();
  return found == mSuspects.end() ? nullptr : &found->second;
}

void
PromptPartSuspects::RecordPromptCrash(const UpstreamIncarnation& aUpstream,
                                      TimePoint aLostAt)
{
  const bool isKnown =
    std::any_of(mCrashes.begin(), mCrashes.end(), [&](const PromptCrash& aOne) {
      return aOne.mUpstream == aUpstream;
    });
  if (isKnown) {
    return;
  }
  if (mCrashes.size() >= kMaxPromptCrashes) {
    mCrashes.erase(mCrashes.begin());
  }
  mCrashes.push_back({ .mUpstream = aUpstream, .mLostAt = aLostAt });
}

void
PromptPartSuspects::HandleCrash(const Address& aFrom,
                                const ReportedCrash& aReported,
                                TimePoint aNow)
{
  if (aReported.mParts.empty()) {
    return;
  }
  const PartCrash crash{ .mUpstream = { .mName = aReported.mUpstream,
                                        .mIncarnation =
                                          aReported.mIncarnation },
                         .mCustomer = aReported.mCustomer,
                         .mSeenBy = ToText(aFrom),
                         .mSentAt = Ago(aNow, aReported.mSentAgeMs),
                         .mLostAt = Ago(aNow, aReported.mLostAgeMs),
                         .mHadPermit = aReported.mHadPermit };
  RecordPromptCrash(crash.mUpstream, crash.mLostAt);
  for (const PromptPartId part : aReported.mParts) {
    Suspect& suspect = mSuspects[part];
    suspect.mTouchedAt = aNow;
    if (suspect.mPermit && suspect.mPermit->mFrom == aFrom &&
        aReported.mHadPermit) {
      suspect.mPermit.reset();
    }
    if (suspect.mAnsweredAt && crash.mLostAt <= *suspect.mAnsweredAt) {
      continue;
    }
    mIsDirty = suspect.mCase.mEvidence.Add(crash) || mIsDirty;
  }
  Evict();
}

void
PromptPartSuspects::HandleRunEnded(const Address& aFrom,
                                   const RunEnded& aEnded,
                                   TimePoint aNow)
{
  for (const ContentId& content : aEnded.mContents) {
    Suspect* const suspect = Find(content);
    if (suspect == nullptr) {
      continue;
    }
    suspect->mTouchedAt = aNow;
    if (suspect->mPermit && suspect->mPermit->mFrom == aFrom &&
        suspect->mPermit->mTag == aEnded.mTag) {
      suspect->mPermit.reset();
      suspect->mHadInconclusiveRun =
        suspect->mHadInconclusiveRun || !aEnded.mAnswered;
    }
    if (aEnded.mAnswered) {
      ApplyAnswer(*suspect, aEnded.mCustomer, Ago(aNow, aEnded.mAgeMs));
    }
  }
}

// Once a part is refused for one customer, whoever names the same part in other
// requests can't have it run again for that customer.
void
PromptPartSuspects::ApplyAnswer(Suspect& aSuspect,
                                const CustomerName& aCustomer,
                                TimePoint aAnsweredAt)
{
  PartEvidence& evidence = aSuspect.mCase.mEvidence;
  const std::vector<CustomerName> customers = evidence.Customers();
  mIsDirty = true;
  if (aSuspect.mVerdict.mStage == QuarantineStage::kRefused &&
      customers.size() == 1 && customers.front().IsSet() &&
      customers.front() != aCustomer) {
    aSuspect.mOthersAllowed = aSuspect.mOthersAllowed || aCustomer.IsSet();
    return;
  }
  if (!evidence.IsEmpty() && aAnsweredAt < evidence.Crashes().front().mLostAt) {
    aSuspect.mCase.mAnsweredBefore = true;
    return;
  }
  aSuspect.mAnsweredAt =
    std::max(aSuspect.mAnsweredAt.value_or(aAnsweredAt), aAnsweredAt);
  evidence.DropBefore(aAnsweredAt);
  aSuspect.mCase.mAnsweredBefore = true;
  if (evidence.IsEmpty()) {
    aSuspect.mVerdict = { .mStage = QuarantineStage::kCleared };
    aSuspect.mSerializedAt.reset();
    aSuspect.mOthersAllowed = false;
    aSuspect.mLatePermitsUsed = 0;
    aSuspect.mLatePermitsWanted = 0;
  }
}

void
PromptPartSuspects::RecordResubmission(PromptPartId aPart, TimePoint aNow)
{
  const auto found = mSuspects.find(aPart);
  if (found != mSuspects.end()) {
    found->second.mTouchedAt = aNow;
  }
}

bool
PromptPartSuspects::IsRipe(const Suspect& aSuspect, TimePoint aNow)
{
  return aSuspect.mListedAt && aNow - *aSuspect.mListedAt >= kAnswerWindow;
}

// Until entries have told of their answers, the stage stays as committed.
PartVerdict
PromptPartSuspects::UnripeVerdict(const Suspect& aSuspect)
{
  const PartEvidence& evidence = aSuspect.mCase.mEvidence;
  if (evidence.IsEmpty()) {
    return { .mStage = QuarantineStage::kCleared };
  }
  return { .mStage = aSuspect.mCommittedStage == QuarantineStage::kCleared
                       ? QuarantineStage::kWatched
                       : aSuspect.mCommittedStage,
           .mCounted = evidence.CountConsecutive({}),
           .mCrashes = static_cast<std::uint32_t>(evidence.Crashes().size()) };
}

// A part that was refused stays so while no other part explains its crashes:
// later crashes of other causes are no evidence for it.
PartVerdict
PromptPartSuspects::RipeVerdict(const Suspect& aSuspect,
                                const PartVerdict& aJudged)
{
  PartVerdict verdict = aJudged;
  if (verdict.mStage == QuarantineStage::kOneAtATime && verdict.mGroup == 0 &&
      aSuspect.mCommittedStage == QuarantineStage::kRefused) {
    verdict.mStage = QuarantineStage::kRefused;
  }
  return verdict;
}

void
PromptPartSuspects::Judge(TimePoint aNow)
{
  std::map<PromptPartId, PartCase> cases;
  mIsUnripe = false;
  for (const auto& [part, suspect] : mSuspects) {
    const bool isRipe = IsRipe(suspect, aNow);
    mIsUnripe = mIsUnripe || (!isRipe && suspect.mListedAt);
    if (isRipe && suspect.mCase.mEvidence.Crashes().size() > 1) {
      cases[part] = suspect.mCase;
    }
  }
  const auto verdicts = JudgeParts(cases, mCrashes);
  for (auto& [part, suspect] : mSuspects) {
    const auto judged = verdicts.find(part);
    if (judged != verdicts.end()) {
      suspect.mVerdict = RipeVerdict(suspect, judged->second);
    } else if (IsRipe(suspect, aNow) && !suspect.mCase.mEvidence.IsEmpty()) {
      suspect.mVerdict = { .mStage = QuarantineStage::kWatched };
    } else {
      suspect.mVerdict = UnripeVerdict(suspect);
    }
    if (suspect.mVerdict.mStage != QuarantineStage::kOneAtATime) {
      suspect.mSerializedAt.reset();
    } else if (!suspect.mSerializedAt) {
      suspect.mSerializedAt = aNow;
    }
  }
}

void
PromptPartSuspects::Expire(TimePoint aNow)
{
  if (aNow - mExpiredAt < kExpiryInterval) {
    return;
  }
  mExpiredAt = aNow;
  std::erase_if(mSuspects, [&](const auto& aPair) {
    return aNow - aPair.second.mTouchedAt >= kRetention;
  });
}

// Evicts many at once, as each search looks at all. Those with the fewest
// crashes were merely running when an upstream crashed.
void
PromptPartSuspects::Evict()
{
  if (mSuspects.size() <= kMaxSuspects) {
    return;
  }
  std::vector<std::tuple<std::size_t, TimePoint, PromptPartId>> ranked;
  ranked.reserve(mSuspects.size());
  for (const auto& [part, suspect] : mSuspects) {
    ranked.emplace_back(
      suspect.mCase.mEvidence.Crashes().size(), suspect.mTouchedAt, part);
  }
  constexpr std::size_t kEvictedShare = 8;
  const auto last =
    ranked.begin() + static_cast<std::ptrdiff_t>(kMaxSuspects / kEvictedShare);
  std::nth_element(ranked.begin(), last, ranked.end());
  for (auto one = ranked.begin(); one != last; ++one) {
    mSuspects.erase(std::get<PromptPartId>(*one));
  }
}

} // namespace peridotspool::routing
