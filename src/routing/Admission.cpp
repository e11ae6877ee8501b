#include "peridotspool/routing/Admission.h"

#include <algorithm>

namespace peridotspool::routing {

namespace {

/** Weight of the newest request in the mean run time. */
constexpr double kEwmaWeight = 0.1;
/** Minimum time after which a refused caller should retry. */
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(100);

} // namespace

Admission::Admission(AdmissionOptions aOptions, MemberId aSelf)
  : mOptions(aOptions)
  , mSelf(aSelf)
  , mMembers{ aSelf }
  , mQueue(aOptions.mQueue)
  , mHoldMicros(static_cast<double>(aOptions.mInitialHoldTime.count()))
{
}

/**
 * An entry that has published nothing has no demand but counts as a member, so
 * that it gets its even part. Otherwise it would admit requests by its own
 * computation that the others don't account for.
 */
settings::Limits
Admission::ShareOf(const CustomerLimit& aLimit) const
{
  PublishedDemand demandOfMembers;
  for (const MemberId member : mMembers) {
    const auto found = aLimit.mPublished.find(member);
    demandOfMembers[member] =
      found == aLimit.mPublished.end() ? 0 : found->second;
  }
  return LimitShare(aLimit.mTotal, demandOfMembers, mSelf);
}

SharedLimit&
Admission::LimitOf(const settings::EffectiveService& aSettings, TimePoint aNow)
{
  mQueue.SetWeight(aSettings.mCustomer, aSettings.mWeight);
  const auto found = mLimits.find(aSettings.mCustomer);
  if (found == mLimits.end()) {
    CustomerLimit fresh{ .mTotal = aSettings.mLimits,
                         .mPublished = {},
                         .mMembersVersion = mMembersVersion,
                         .mShare = SharedLimit({}) };
    fresh.mShare = SharedLimit(ShareOf(fresh));
    return mLimits.emplace(aSettings.mCustomer, std::move(fresh))
      .first->second.mShare;
  }
  CustomerLimit& limit = found->second;
  if (limit.mTotal != aSettings.mLimits ||
      limit.mMembersVersion != mMembersVersion) {
    limit.mTotal = aSettings.mLimits;
    limit.mMembersVersion = mMembersVersion;
    limit.mShare.SetShare(ShareOf(limit), aNow);
  }
  return limit.mShare;
}

void
Admission::SetMembers(std::vector<MemberId> aMembers)
{
  if (aMembers != mMembers) {
    mMembers = std::move(aMembers);
    ++mMembersVersion;
  }
}

AdmissionOutcome
Admission::Admit(const AdmissionQuery& aQuery,
                 const settings::EffectiveService& aSettings,
                 TimePoint aNow)
{
  SharedLimit& limit = LimitOf(aSettings, aNow);
  const bool runsAtOnce = mRunning < mOptions.mMaxRunning && mQueue.Size() == 0;
  const Duration hold(static_cast<Duration::rep>(mHoldMicros));
  const Duration wait =
    runsAtOnce ? Duration(0) : ExpectedWait(aSettings.mCustomer);
  // A caller that is refused now can go elsewhere; at its deadline it can't.
  if (aNow + wait >= aQuery.mDeadline) {
    return Refused{ .mReason = AdmissionReason::kDeadlineTooNear,
                    .mRetryAfter = std::max(wait, kMinRetryAfter) };
  }
  if (const auto reached = limit.TryAcquire(aNow)) {
    const bool rate = *reached == LimitReached::kRate;
    return Refused{ .mReason = rate ? AdmissionReason::kRateLimit
                                    : AdmissionReason::kConcurrencyLimit,
                    .mRetryAfter = std::max(rate ? limit.UntilNext(aNow) : hold,
                                            kMinRetryAfter) };
  }
  if (runsAtOnce) {
    ++mRunning;
    return Admitted{};
  }
  const AdmissionOutcome outcome = Enqueue(aQuery);
  if (std::holds_alternative<Refused>(outcome)) {
    limit.Release();
  }
  return outcome;
}

AdmissionOutcome
Admission::Enqueue(const AdmissionQuery& aQuery)
{
  const Duration wait = ExpectedWait(aQuery.mKey.mCustomer);
  const bool pushed = mQueue.Push({ .mKey = aQuery.mKey,
                                    .mPriority = aQuery.mPriority,
                                    .mCost = aQuery.mCost,
                                    .mDeadline = aQuery.mDeadline });
  if (!pushed) {
    return Refused{ .mReason = AdmissionReason::kQueueFull,
                    .mRetryAfter = std::max(wait, kMinRetryAfter) };
  }
  return Queued{ .mExpectedWait = wait };
}

/**
 * Returns an upper bound of the wait: the customer's queue drains at least at
 * its share of the slots, whatever the demand of the others. A request that is
 * refused because of it might just have met its deadline.
 */
Duration
Admission::ExpectedWait(const CustomerName& aCustomer) const
{
  const double share = std::max(0.001, mQueue.ShareOf(aCustomer));
  const auto slots =
    static_cast<double>(std::max<std::size_t>(1, mOptions.mMaxRunning));
  const double ahead =
    std::min(static_cast<double>(mQueue.SizeOf(aCustomer) + 1) / share,
             static_cast<double>(mQueue.Size() + 1));
  return Duration(static_cast<Duration::rep>(ahead * mHoldMicros / slots));
}

void
Admission::Ended(const CustomerName& aCustomer, Duration aTook)
{
  const auto found = mLimits.find(aCustomer);
  if (found != mLimits.end()) {
    found->second.mShare.Release();
  }
  mRunning -= mRunning > 0 ? 1 : 0;
  mHoldMicros +=
    kEwmaWeight * (static_cast<double>(aTook.count()) - mHoldMicros);
}

std::optional<QueuedRequest>
Admission::Next()
{
  if (mRunning >= mOptions.mMaxRunning) {
    return std::nullopt;
  }
  auto next = mQueue.Pop();
  mRunning += next ? 1 : 0;
  return next;
}

std::vector<QueuedRequest>
Admission::TakeExpired(TimePoint aNow)
{
  std::vector<QueuedRequest> late = mQueue.TakeExpired(aNow);
  for (const QueuedRequest& request : late) {
    const auto found = mLimits.find(request.mKey.mCustomer);
    if (found != mLimits.end()) {
      found->second.mShare.Release();
    }
  }
  return late;
}

void
Admission::SetMaxRunning(std::size_t aMaxRunning)
{
  mOptions.mMaxRunning = aMaxRunning;
}

std::map<CustomerName, double>
Admission::Demand(TimePoint aNow)
{
  std::map<CustomerName, double> demand;
  for (auto& [customer, limit] : mLimits) {
    demand.emplace(customer, limit.mShare.Demand(aNow));
  }
  return demand;
}

void
Admission::SetPublishedDemand(const CustomerName& aCustomer,
                              const PublishedDemand& aPublished,
                              const settings::EffectiveService& aSettings,
                              TimePoint aNow)
{
  const auto found = mLimits.find(aCustomer);
  if (found == mLimits.end()) {
    return;
  }
  CustomerLimit& limit = found->second;
  limit.mTotal = aSettings.mLimits;
  limit.mPublished = aPublished;
  limit.mMembersVersion = mMembersVersion;
  limit.mShare.SetShare(ShareOf(limit), aNow);
}

} // namespace peridotspool::routing
