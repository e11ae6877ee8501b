// Permits for sends to upstreams with a rate limit.

#include "gateway/GatewayCore.h"

#include <utility>

namespace peridotspool::gateway {

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
  const auto isCoordinator = MakeCoordinationCheck();
  for (const UpstreamLoad& load : response.mLoads) {
    if (auto state =
          mPermitAllocator.StateOf(load.mUpstream, isCoordinator, now)) {
      response.mLimits.push_back(std::move(*state));
    }
  }
  mSendToEntry(aFrom, std::move(response));
}

void
GatewayCore::HandleSendStarted(const SendStartedReport& aReport)
{
  mCoordinator.Handle(aReport, mNow());
  if (!aReport.mHasPermit) {
    mPermitAllocator.RecordUnpermitted(aReport.mUpstream, mNow());
  }
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
  SendPermits(mPermitAllocator.HandleRequest(
    aFrom,
    aRequest,
    mTenure.Covers(aRequest.mUpstream, aRequest.mDomain, now),
    now));
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
