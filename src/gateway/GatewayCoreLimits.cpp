// Permits for sends to upstreams with a rate limit.

#include "gateway/GatewayCore.h"

#include <utility>

namespace peridotspool::gateway {

namespace {

/** A request that runs at a brittle upstream is likely to have ended by then.
 */
constexpr std::uint32_t kBrittleRetryMs = 100;

} // namespace

using limits::LimitChange;
using observe::CounterId;
using observe::EventId;

limits::PermitAllocator::CoordinationCheck
GatewayCore::MakeCoordinationCheck()
{
  return [this, now = mNow()](const UpstreamName& aUpstream,
                              const FailureDomain& aDomain) {
    return mTenure.Covers(aUpstream, aDomain, now);
  };
}

void
GatewayCore::HandleLoadQuery(const Address& aFrom, const LoadQuery& aQuery)
{
  const TimePoint now = mNow();
  LoadResponse response = mCoordinator.HandleQuery(aQuery, now);
  mCoordinator.ExpectSends(aQuery, now);
  const auto isCoordinator = MakeCoordinationCheck();
  AddSlotClaims(response);
  for (const UpstreamLoad& load : response.mLoads) {
    if (auto state =
          mPermitAllocator.StateOf(load.mUpstream, isCoordinator, now)) {
      response.mLimits.push_back(std::move(*state));
    }
    if (auto state = mCoordinatedBrittle.StateOf(load.mUpstream, now)) {
      response.mBrittle.push_back(std::move(*state));
    }
  }
  mSendToEntry(aFrom, std::move(response));
}

void
GatewayCore::HandleSendStarted(const SendStartedReport& aReport)
{
  mCoordinator.Handle(aReport, mNow());
  RecordSlotStarted(aReport);
  if (aReport.mHasPermit) {
    mCoordinatedBrittle.EndGrant(aReport.mUpstream);
  } else {
    mPermitAllocator.RecordUnpermitted(aReport.mUpstream, mNow());
  }
}

void
GatewayCore::HandleSendEnded(const SendEndedReport& aReport)
{
  const SlotEnd slotEnd = MakeSlotEnd(aReport);
  mCoordinator.Handle(aReport, mNow());
  RecordSlotEnded(slotEnd);
  if (aReport.mRejected) {
    mCoordinatedBrittle.RecordRejection(aReport.mUpstream, mNow());
  }
}

void
GatewayCore::HandleBrittleReport(const limits::BrittleState& aState)
{
  mCoordinatedBrittle.Apply(aState, mNow());
}

bool
GatewayCore::ApplyBrittleState(const limits::BrittleState& aState)
{
  if (mSelector.IncarnationOf(aState.mUpstream) != aState.mIncarnation) {
    return false;
  }
  const TimePoint now = mNow();
  const bool isNew = mBrittleUpstreams.Apply(aState, now);
  if (isNew) {
    mLogger.Log(EventId::kUpstreamBrittle,
                { { "upstream", aState.mUpstream },
                  { "max_rejections", aState.mMaxRejections },
                  { "age_ms", aState.mAgeMs } });
  }
  mCounters.Set(CounterId::kUpstreamsBrittle, mBrittleUpstreams.Count());
  mSelector.SetBrittle(aState.mUpstream,
                       now - std::chrono::milliseconds(aState.mAgeMs) +
                         limits::kBrittleLifetime,
                       now + std::chrono::milliseconds(aState.mClosedMs));
  return isNew;
}

void
GatewayCore::HandleLimitReport(const limits::LimitReport& aReport)
{
  if (mPermitAllocator.HandleReport(aReport, mNow())) {
    mLogger.Log(EventId::kUpstreamLimitChanged,
                { { "upstream", aReport.mUpstream },
                  { "incarnation", aReport.mIncarnation },
                  { "per_second", aReport.mPerSecond },
                  { "ended", aReport.mPerSecond <= 0.0 },
                  { "source", "report" } });
  }
}

void
GatewayCore::HandleSendPermitRequest(const Address& aFrom,
                                     const limits::SendPermitRequest& aRequest)
{
  const TimePoint now = mNow();
  if (aRequest.mClaim.mPerSecond <= 0.0) {
    mSendToEntry(aFrom, PermitBrittle(aRequest));
    return;
  }
  SendPermits(mPermitAllocator.HandleRequest(
    aFrom,
    aRequest,
    mTenure.Covers(aRequest.mUpstream, aRequest.mDomain, now),
    now));
}

limits::SendPermitResponse
GatewayCore::PermitBrittle(const limits::SendPermitRequest& aRequest)
{
  const TimePoint now = mNow();
  const bool granted =
    mCoordinatedBrittle.TryGrant(aRequest.mUpstream,
                                 aRequest.mIncarnation,
                                 mCoordinator.Running(aRequest.mUpstream),
                                 mSelector.Slots(aRequest.mUpstream),
                                 now);
  if (granted) {
    mCounters.Add(CounterId::kPermitsIssued);
  }
  return { .mUpstream = aRequest.mUpstream,
           .mTag = aRequest.mTag,
           .mOutcome = granted ? limits::PermitOutcome::kGranted
                               : limits::PermitOutcome::kDenied,
           .mRetryAfterMs = granted ? 0 : kBrittleRetryMs };
}

void
GatewayCore::SendPermits(const std::vector<limits::AddressedPermit>& aPermits)
{
  for (const limits::AddressedPermit& permit : aPermits) {
    if (permit.mResponse.mOutcome == limits::PermitOutcome::kGranted) {
      mCounters.Add(CounterId::kPermitsIssued);
    }
    mSendToEntry(permit.mTo, permit.mResponse);
  }
}

void
GatewayCore::HandleSendPermitReturn(const Address& aFrom,
                                    const limits::SendPermitReturn& aReturn)
{
  mPermitAllocator.HandleReturn(aFrom, aReturn, mNow());
  mCoordinatedBrittle.EndGrant(aReturn.mUpstream);
}

void
GatewayCore::HandleSendPermitResponse(
  const Address& aFrom,
  const limits::SendPermitResponse& aResponse)
{
  const limits::PermitResult result =
    mPermitClient.HandleResponse(aResponse, mNow());
  if (result.mReturn) {
    mSendToEntry(aFrom, *result.mReturn);
  }
  if (result.mDecision) {
    DecidePermit(*result.mDecision);
  }
}

void
GatewayCore::DecidePermit(const limits::PermitDecision& aDecision)
{
  if (aDecision.mOutcome == limits::PermitOutcome::kUnlimited &&
      mUpstreamLimits.End(aDecision.mUpstream, aDecision.mRequestedAt) ==
        LimitChange::kEnded) {
    OnLimitChanged(aDecision.mUpstream, "coordinator");
  }
  const auto waiting = mPermitWaiters.find(aDecision.mTag);
  if (waiting != mPermitWaiters.end()) {
    const auto call = std::move(waiting->second);
    mPermitWaiters.erase(waiting);
    call(aDecision);
  }
}

void
GatewayCore::TickPermits()
{
  const TimePoint now = mNow();
  SendPermits(mPermitAllocator.Tick(MakeCoordinationCheck(), now));
  for (const limits::PermitDecision& decision : mPermitClient.Tick(now)) {
    DecidePermit(decision);
  }
  mPermitAllocator.RemoveExpired(now);
  mBrittleUpstreams.RemoveExpired(now);
  mCoordinatedBrittle.RemoveExpired(now);
  mSelector.Withdrawn().RemoveExpired(now);
  mCounters.Set(CounterId::kUpstreamsWithdrawn, mSelector.Withdrawn().Count());
}

std::map<ServiceName, LimitedUpstreams>
GatewayCore::LimitedByService()
{
  std::map<ServiceName, LimitedUpstreams> limited;
  for (const UpstreamName& upstream :
       mPermitAllocator.Coordinated(MakeCoordinationCheck())) {
    if (const auto service = mSelector.ReadyService(upstream)) {
      LimitedUpstreams& sum = limited[*service];
      ++sum.mCount;
      sum.mRunning += mCoordinator.Running(upstream);
    }
  }
  return limited;
}

// A coordinator may still know the limit of an earlier incarnation.
void
GatewayCore::ApplyLimitState(const limits::LimitState& aState)
{
  if (mSelector.IncarnationOf(aState.mUpstream) != aState.mIncarnation) {
    return;
  }
  const TimePoint now = mNow();
  if (mUpstreamLimits.ApplyCoordinatorState(aState, now) == LimitChange::kSet) {
    OnLimitChanged(aState.mUpstream, "coordinator");
  }
  if (mUpstreamLimits.Find(aState.mUpstream) != nullptr) {
    mSelector.SetPermitTime(aState.mUpstream,
                            now + std::chrono::milliseconds(aState.mWaitMs));
  }
}

void
GatewayCore::OnLimitChanged(const UpstreamName& aUpstream, const char* aSource)
{
  const limits::KnownLimit* limit = mUpstreamLimits.Find(aUpstream);
  mCounters.Set(CounterId::kUpstreamsLimited, mUpstreamLimits.Count());
  mSelector.SetPermitTime(
    aUpstream, limit == nullptr ? std::nullopt : std::optional(mNow()));
  mLogger.Log(EventId::kUpstreamLimitChanged,
              { { "upstream", aUpstream },
                { "per_second", limit == nullptr ? 0.0 : limit->mPerSecond },
                { "ended", limit == nullptr },
                { "source", aSource } });
}

} // namespace peridotspool::gateway
