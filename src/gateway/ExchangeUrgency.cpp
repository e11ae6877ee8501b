// What an engine and its load coordinator are told of a request where
// priorities, deadlines and customers share capacity.

#include "gateway/Exchange.h"
#include "peridotspool/gateway/TokenCounts.h"

namespace peridotspool::gateway {

namespace {

using observe::CounterId;
using routing::UrgencyReason;

/** An engine with fewer of its slots occupied admits a request at once. */
constexpr double kMaxSampledFullness = 0.5;
constexpr unsigned kFirstSuccess = 200;
constexpr unsigned kFirstRedirection = 300;

CounterId
CounterOf(UrgencyReason aReason)
{
  switch (aReason) {
    case UrgencyReason::kNoSlack:
      return CounterId::kUrgencyNoSlack;
    case UrgencyReason::kSlack:
      return CounterId::kUrgencySlack;
    case UrgencyReason::kOverShare:
      return CounterId::kUrgencyOverShare;
    case UrgencyReason::kLate:
      return CounterId::kUrgencyLate;
    case UrgencyReason::kReserved:
      return CounterId::kUrgencyReserved;
    case UrgencyReason::kSmall:
      return CounterId::kUrgencySmall;
  }
  return CounterId::kUrgencyNoSlack;
}

} // namespace

std::uint32_t
Exchange::EffectivePriority() const
{
  return mCustomer != nullptr && mCustomer->mPriority ? *mCustomer->mPriority
                                                      : mRoute->mPriority;
}

// Capacity of machines that upstreams share with others is short at times that
// no operator plans.
bool
Exchange::SharesCapacity() const
{
  return mCore.mScheduling.mShareCapacity &&
         (!mCore.mScheduling.mSharedMachinesOnly ||
          mCore.mSelector.LearnsSpeed(mService));
}

// Returns empty where customers share no capacity.
std::optional<routing::SendAccount>
Exchange::AccountFor(std::uint64_t aPrefillTokens) const
{
  if (!SharesCapacity()) {
    return std::nullopt;
  }
  mCore.mCapacityTerms.Use(mTable);
  const auto counts =
    ParseTokenCounts(FieldOf(mRequest.mFields, mCore.mNames.mTokenCounts));
  std::uint64_t tokens = aPrefillTokens;
  if (counts) {
    tokens += counts->mMaxOutput;
  } else if (mCustomer != nullptr) {
    tokens += static_cast<std::uint64_t>(mCustomer->mDefaultTokens);
  }
  return routing::SendAccount{
    .mCustomer = mCustomer == nullptr ? CustomerName() : mCustomer->mName,
    .mWeight = mCore.mCapacityTerms.WeightOf(mCustomer),
    .mPriority = EffectivePriority(),
    .mTokens = tokens,
    .mIsSmallPrompt =
      mSelectionQuery.mPrompt.Tokens() < routing::kSmallPromptTokens
  };
}

// An answer that isn't a stream tells nothing of the tokens generated, so the
// expected ones stand.
std::optional<std::uint64_t>
Exchange::UsedTokens() const
{
  if (!SharesCapacity()) {
    return std::nullopt;
  }
  if (!mIsStream) {
    const bool isSuccess =
      mHead.mStatus >= kFirstSuccess && mHead.mStatus < kFirstRedirection;
    return isSuccess ? std::nullopt : std::optional<std::uint64_t>(0);
  }
  return mSent.IsPrefilling() ? 0 : mSent.mPrefillTokens + mEvents.EventCount();
}

// A request that passes others finds no backlog, but has to wait for a slot,
// which says nothing of how fast the engine prefills.
void
Exchange::ExcludeRateSample(const UpstreamChoice& aChoice)
{
  if (SharesCapacity() && aChoice.mFullness >= kMaxSampledFullness) {
    mSent.mPrefillQueueWasEmpty = false;
  }
}

void
Exchange::DecideEngineUrgency(const UpstreamChoice& aChoice)
{
  mUrgency.reset();
  if (!SharesCapacity() || !mRoute->mSticky) {
    return;
  }
  mCore.mCapacityTerms.Use(mTable);
  routing::UrgencyQuery query{
    .mRank = mCore.mCapacityTerms.RankOf(EffectivePriority()),
    .mRankCount = mCore.mCapacityTerms.RankCount(),
    .mIsResumed = mBegun || mOrigin.has_value(),
    .mPromptTokens = mSelectionQuery.mPrompt.Tokens(),
    .mReservedShare = mCore.mScheduling.mReservedShare,
    .mSeed = mSelectionQuery.mSeed
  };
  if (mRoute->mTargetLatency > Duration(0)) {
    query.mTimeLeft = mRoute->mTargetLatency - (mCore.mNow() - mArrivedAt);
  }
  if (aChoice.mLoadKnown) {
    query.mExpectedFirstEvent = aChoice.mExpectedFirstEvent;
  }
  const auto share = mSharePercents.find(aChoice.mName);
  if (share != mSharePercents.end()) {
    query.mSharePercent = share->second;
  }
  mUrgency = routing::DecideUrgency(query);
  mCore.mCounters.Add(CounterOf(mUrgency->mReason));
}

std::optional<unsigned>
Exchange::EngineLevel() const
{
  return mUrgency ? std::optional(mUrgency->mLevel) : EnginePriority();
}

const char*
Exchange::LevelReason() const
{
  return mUrgency ? routing::ToText(mUrgency->mReason) : "size";
}

std::int64_t
Exchange::SharePercent() const
{
  const auto share = mSharePercents.find(mUpstream);
  return share == mSharePercents.end() ? -1 : share->second;
}

} // namespace peridotspool::gateway
