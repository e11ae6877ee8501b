// Changes of the committed table that the judgement of parts asks for.

#include "peridotspool/routing/PromptPartSuspects.h"

#include <algorithm>
#include <utility>

namespace peridotspool::routing {

namespace {

constexpr Duration kProposalRetryInterval = std::chrono::seconds(1);
/** Bounds what a crash of many upstreams makes the log write and entries
 * receive. */
constexpr std::size_t kMaxChanges = 128;
constexpr std::size_t kMaxWatched = 256;

} // namespace

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
    if (row == aRows.end() &&
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

// Returns the watched parts in the table, the one with the most crashes first.
std::vector<PromptPartId>
PromptPartSuspects::WatchedParts(const Rows& aRows) const
{
  std::vector<std::pair<std::size_t, PromptPartId>> ranked;
  for (const auto& [part, change] : aRows) {
    if (change->mStage == QuarantineStage::kWatched) {
      ranked.emplace_back(change->mCrashes.size(), part);
    }
  }
  std::sort(ranked.rbegin(), ranked.rend());
  std::vector<PromptPartId> parts;
  parts.reserve(ranked.size());
  for (const auto& [crashes, part] : ranked) {
    parts.push_back(part);
  }
  return parts;
}

// Drops the least suspect part that is watched if it has fewer crashes than
// another one. Returns true iff there is room for that one.
bool
PromptPartSuspects::MakeRoom(std::size_t aCrashes,
                             const Rows& aRows,
                             std::vector<PromptPartId>& aWatched)
{
  if (aWatched.empty()) {
    return false;
  }
  const PromptPartId weakest = aWatched.back();
  if (aRows.at(weakest)->mCrashes.size() >= aCrashes) {
    return false;
  }
  aWatched.pop_back();
  mSuspects.erase(weakest);
  return true;
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
  mIsUnsettled = false;
  Rows rows;
  for (const QuarantineRow& row : aCommitted.mRows) {
    const auto part = PartOf(row.mChange.mContent);
    if (part && row.mChange.mStage != QuarantineStage::kCleared) {
      rows[*part] = &row.mChange;
    }
  }
  std::vector<PromptPartId> watched = WatchedParts(rows);
  std::size_t added = 0;
  std::vector<QuarantineChange> due;
  for (auto& [part, change] : Differences(rows)) {
    const auto suspect = mSuspects.find(part);
    const bool isNew =
      change.mStage == QuarantineStage::kWatched && !rows.contains(part);
    if (suspect == mSuspects.end() ||
        (isNew && watched.size() + added >= kMaxWatched &&
         !MakeRoom(change.mCrashes.size(), rows, watched))) {
      continue;
    }
    mIsUnsettled = true;
    const bool isProposed =
      suspect->second.mProposed == change &&
      aNow - suspect->second.mProposedAt < kProposalRetryInterval;
    if (!isProposed && due.size() < kMaxChanges) {
      added += isNew ? 1 : 0;
      suspect->second.mProposed = change;
      suspect->second.mProposedAt = aNow;
      due.push_back(std::move(change));
    }
  }
  for (const auto& [part, change] : rows) {
    if (!mSuspects.contains(part) && due.size() < kMaxChanges) {
      mIsUnsettled = true;
      due.push_back({ .mContent = ContentOf(part) });
    }
  }
  return due;
}

} // namespace peridotspool::routing
