#pragma once

#include "peridotspool/request/RequestOptions.h"
#include "peridotspool/routing/Admission.h"
#include "peridotspool/routing/RetryBudget.h"
#include "peridotspool/routing/RetryDecision.h"
#include "peridotspool/routing/UpstreamReport.h"
#include "peridotspool/settings/SettingsTree.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace peridotspool::request {

/**
 * Applies the settings to this entry's requests, service by service: who is
 * admitted now, who waits, who is refused, and who is tried again. Without
 * settings everybody is admitted and the options' bounds hold. Not
 * thread-safe.
 */
class AdmissionController
{
public:
  using Tree = std::shared_ptr<const settings::SettingsTree>;

  AdmissionController(MemberId aSelf, RequestOptions aOptions);

  void SetSettings(Tree aTree) { mTree = std::move(aTree); }
  void SetMembers(std::vector<MemberId> aMembers);
  /** Sets how many may run at once from the upstreams in sight. */
  void SetUpstreams(
    const std::vector<routing::UpstreamAnnouncement>& aUpstreams);

  routing::AdmissionOutcome Admit(const ServiceName& aService,
                                  const routing::AdmissionQuery& aQuery,
                                  TimePoint aNow);
  /** An admitted request has ended. */
  void RecordEnd(const ServiceName& aService,
                 const CustomerName& aCustomer,
                 Duration aTook);
  /** A request whose turn has come, and its service. */
  struct ReadyRequest
  {
    ServiceName mService;
    routing::QueuedRequest mRequest;
  };
  /** Takes the requests whose turn has come; each counts as running. */
  std::vector<ReadyRequest> TakeReady();
  /** Takes queued requests that can't meet their deadline any more. */
  std::vector<routing::QueuedRequest> TakeExpired(TimePoint aNow);

  void CountFirstTry(const ServiceName& aService);
  routing::RetryDecision DecideRetry(const CustomerName& aCustomer,
                                     const ServiceName& aService,
                                     const routing::FailedTry& aTry,
                                     TimePoint aNow);

  /** What callers asked for lately, for the other entries. */
  std::map<ServiceName, std::map<CustomerName, double>> Demand(TimePoint aNow);
  void RecordDemand(MemberId aFrom,
                    const ServiceName& aService,
                    const std::map<CustomerName, double>& aDemand,
                    TimePoint aNow);

  /** What holds for a customer's use of a service; null without settings. */
  const settings::EffectiveService* Rules(const CustomerName& aCustomer,
                                          const ServiceName& aService) const;

private:
  struct Service
  {
    explicit Service(MemberId aSelf);

    routing::Admission mAdmission;
    routing::RetryBudget mBudget;
    std::map<CustomerName, routing::PublishedDemand> mPublished;
  };

  Service& At(const ServiceName& aService);
  /** As Rules, or the customer's total over all its services. */
  std::optional<settings::EffectiveService> RulesOrTotal(
    const CustomerName& aCustomer,
    const ServiceName& aService) const;

  MemberId mSelf;
  RequestOptions mOptions;
  Tree mTree;
  std::vector<MemberId> mMembers;
  std::map<ServiceName, Service> mServices;
};

} // namespace peridotspool::request
