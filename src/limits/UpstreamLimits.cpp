#include "peridotspool/limits/UpstreamLimits.h"

namespace peridotspool::limits {

LimitChange
UpstreamLimits::RecordResponse(const StatedBy& aBy,
                               const RateStatement& aStatement,
                               TimePoint aNow)
{
  const auto known = mLimits.find(aBy.mUpstream);
  if (known != mLimits.end() && aBy.mIncarnation < known->second.mIncarnation) {
    return LimitChange::kNone;
  }
  switch (aStatement.mKind) {
    case RateStatement::Kind::kInvalid:
      return RecordInvalid(aBy);
    case RateStatement::Kind::kNone:
      return RecordNoLimit(aBy);
    case RateStatement::Kind::kLimit:
      break;
  }
  mInvalid.erase(aBy.mUpstream);
  KnownLimit& limit = mLimits[aBy.mUpstream];
  const bool changed = limit.mPerSecond != aStatement.mPerSecond ||
                       limit.mIncarnation != aBy.mIncarnation;
  limit = { .mIncarnation = aBy.mIncarnation,
            .mPerSecond = aStatement.mPerSecond,
            .mStatedAt = aNow };
  return changed ? LimitChange::kSet : LimitChange::kNone;
}

// Responses overtake each other: one to a request that was sent before the
// limit was last stated may be older than that statement.
LimitChange
UpstreamLimits::RecordNoLimit(const StatedBy& aBy)
{
  const auto known = mLimits.find(aBy.mUpstream);
  if (!aBy.mIsGenuine || known == mLimits.end() ||
      aBy.mSentAt <= known->second.mStatedAt) {
    return LimitChange::kNone;
  }
  mLimits.erase(known);
  mInvalid.erase(aBy.mUpstream);
  return LimitChange::kEnded;
}

LimitChange
UpstreamLimits::RecordInvalid(const StatedBy& aBy)
{
  const auto [place, added] =
    mInvalid.try_emplace(aBy.mUpstream, aBy.mIncarnation);
  const bool isNew = added || place->second != aBy.mIncarnation;
  place->second = aBy.mIncarnation;
  return isNew ? LimitChange::kInvalid : LimitChange::kNone;
}

LimitChange
UpstreamLimits::ApplyCoordinatorState(const LimitState& aState, TimePoint aNow)
{
  const TimePoint statedAt =
    aNow - std::chrono::milliseconds(aState.mClaim.mAgeMs);
  const auto [place, added] =
    mLimits.try_emplace(aState.mUpstream, KnownLimit{});
  KnownLimit& limit = place->second;
  if (!added && (aState.mIncarnation < limit.mIncarnation ||
                 statedAt <= limit.mStatedAt)) {
    return LimitChange::kNone;
  }
  const bool changed = added || limit.mPerSecond != aState.mClaim.mPerSecond;
  limit = { .mIncarnation = aState.mIncarnation,
            .mPerSecond = aState.mClaim.mPerSecond,
            .mStatedAt = statedAt };
  return changed ? LimitChange::kSet : LimitChange::kNone;
}

LimitChange
UpstreamLimits::End(const UpstreamName& aUpstream, TimePoint aAskedAt)
{
  const auto known = mLimits.find(aUpstream);
  if (known == mLimits.end() || known->second.mStatedAt > aAskedAt) {
    return LimitChange::kNone;
  }
  mLimits.erase(known);
  return LimitChange::kEnded;
}

const KnownLimit*
UpstreamLimits::Find(const UpstreamName& aUpstream) const
{
  const auto known = mLimits.find(aUpstream);
  return known == mLimits.end() ? nullptr : &known->second;
}

void
UpstreamLimits::Remove(const UpstreamName& aUpstream)
{
  mLimits.erase(aUpstream);
  mInvalid.erase(aUpstream);
}

} // namespace peridotspool::limits
