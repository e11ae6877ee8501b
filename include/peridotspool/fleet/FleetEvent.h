#pragma once

#include "peridotspool/fleet/Offer.h"
#include "peridotspool/fleet/ServiceDemand.h"

#include <variant>
#include <vector>

namespace peridotspool::fleet {

enum class InstanceState
{
  kStarting,
  kServing,
  /** Under notice or draining: counts as lost already. */
  kLeaving,
};

/** An instance as the cloud lists it. */
struct InstanceInfo
{
  InstanceName mName;
  /** The start that made it; unset if it is not known. */
  StartId mStart;
  ServiceName mService;
  OfferKey mOffer;
  InstanceState mState = InstanceState::kStarting;
};

/** The settings' demands; replaces the earlier ones. */
struct DemandEvent
{
  std::vector<ServiceDemand> mDemands;
};

/** The cloud's prices; replaces the earlier ones. */
struct OffersEvent
{
  std::vector<Offer> mOffers;
};

/** All instances that the cloud knows; the planner acts after the first. */
struct ListedEvent
{
  std::vector<InstanceInfo> mInstances;
};

struct StartedEvent
{
  StartId mStart;
  InstanceName mInstance;
};

/** The cloud has none to give at the moment. */
struct StartRefusedEvent
{
  StartId mStart;
};

/** The instance's upstream has announced itself. */
struct ServingEvent
{
  InstanceName mInstance;
};

/** The cloud takes the instance back soon. */
struct ReclaimNoticeEvent
{
  InstanceName mInstance;
};

struct InstanceGoneEvent
{
  InstanceName mInstance;
};

/** A draining instance has no work left. */
struct DrainedEvent
{
  InstanceName mInstance;
};

/** 95th percentile of the time to a service's first token, over the last
 * seconds. */
struct LatencyEvent
{
  ServiceName mService;
  Duration mFirstToken{ 0 };
};

/** Time has passed; about every second. */
struct FleetTickEvent
{};

using FleetEvent = std::variant<DemandEvent,
                                OffersEvent,
                                ListedEvent,
                                StartedEvent,
                                StartRefusedEvent,
                                ServingEvent,
                                ReclaimNoticeEvent,
                                InstanceGoneEvent,
                                DrainedEvent,
                                LatencyEvent,
                                FleetTickEvent>;

} // namespace peridotspool::fleet
