#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/fleet/FleetEffect.h"
#include "peridotspool/fleet/FleetEvent.h"
#include "peridotspool/fleet/FleetOptions.h"
#include "peridotspool/fleet/OfferBackoff.h"
#include "peridotspool/fleet/ReclaimRecord.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace peridotspool::fleet {

/**
 * Decides which instances to start and stop, and in which failure domains. Runs
 * on the control leader. Each new leader starts without state and recovers it
 * from the cloud's list of instances.
 *
 * A state machine without clock, threads or sockets. Not thread-safe.
 */
class FleetPlanner
{
public:
  explicit FleetPlanner(FleetOptions aOptions);

  /**
   * Processes one event and returns the effects that the host carries out in
   * order.
   */
  FleetEffects Step(const FleetEvent& aEvent, TimePoint aNow);

  /** Returns the number of instances that a service should have now. */
  std::uint32_t Wanted(const ServiceName& aService) const;
  std::size_t Starting() const { return mStarts.size(); }

private:
  struct Start
  {
    ServiceName mService;
    OfferKey mOffer;
    TimePoint mRequestedAt;
  };
  struct Service
  {
    ServiceDemand mDemand;
    std::uint32_t mWanted = 0;
    std::optional<TimePoint> mSlowSince;
    std::optional<TimePoint> mFastSince;
    std::optional<TimePoint> mSurplusSince;
  };

  void Handle(const DemandEvent& aEvent);
  void Handle(const OffersEvent& aEvent);
  void Handle(const ListedEvent& aEvent);
  void Handle(const StartedEvent& aEvent);
  void Handle(const StartRefusedEvent& aEvent);
  void Handle(const ServingEvent& aEvent);
  void Handle(const ReclaimNoticeEvent& aEvent);
  void Handle(const InstanceGoneEvent& aEvent);
  void Handle(const DrainedEvent& aEvent);
  void Handle(const LatencyEvent& aEvent);
  void Handle(const FleetTickEvent& aEvent);

  void HandleUnlisted(const InstanceInfo& aInstance,
                      std::map<InstanceName, InstanceInfo>& aListed);
  void Refuse(StartId aStart);
  void RecordUse();
  void ExpireStarts();
  void StartMissing();
  bool StartOne(Service& aService);
  void DrainSurplus(Service& aService);
  std::size_t CountInstances(const ServiceName& aService) const;
  std::size_t CountInDomain(const ServiceName& aService,
                            const FailureDomain& aDomain) const;
  const Offer* BestOffer(const Service& aService) const;
  bool MayTry(const OfferKey& aOffer) const;
  bool FitsDomainShare(const Service& aService, const OfferKey& aOffer) const;
  double Score(const Service& aService, const Offer& aOffer) const;
  double PricePerHour(const OfferKey& aOffer) const;
  void EmitDecision(const ServiceName& aService, std::string aReason);

  FleetOptions mOptions;
  TimePoint mNow;
  FleetEffects mEffects;
  ReclaimRecord mRecord;
  OfferBackoff mBackoff;
  std::map<ServiceName, Service> mServices;
  std::vector<Offer> mOffers;
  std::map<InstanceName, InstanceInfo> mInstances;
  /**
   * When instances were first reported, until the cloud's list contains them.
   */
  std::map<InstanceName, TimePoint> mUnlisted;
  std::map<StartId, Start> mStarts;
  StartId mLastStart;
  bool mListed = false;
  std::optional<TimePoint> mUseRecordedAt;
};

} // namespace peridotspool::fleet
