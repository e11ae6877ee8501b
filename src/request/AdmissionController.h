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
 * Applies the settings to this entry's requests, per service: decides which are
 * admitted, queued, refused or retried. Without settings every request is
 * admitted and the bounds of RequestOptions apply. Not thread-safe.
 */
class AdmissionController
{
public:
  using Tree = std::shared_ptr<const settings::SettingsTree>;

  AdmissionController(MemberId aSelf, RequestOptions aOptions);

  void SetSettings(Tree aTree) { mTree = std::move(aTree); }
  void SetMembers(std::vector<MemberId> aMembers);
  /** Sets each service's concurrency limit from the slots of the known
   * upstreams. */
  void SetUpstreams(
    const std::vector<routing::UpstreamAnnouncement>& aUpstreams);

  routing::AdmissionOutcome Admit(const ServiceName& aService,
                                  const routing::AdmissionQuery& aQuery,
                                  TimePoint aNow);
  /** Records that an admitted request has ended. */
  void RecordEnd(const ServiceName& aService,
                 const CustomerName& aCustomer,
                 Duration aTook);
  /** A queued request that may start now, and its service. */
  struct ReadyRequest
  {
    ServiceName mService;
    routing::QueuedRequest mRequest;
  };
  /** Removes and returns the queued requests that may start now; each counts as
   * running. */
  std::vector<ReadyRequest> TakeReady();
  /** Removes and returns the queued requests that can no longer meet their
   * deadline. */
  std::vector<routing::QueuedRequest> TakeExpired(TimePoint aNow);

  void CountFirstAttempt(const ServiceName& aService);
  routing::RetryDecision DecideRetry(const CustomerName& aCustomer,
                                     const ServiceName& aService,
                                     const routing::FailedAttempt& aTry,
                                     TimePoint aNow);

  /** Returns the recent demand at this entry, for the other entries. */
  std::map<ServiceName, std::map<CustomerName, double>> Demand(TimePoint aNow);
  void RecordDemand(MemberId aFrom,
                    const ServiceName& aService,
                    const std::map<CustomerName, double>& aDemand,
                    TimePoint aNow);

  /** Returns the settings that apply to a customer's use of a service, or null
   * without settings. */
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
  /** As Rules; for the name of the total, returns the customer's limits over
   * all its services. */
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
