#include "request/AdmissionController.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace peridotspool::request {

namespace {

/** All entries together admit this many requests per upstream slot: callers are
 * never spread evenly over the entries, and an engine batches slightly more
 * requests than it has slots. */
constexpr std::size_t kMaxRunningPerSlot = 2;

/** Stands for all services of a customer; not a valid service name. */
const ServiceName&
TotalName()
{
  static const ServiceName sName("(total)");
  return sName;
}

settings::EffectiveService
TotalOf(const settings::EffectiveService& aRules)
{
  settings::EffectiveService total = aRules;
  total.mLimits = aRules.mTotal;
  return total;
}

} // namespace

AdmissionController::Service::Service(MemberId aSelf)
  : mAdmission(routing::AdmissionOptions{}, aSelf)
  , mBudget(routing::RetryBudgetOptions{})
{
}

AdmissionController::AdmissionController(MemberId aSelf,
                                         RequestOptions aOptions)
  : mSelf(aSelf)
  , mOptions(aOptions)
  , mMembers{ aSelf }
{
}

AdmissionController::Service&
AdmissionController::At(const ServiceName& aService)
{
  const auto [place, isNew] = mServices.try_emplace(aService, mSelf);
  if (isNew) {
    place->second.mAdmission.SetMembers(mMembers);
    if (aService == TotalName()) {
      // Totals only apply limits; requests queue per service.
      place->second.mAdmission.SetMaxRunning(
        std::numeric_limits<std::size_t>::max());
    }
  }
  return place->second;
}

const settings::EffectiveService*
AdmissionController::Rules(const CustomerName& aCustomer,
                           const ServiceName& aService) const
{
  return mTree ? mTree->Effective(aCustomer, aService) : nullptr;
}

std::optional<settings::EffectiveService>
AdmissionController::RulesOrTotal(const CustomerName& aCustomer,
                                  const ServiceName& aService) const
{
  const bool total = aService == TotalName();
  if (total && (!mTree || mTree->Services().empty())) {
    return std::nullopt;
  }
  // A customer's total is the same for each of its services.
  const auto* rules =
    Rules(aCustomer, total ? mTree->Services().front() : aService);
  if (rules == nullptr) {
    return std::nullopt;
  }
  return total ? TotalOf(*rules) : *rules;
}

void
AdmissionController::SetMembers(std::vector<MemberId> aMembers)
{
  mMembers = std::move(aMembers);
  for (auto& [name, service] : mServices) {
    service.mAdmission.SetMembers(mMembers);
    for (auto& [customer, published] : service.mPublished) {
      std::erase_if(published, [this](const auto& aPair) {
        return std::find(mMembers.begin(), mMembers.end(), aPair.first) ==
               mMembers.end();
      });
    }
  }
}

void
AdmissionController::SetUpstreams(
  const std::vector<routing::UpstreamAnnouncement>& aUpstreams)
{
  std::map<ServiceName, std::size_t> slots;
  for (const auto& upstream : aUpstreams) {
    slots[upstream.mService] += upstream.mSlots;
  }
  for (const auto& [name, count] : slots) {
    const std::size_t share = kMaxRunningPerSlot * count / mMembers.size();
    At(name).mAdmission.SetMaxRunning(std::max<std::size_t>(1, share));
  }
}

routing::AdmissionOutcome
AdmissionController::Admit(const ServiceName& aService,
                           const routing::AdmissionQuery& aQuery,
                           TimePoint aNow)
{
  const auto* rules = Rules(aQuery.mKey.mCustomer, aService);
  if (rules == nullptr) {
    return routing::Admitted{};
  }
  const auto totalOutcome =
    At(TotalName()).mAdmission.Admit(aQuery, TotalOf(*rules), aNow);
  if (std::holds_alternative<routing::Refused>(totalOutcome)) {
    return totalOutcome;
  }
  const auto outcome = At(aService).mAdmission.Admit(aQuery, *rules, aNow);
  if (std::holds_alternative<routing::Refused>(outcome)) {
    At(TotalName()).mAdmission.Ended(aQuery.mKey.mCustomer, Duration(0));
  }
  return outcome;
}

void
AdmissionController::RecordEnd(const ServiceName& aService,
                               const CustomerName& aCustomer,
                               Duration aTook)
{
  At(aService).mAdmission.Ended(aCustomer, aTook);
  At(TotalName()).mAdmission.Ended(aCustomer, aTook);
}

std::vector<AdmissionController::ReadyRequest>
AdmissionController::TakeReady()
{
  std::vector<ReadyRequest> requests;
  for (auto& [name, service] : mServices) {
    while (auto request = service.mAdmission.Next()) {
      requests.push_back(ReadyRequest{ name, std::move(*request) });
    }
  }
  return requests;
}

std::vector<routing::QueuedRequest>
AdmissionController::TakeExpired(TimePoint aNow)
{
  std::vector<routing::QueuedRequest> requests;
  for (auto& [name, service] : mServices) {
    for (auto& request : service.mAdmission.TakeExpired(aNow)) {
      requests.push_back(std::move(request));
    }
  }
  return requests;
}

void
AdmissionController::CountFirstAttempt(const ServiceName& aService)
{
  At(aService).mBudget.CountFirstAttempt();
}

routing::RetryDecision
AdmissionController::DecideRetry(const CustomerName& aCustomer,
                                 const ServiceName& aService,
                                 const routing::FailedAttempt& aTry,
                                 TimePoint aNow)
{
  settings::RetryRules rules{ .mBudget = 1,
                              .mAttempts = mOptions.mMaxAttempts,
                              .mBackoff = mOptions.mRetryPause,
                              .mBackoffMax = mOptions.mMaxRetryPause };
  if (const auto* effective = Rules(aCustomer, aService)) {
    rules = effective->mRetry;
  }
  routing::RetryBudget& budget = At(aService).mBudget;
  budget.SetShare(rules.mBudget);
  return routing::DecideRetry(aTry, rules, budget, aNow);
}

std::map<ServiceName, std::map<CustomerName, double>>
AdmissionController::Demand(TimePoint aNow)
{
  std::map<ServiceName, std::map<CustomerName, double>> demand;
  for (auto& [name, service] : mServices) {
    demand[name] = service.mAdmission.Demand(aNow);
  }
  return demand;
}

void
AdmissionController::RecordDemand(MemberId aFrom,
                                  const ServiceName& aService,
                                  const std::map<CustomerName, double>& aDemand,
                                  TimePoint aNow)
{
  Service& service = At(aService);
  for (const auto& [customer, rate] : aDemand) {
    auto& published = service.mPublished[customer];
    published[aFrom] = rate;
    if (const auto rules = RulesOrTotal(customer, aService)) {
      service.mAdmission.SetPublishedDemand(customer, published, *rules, aNow);
    }
  }
}

} // namespace peridotspool::request
