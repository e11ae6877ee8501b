#include "peridotspool/routing/PromptPartSuspects.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace peridotspool::routing {

namespace {

constexpr Duration kMaxPermitTime = std::chrono::seconds(30);
constexpr Duration kProposalRetryInterval = std::chrono::seconds(1);
/** A crashing part may come once in hours. */
constexpr Duration kRetention = std::chrono::hours(24);
/**
 * A request with several parts that the crashes don't tell apart shows little,
 * so it waits for this long while requests with one of them go first.
 */
constexpr Duration kSeparationTime = std::chrono::seconds(5);
/** Requests with a part may be sent so often once it has counted enough
 * crashes to be refused, and once more if one of them showed nothing. */
constexpr std::uint32_t kMaxLatePermits = 2;
/** Late permits are given when the upstreams that crashed are back and the
 * requests that were in flight are over. */
constexpr Duration kQuietBeforeLatePermit = std::chrono::milliseconds(1500);
constexpr Duration kLatePermitInterval = std::chrono::seconds(3);
/** A crash may be known to nobody, as the entry that saw it failed too. */
constexpr std::uint32_t kMissedCrashes = 1;
/** By then entries have told of the answers that they remember. */
constexpr Duration kAnswerWindow = std::chrono::milliseconds(400);
/** A suspect takes some 300 bytes. */
constexpr std::size_t kMaxSuspects = 8192;
constexpr std::size_t kMaxPromptCrashes = 256;
constexpr std::uint32_t kMaxAgeMs = 600000;
/** Bounds what a crash of many upstreams makes the log write and entries
 * receive. */
constexpr std::size_t kMaxChanges = 128;
constexpr std::size_t kMaxListed = 256;

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

bool
IsLate(const PartVerdict& aVerdict)
{
  return aVerdict.mStage == QuarantineStage::kRefused ||
         aVerdict.mCrashes + kMissedCrashes >= kMaxPartCrashes;
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

PermitVerdict
PromptPartSuspects::CheckPermit(const Address& aFrom,
                                const PermitRequest& aRequest,
                                const QuarantineTable& aCommitted,
                                TimePoint aNow)
{
  PermitVerdict worst = CheckGroup(aRequest, aNow);
  for (const ContentId& content : aRequest.mContents) {
    Suspect* const suspect = Find(content);
    const QuarantineRow* row = aCommitted.Find(content);
    if (suspect == nullptr || row == nullptr ||
        row->mChange.mStage == QuarantineStage::kCleared ||
        worst != PermitVerdict::kGranted) {
      continue;
    }
    worst =
      CheckPermit(*suspect, aFrom, aRequest, row->mChange.mLatePermits, aNow);
  }
  return worst;
}

// Of parts that the crashes don't tell apart, at least one crashes upstreams,
// and so does a request with all of them.
PermitVerdict
PromptPartSuspects::CheckGroup(const PermitRequest& aRequest, TimePoint aNow)
{
  std::map<std::uint64_t, std::size_t> members;
  PermitVerdict verdict = PermitVerdict::kGranted;
  for (const ContentId& content : aRequest.mContents) {
    const Suspect* const suspect = Find(content);
    if (suspect == nullptr || suspect->mVerdict.mGroup == 0 ||
        ++members[suspect->mVerdict.mGroup] < 2) {
      continue;
    }
    if (IsLate(suspect->mVerdict)) {
      return PermitVerdict::kRefused;
    }
    if (aNow - suspect->mSerializedAt.value_or(aNow) < kSeparationTime) {
      verdict = PermitVerdict::kDenied;
    }
  }
  return verdict;
}

PermitVerdict
PromptPartSuspects::CheckPermit(Suspect& aSuspect,
                                const Address& aFrom,
                                const PermitRequest& aRequest,
                                std::uint32_t aCommittedPermits,
                                TimePoint aNow)
{
  const auto customers = aSuspect.mCase.mEvidence.Customers();
  const bool isOthers = customers.size() == 1 && customers.front().IsSet() &&
                        customers.front() != aRequest.mCustomer;
  if (aSuspect.mVerdict.mStage == QuarantineStage::kRefused && !isOthers) {
    return PermitVerdict::kRefused;
  }
  const auto& permit = aSuspect.mPermit;
  if (permit && permit->mUntil > aNow &&
      (permit->mFrom != aFrom || permit->mTag != aRequest.mTag)) {
    return PermitVerdict::kDenied;
  }
  if (!IsLate(aSuspect.mVerdict) || (permit && permit->mUntil > aNow)) {
    return PermitVerdict::kGranted;
  }
  return CheckLatePermit(aSuspect, aCommittedPermits, aNow);
}

// A late permit is committed before it is given, so that the next leader
// doesn't give it again.
PermitVerdict
PromptPartSuspects::CheckLatePermit(Suspect& aSuspect,
                                    std::uint32_t aCommittedPermits,
                                    TimePoint aNow)
{
  if (aSuspect.mLatePermitsUsed < aCommittedPermits) {
    return PermitVerdict::kGranted;
  }
  const std::uint32_t most =
    kMaxLatePermits + (aSuspect.mHadInconclusiveRun ? 1 : 0);
  if (aSuspect.mLatePermitsUsed >= most) {
    return PermitVerdict::kRefused;
  }
  const auto& crashes = aSuspect.mCase.mEvidence.Crashes();
  const bool isQuiet =
    crashes.empty() || aNow - crashes.back().mLostAt >= kQuietBeforeLatePermit;
  if (isQuiet && aNow - aSuspect.mLatePermitAt >= kLatePermitInterval) {
    aSuspect.mLatePermitsWanted = aSuspect.mLatePermitsUsed + 1;
    mIsDirty = true;
  }
  return PermitVerdict::kDenied;
}

void
PromptPartSuspects::Grant(const Address& aFrom,
                          const PermitRequest& aRequest,
                          TimePoint aNow)
{
  const Duration wanted = std::chrono::milliseconds(aRequest.mForMs);
  for (const ContentId& content : aRequest.mContents) {
    Suspect* const suspect = Find(content);
    if (suspect == nullptr) {
      continue;
    }
    const bool isRepeated = suspect->mPermit &&
                            suspect->mPermit->mFrom == aFrom &&
                            suspect->mPermit->mTag == aRequest.mTag;
    if (IsLate(suspect->mVerdict) && !isRepeated) {
      ++suspect->mLatePermitsUsed;
      suspect->mLatePermitAt = aNow;
    }
    suspect->mPermit =
      Permit{ .mFrom = aFrom,
              .mTag = aRequest.mTag,
              .mUntil = aNow + std::min(wanted, kMaxPermitTime) };
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
    mIsUnripe = mIsUnripe || (!isRipe && !suspect.mCase.mEvidence.IsEmpty());
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

// Applies changes committed since the last call, by this leader or by an
// operator who lifted a quarantine.
void
PromptPartSuspects::SyncCommitted(const QuarantineTable& aCommitted,
                                  TimePoint aNow)
{
  for (const QuarantineRow& row : aCommitted.mRows) {
    if (row.mNumber <= mAppliedNumber) {
      continue;
    }
    const auto part = PartOf(row.mChange.mContent);
    if (!part) {
      continue;
    }
    mIsDirty = true;
    const auto found = mSuspects.find(*part);
    if (found == mSuspects.end()) {
      continue;
    }
    const auto& proposed = found->second.mProposed;
    const bool isOwn = proposed && proposed->mStage == row.mChange.mStage;
    found->second.mProposed.reset();
    found->second.mCommittedStage = row.mChange.mStage;
    if (row.mChange.mStage == QuarantineStage::kCleared) {
      found->second.mListedAt.reset();
    } else if (!found->second.mListedAt) {
      found->second.mListedAt = aNow;
    }
    if (row.mChange.mStage == QuarantineStage::kCleared && !isOwn) {
      mSuspects.erase(found);
    }
  }
  mAppliedNumber = aCommitted.mNumber;
}

void
PromptPartSuspects::Expire(TimePoint aNow)
{
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

QuarantineChange
PromptPartSuspects::ChangeOf(PromptPartId aPart, const Suspect& aSuspect)
{
  const PartEvidence& evidence = aSuspect.mCase.mEvidence;
  QuarantineChange change{ .mContent = ContentOf(aPart),
                           .mStage = aSuspect.mVerdict.mStage,
                           .mCounted = evidence.CountConsecutive({}),
                           .mCustomers = evidence.Customers(),
                           .mOthersAllowed = aSuspect.mOthersAllowed,
                           .mAnsweredBefore = aSuspect.mCase.mAnsweredBefore,
                           .mLatePermits = aSuspect.mLatePermitsWanted };
  for (const PartCrash& crash : evidence.Crashes()) {
    if (change.mCrashes.size() < kMaxRecordedCrashes) {
      change.mCrashes.push_back({ .mUpstream = crash.mUpstream.mName,
                                  .mIncarnation = crash.mUpstream.mIncarnation,
                                  .mSeenBy = crash.mSeenBy });
    }
  }
  return change;
}

// Returns the suspects whose rows differ from the table, the most suspect
// first.
std::vector<std::pair<PromptPartId, QuarantineChange>>
PromptPartSuspects::Differences(const Rows& aRows) const
{
  std::vector<std::pair<PromptPartId, QuarantineChange>> changes;
  for (const auto& [part, suspect] : mSuspects) {
    const auto row = aRows.find(part);
    const QuarantineStage committed =
      row == aRows.end() ? QuarantineStage::kCleared : row->second->mStage;
    if (committed == QuarantineStage::kCleared &&
        suspect.mVerdict.mStage == QuarantineStage::kCleared) {
      continue;
    }
    QuarantineChange change = ChangeOf(part, suspect);
    if (row == aRows.end() || *row->second != change) {
      changes.emplace_back(part, std::move(change));
    }
  }
  std::stable_sort(
    changes.begin(), changes.end(), [](const auto& aOne, const auto& aOther) {
      return aOne.second.mCrashes.size() > aOther.second.mCrashes.size();
    });
  return changes;
}

std::vector<QuarantineChange>
PromptPartSuspects::PendingChanges(const QuarantineTable& aCommitted,
                                   TimePoint aNow)
{
  Expire(aNow);
  SyncCommitted(aCommitted, aNow);
  if (!std::exchange(mIsDirty, false) && !mIsUnsettled && !mIsUnripe) {
    return {};
  }
  Judge(aNow);
  Rows rows;
  std::size_t listed = 0;
  std::vector<QuarantineChange> due;
  for (const QuarantineRow& row : aCommitted.mRows) {
    const auto part = PartOf(row.mChange.mContent);
    if (!part) {
      continue;
    }
    rows[*part] = &row.mChange;
    if (row.mChange.mStage != QuarantineStage::kCleared) {
      ++listed;
      if (!mSuspects.contains(*part) && due.size() < kMaxChanges) {
        due.push_back({ .mContent = row.mChange.mContent });
      }
    }
  }
  auto differences = Differences(rows);
  mIsUnsettled = !differences.empty() || !due.empty();
  for (auto& [part, change] : differences) {
    const bool isNew = !rows.contains(part);
    Suspect& suspect = mSuspects.at(part);
    const bool isProposed = suspect.mProposed == change &&
                            aNow - suspect.mProposedAt < kProposalRetryInterval;
    if (isProposed || due.size() >= kMaxChanges ||
        (isNew && change.mCrashes.size() == 1 && listed >= kMaxListed)) {
      continue;
    }
    listed += isNew ? 1 : 0;
    suspect.mProposed = change;
    suspect.mProposedAt = aNow;
    due.push_back(std::move(change));
  }
  return due;
}

} // namespace peridotspool::routing
