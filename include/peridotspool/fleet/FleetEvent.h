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
  /** Under a reclaim notice or draining; already counted as lost. */
  kLeaving,
};

/** An instance as the cloud lists it. */
struct InstanceInfo
{
  InstanceName mName;
  /** The start request that created the instance; unset if unknown. */
  StartId mStart;
  ServiceName mService;
  OfferKey mOffer;
  InstanceState mState = InstanceState::kStarting;
};

/** The demands from the settings; replaces the earlier ones. */
struct DemandEvent
{
  std::vector<ServiceDemand> mDemands;
};

/** The cloud's prices; replaces the earlier ones. */
struct OffersEvent
{
  std::vector<Offer> mOffers;
};

/**
 * All instances known to the cloud. The planner acts only after the first list.
 */
struct ListedEvent
{
  std::vector<InstanceInfo> mInstances;
};

struct StartedEvent
{
  StartId mStart;
  InstanceName mInstance;
};

/** The cloud has no capacity for this start at the moment. */
struct StartRefusedEvent
{
  StartId mStart;
};

/** The instance's upstream has registered. */
struct ServingEvent
{
  InstanceName mInstance;
};

/** The cloud is about to reclaim the instance. */
struct ReclaimNoticeEvent
{
  InstanceName mInstance;
};

struct InstanceGoneEvent
{
  InstanceName mInstance;
};

/** A draining instance has no requests left. */
struct DrainedEvent
{
  InstanceName mInstance;
};

/**
 * 95th percentile of the time to a service's first token over the last seconds.
 */
struct LatencyEvent
{
  ServiceName mService;
  Duration mFirstToken{ 0 };
};

/** Advances time; sent about once a second. */
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
