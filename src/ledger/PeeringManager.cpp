#include "ledger/PeeringManager.h"

#include "ledger/PeeringChoice.h"
#include "ledger/RecordRules.h"

#include <algorithm>
#include <utility>

namespace peridotspool::ledger {

PeeringManager::PeeringManager(LedgerContext& aContext,
                               ShardPrimary& aPrimary,
                               CopyTransfer& aTransfer)
  : mContext(aContext)
  , mPrimary(aPrimary)
  , mTransfer(aTransfer)
{
}

bool
PeeringManager::Admit(MemberId aFrom, Shard& aShard, EpochNumber aInterval)
{
  if (mContext.mEpoch < aInterval) {
    // This entry has not received the member list yet; the primary resends the
    // message.
    return false;
  }
  if (aInterval < aShard.mInterval) {
    ++mContext.mCounters.mFenced;
    mContext.Send(aFrom,
                  RefusedMessage{
                    { .mShard = aShard.mId, .mInterval = aShard.mInterval } });
    return false;
  }
  if (aInterval > aShard.mInterval && aShard.Primary() == aFrom) {
    // The primary peers again under a later interval number, although the
    // replica set is unchanged.
    aShard.mInterval = aInterval;
    aShard.mFill.reset();
    aShard.mOutOfOrder.clear();
  }
  return true;
}

void
PeeringManager::OnQuery(MemberId aFrom, const QueryMessage& aQuery)
{
  for (const ShardInterval& item : aQuery.mShards) {
    Shard& shard = mContext.ShardAt(item.mShard);
    if (Admit(aFrom, shard, item.mInterval)) {
      mContext.mOutbox.mReports[aFrom].mReports.push_back(
        ReportOf(shard, mContext.mNow));
    }
  }
}

void
PeeringManager::OnReport(MemberId aFrom, const ReportMessage& aMessage)
{
  for (const ShardReport& report : aMessage.mReports) {
    Shard& shard = mContext.ShardAt(report.mShard);
    if (shard.mServing) {
      Release(shard, aFrom, report);
      continue;
    }
    if (!shard.mRound || aMessage.mEpoch < shard.mInterval) {
      continue;
    }
    shard.mRound->mReports[aFrom] = report;
    if (shard.mRound->mPhase == PeeringPhase::kQuerying) {
      TryChoose(shard);
    }
  }
}

void
PeeringManager::Query(Shard& aShard, MemberId aMember)
{
  if (aMember != mContext.mSelf && mContext.IsMember(aMember) &&
      !aShard.mRound->mReports.contains(aMember)) {
    mContext.mOutbox.mQueries[aMember].mShards.push_back(
      { .mShard = aShard.mId, .mInterval = aShard.mInterval });
  }
}

void
PeeringManager::QueryLikelyHolders(Shard& aShard)
{
  std::set<MemberId> likely(aShard.mSet.begin(), aShard.mSet.end());
  likely.insert(aShard.mActivatedSet.begin(), aShard.mActivatedSet.end());
  for (const PastSet& past : aShard.mLater) {
    likely.insert(past.mMembers.begin(), past.mMembers.end());
  }
  for (const auto& [member, report] : aShard.mRound->mReports) {
    likely.insert(report.mActivatedSet.begin(), report.mActivatedSet.end());
    for (const PastSet& past : report.mLater) {
      likely.insert(past.mMembers.begin(), past.mMembers.end());
    }
  }
  for (const MemberId member : likely) {
    Query(aShard, member);
  }
}

void
PeeringManager::QueryAll(Shard& aShard)
{
  aShard.mRound->mQueriedAll = true;
  for (const MemberId member : mContext.mMembers) {
    Query(aShard, member);
  }
}

void
PeeringManager::TryChoose(Shard& aShard)
{
  PeeringRound& round = *aShard.mRound;
  const PeeringChoice choice =
    ChooseSource({ .mRule = mContext.mOptions.mCommitRule,
                   .mSet = aShard.mSet,
                   .mMembers = mContext.mMembers,
                   .mReports = round.mReports });
  if (!choice.mReady) {
    return;
  }
  for (const auto& [member, report] : round.mReports) {
    aShard.mLossUntil =
      std::max(aShard.mLossUntil, mContext.mNow + report.mLossRemaining);
  }
  round.mMayMissCommits = choice.mMayMissCommits;
  if (choice.mMayMissCommits) {
    ++mContext.mCounters.mPossibleLosses;
    aShard.mLossUntil = mContext.mNow + mContext.mOptions.mLossWindow;
  }
  if (!choice.mSource.IsSet() || choice.mSource == mContext.mSelf) {
    Activate(aShard);
    return;
  }
  round.mPhase = PeeringPhase::kFilling;
  mTransfer.Start(aShard, choice.mSource);
}

// The copy may predate an intent that was committed and then lost with its
// replicas; running the request again would duplicate an order, for example
// after many instances are reclaimed. Each unfinished non-idempotent request
// therefore gets an intent that cannot be voided: the request can still be
// answered, but it is neither sent again nor reported as not run. The marks get
// positions in the log, so that the replicas fetch them.
void
PeeringManager::MarkMayHaveRun(Shard& aShard)
{
  std::vector<RequestKey> keys;
  for (const auto& [alarm, key] : aShard.mStore.Unfinished()) {
    const RequestRecord& record = aShard.mStore.Find(*key)->mRecord;
    if (!record.mTerms.mIdempotent && !HasStandingIntent(record)) {
      keys.push_back(*key);
    }
  }
  for (const RequestKey& key : keys) {
    aShard.mStore.MarkMayHaveRun(key);
    aShard.mLog.Append(
      { .mVersion = { .mInterval = aShard.mInterval,
                      .mSequence = aShard.mLog.Last().mSequence.Next() },
        .mKey = key },
      mContext.mOptions.mLogEntries);
  }
}

void
PeeringManager::Activate(Shard& aShard)
{
  if (aShard.mRound->mMayMissCommits) {
    MarkMayHaveRun(aShard);
  }
  RecordActivation(aShard);
  aShard.mRound->mPhase = PeeringPhase::kActivating;
  aShard.mRound->mNextResend =
    mContext.mNow + mContext.mOptions.mResendInterval;
  aShard.mRound->mActivated = { mContext.mSelf };
  if (aShard.mSet.size() == 1) {
    const auto reports = aShard.mRound->mReports;
    mPrimary.Serve(aShard);
    for (const auto& [member, report] : reports) {
      Release(aShard, member, report);
    }
    return;
  }
  for (const MemberId member : aShard.mSet) {
    RequestActivation(aShard, member);
  }
}

void
PeeringManager::RequestActivation(Shard& aShard, MemberId aMember)
{
  if (!aShard.mRound->mActivated.contains(aMember)) {
    mContext.mOutbox.mActivates[aMember].mShards.push_back(
      { .mShard = aShard.mId,
        .mInterval = aShard.mInterval,
        .mTarget = aShard.mLog.Last(),
        .mLossRemaining =
          std::max(Duration::zero(), aShard.mLossUntil - mContext.mNow) });
  }
}

void
PeeringManager::OnActivate(MemberId aFrom, const ActivateMessage& aActivate)
{
  for (const ShardActivation& item : aActivate.mShards) {
    Shard& shard = mContext.ShardAt(item.mShard);
    if (!Admit(aFrom, shard, item.mInterval) || shard.Primary() != aFrom) {
      continue;
    }
    if (item.mLossRemaining > Duration::zero()) {
      shard.mLossUntil = mContext.mNow + item.mLossRemaining;
    }
    if (shard.IsActive() || shard.mLog.Last() == item.mTarget) {
      RecordAndReply(shard);
    } else {
      mTransfer.Start(shard, aFrom);
    }
  }
}

void
PeeringManager::RecordAndReply(Shard& aShard)
{
  if (!aShard.IsActive()) {
    RecordActivation(aShard);
  }
  mContext.mOutbox.mActivated[aShard.Primary()].mShards.push_back(
    { .mShard = aShard.mId, .mInterval = aShard.mInterval });
}

void
PeeringManager::OnFilled(Shard& aShard)
{
  if (aShard.mRound && aShard.mRound->mPhase == PeeringPhase::kFilling) {
    Activate(aShard);
  } else if (!aShard.mRound && aShard.Includes(mContext.mSelf)) {
    RecordAndReply(aShard);
  }
}

void
PeeringManager::OnActivated(MemberId aFrom, const ActivatedMessage& aActivated)
{
  for (const ShardInterval& item : aActivated.mShards) {
    Shard& shard = mContext.ShardAt(item.mShard);
    if (!shard.mRound || item.mInterval != shard.mInterval ||
        shard.mRound->mPhase != PeeringPhase::kActivating) {
      continue;
    }
    std::set<MemberId>& activated = shard.mRound->mActivated;
    activated.insert(aFrom);
    const bool all =
      std::all_of(shard.mSet.begin(), shard.mSet.end(), [&](MemberId aMember) {
        return activated.contains(aMember);
      });
    if (all) {
      const auto reports = std::move(shard.mRound->mReports);
      mPrimary.Serve(shard);
      for (const auto& [member, report] : reports) {
        Release(shard, member, report);
      }
    }
  }
}

void
PeeringManager::OnRefused(const RefusedMessage& aRefused)
{
  Shard& shard = mContext.ShardAt(aRefused.mShard.mShard);
  const EpochNumber theirs = aRefused.mShard.mInterval;
  const bool mine = shard.Primary() == mContext.mSelf;
  // The rejecting member missed an epoch in which, as this entry knows, nothing
  // changed for this shard, so it cannot trust the interval. Peers again under
  // a number that the member admits.
  if (mine && theirs > shard.mInterval && theirs <= mContext.mEpoch) {
    BeginInterval(shard, mContext.mEpoch);
  }
}

void
PeeringManager::Release(Shard& aShard,
                        MemberId aMember,
                        const ShardReport& aReport)
{
  const bool superseded = aReport.mActivated.IsSet() &&
                          aReport.mActivated < aShard.mInterval &&
                          !aShard.Includes(aMember);
  if (superseded) {
    mContext.mOutbox.mReleases[aMember].mShards.push_back(
      { .mShard = aShard.mId, .mInterval = aShard.mInterval });
  }
}

void
PeeringManager::OnRelease(MemberId aFrom, const ReleaseMessage& aRelease)
{
  for (const ShardInterval& item : aRelease.mShards) {
    Shard& shard = mContext.ShardAt(item.mShard);
    if (shard.Primary() == aFrom && !shard.Includes(mContext.mSelf) &&
        shard.mActivated < item.mInterval) {
      const HeldBytesGuard guard(mContext, shard);
      DropCopy(shard);
    }
  }
}

void
PeeringManager::OnTick(Shard& aShard)
{
  const bool leftover = aShard.HoldsCopy() &&
                        !aShard.Includes(mContext.mSelf) &&
                        aShard.Primary().IsSet();
  if (leftover && aShard.mNextLeftover <= mContext.mNow) {
    aShard.mNextLeftover = mContext.mNow + mContext.mOptions.mLeftoverInterval;
    mContext.mOutbox.mReports[aShard.Primary()].mReports.push_back(
      ReportOf(aShard, mContext.mNow));
  }
  if (!aShard.mRound || aShard.mRound->mNextResend > mContext.mNow) {
    return;
  }
  PeeringRound& round = *aShard.mRound;
  round.mNextResend = mContext.mNow + mContext.mOptions.mResendInterval;
  if (round.mPhase == PeeringPhase::kQuerying) {
    // The reports of the likely holders were not sufficient; another member may
    // hold a copy.
    QueryAll(aShard);
  } else if (round.mPhase == PeeringPhase::kActivating) {
    for (const MemberId member : aShard.mSet) {
      RequestActivation(aShard, member);
    }
  }
}

} // namespace peridotspool::ledger
