// The admission steps of the request manager. routing::Admission implements
// limits, fair shares and queues; this file carries out its decisions.

#include "peridotspool/base/Overloaded.h"
#include "request/RequestManagerState.h"

namespace peridotspool::request {

namespace {

constexpr std::int32_t kStatusTooManyRequests = 429;
constexpr std::int32_t kStatusUnavailable = 503;
/** Interval of checking the queues and counting the upstreams' slots. */
constexpr Duration kAdmissionTickInterval = std::chrono::milliseconds(100);
/** Minimum interval at which an entry sends its demand to every other entry.
 * The interval grows with the number of entries, so that the traffic per entry
 * stays constant. */
constexpr Duration kDemandPeriod = std::chrono::seconds(1);
constexpr Duration kDemandPeriodPerMember = std::chrono::milliseconds(50);

struct Refusal
{
  Tally mTally;
  std::int32_t mStatus;
  const char* mReason;
};

Refusal
RefusalOf(routing::AdmissionReason aReason)
{
  switch (aReason) {
    case routing::AdmissionReason::kRateLimit:
      return { Tally::kRefusedRateLimit, kStatusTooManyRequests, "rate-limit" };
    case routing::AdmissionReason::kConcurrencyLimit:
      return { Tally::kRefusedConcurrencyLimit,
               kStatusTooManyRequests,
               "concurrency-limit" };
    case routing::AdmissionReason::kQueueFull:
      return { Tally::kRefusedQueueFull, kStatusUnavailable, "queue-full" };
    case routing::AdmissionReason::kDeadlineTooNear:
      return { Tally::kRefusedDeadline,
               kStatusUnavailable,
               "deadline-too-near" };
  }
  return { Tally::kRefusedQueueFull, kStatusUnavailable, "queue-full" };
}

ledger::Outcome
OutcomeOf(const Refusal& aRefusal, Duration aRetryAfter)
{
  return ledger::Outcome{ .mKind = ledger::OutcomeKind::kRefused,
                          .mStatus = aRefusal.mStatus,
                          .mReason = aRefusal.mReason,
                          .mRetryAfter = aRetryAfter };
}

} // namespace

void
RequestManagerState::On(const SettingsEvent& aEvent)
{
  mAdmission.SetSettings(aEvent.mTree);
}

void
RequestManagerState::Admit(const RequestKey& aKey)
{
  const Execution& execution = *mRequests.at(aKey).mExecution;
  const ledger::RequestTerms& terms = execution.Record().mTerms;
  const auto outcome = mAdmission.Admit(
    terms.mService,
    routing::AdmissionQuery{ .mKey = aKey,
                             .mPriority = terms.mPriority,
                             .mDeadline = execution.Deadline() },
    mNow);
  const auto wait = [&](const routing::Queued&) {
    WithExecution(aKey, [](Execution& aExecution, StepContext& aContext) {
      aExecution.Wait(aContext);
    });
  };
  const auto refuse = [&](const routing::Refused& aRefused) {
    const Refusal refusal = RefusalOf(aRefused.mReason);
    WithExecution(aKey, [&](Execution& aExecution, StepContext& aContext) {
      aExecution.Refuse(
        aContext, refusal.mTally, OutcomeOf(refusal, aRefused.mRetryAfter));
    });
  };
  std::visit(Overloaded{ [&](const routing::Admitted&) { StartAdmitted(aKey); },
                         wait,
                         refuse },
             outcome);
}

void
RequestManagerState::StartAdmitted(const RequestKey& aKey)
{
  mRequests.at(aKey).mAdmittedAt = mNow;
  WithExecution(aKey, [](Execution& aExecution, StepContext& aContext) {
    aExecution.Start(aContext, ExecutionOrigin::kAccepted);
  });
}

void
RequestManagerState::EndAdmitted(const RequestKey& aKey,
                                 const ServiceName& aService,
                                 TimePoint aAdmittedAt)
{
  mAdmission.RecordEnd(aService, aKey.mCustomer, mNow - aAdmittedAt);
  StartNext();
}

void
RequestManagerState::StartNext()
{
  for (const auto& [service, queued] : mAdmission.TakeReady()) {
    const auto found = mRequests.find(queued.mKey);
    const bool waits = found != mRequests.end() && found->second.mExecution &&
                       !found->second.mAdmittedAt &&
                       !found->second.mExecution->Ended();
    if (waits) {
      StartAdmitted(queued.mKey);
    } else {
      // The request was cancelled, or another executor took it over, while it
      // was queued.
      mAdmission.RecordEnd(service, queued.mKey.mCustomer, Duration(0));
    }
  }
}

void
RequestManagerState::TickAdmission()
{
  if (mNow < mNextAdmissionTick) {
    return;
  }
  mNextAdmissionTick = mNow + kAdmissionTickInterval;
  mAdmission.SetUpstreams(mRouter.Upstreams(mNow));
  for (const auto& late : mAdmission.TakeExpired(mNow)) {
    const Refusal refusal =
      RefusalOf(routing::AdmissionReason::kDeadlineTooNear);
    WithExecution(late.mKey, [&](Execution& aExecution, StepContext& aContext) {
      aExecution.Refuse(
        aContext, refusal.mTally, OutcomeOf(refusal, mOptions.mRetryAfter));
    });
  }
  StartNext();
  PublishDemand();
}

void
RequestManagerState::PublishDemand()
{
  if (mNow < mNextDemand) {
    return;
  }
  const auto members = static_cast<std::int64_t>(mMembers.size());
  mNextDemand =
    mNow + std::max<Duration>(kDemandPeriod, members * kDemandPeriodPerMember);
  for (const auto& [service, demand] : mAdmission.Demand(mNow)) {
    mAdmission.RecordDemand(mSelf, service, demand, mNow);
    for (const auto& [member, state] : mMembers) {
      if (member != mSelf && !demand.empty()) {
        mEffects->emplace_back(
          RelayEffect{ member, DemandMessage{ service, demand } });
      }
    }
  }
}

void
RequestManagerState::OnRelay(MemberId aFrom, const DemandMessage& aMessage)
{
  mAdmission.RecordDemand(aFrom, aMessage.mService, aMessage.mDemand, mNow);
}

} // namespace peridotspool::request
