#pragma once

#include "peridotspool/base/Address.h"
#include "peridotspool/base/Ids.h"
#include "peridotspool/base/Time.h"

#include <boost/describe/class.hpp>
#include <boost/describe/enum.hpp>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace peridotspool::routing {

enum class UpstreamKind
{
  kModelEngine,
  kPlainService,
};
BOOST_DESCRIBE_ENUM(UpstreamKind, kModelEngine, kPlainService)

enum class UpstreamState
{
  kServing,
  /** Finishes what it has and must get no new work. */
  kLeaving,
};
BOOST_DESCRIBE_ENUM(UpstreamState, kServing, kLeaving)

/** What an upstream says of itself when it announces or renews its lease. */
struct UpstreamAnnouncement
{
  UpstreamName name;
  /** Rises with each life of the upstream's process. */
  Incarnation incarnation;
  /** Rises with each announcement of one life. */
  std::uint64_t sequence = 0;
  ServiceName service;
  UpstreamKind kind = UpstreamKind::kModelEngine;
  UpstreamState state = UpstreamState::kServing;
  FailureDomain domain;
  Address address;
  /** Requests that it runs at once; beyond this they wait inside it. */
  std::uint32_t slots = 1;
  /** Price in millionths of a currency unit an hour. */
  std::uint64_t priceMicrosPerHour = 0;
  bool reclaimable = false;
  /** True iff its engine refuses an order with an old fencing number. */
  bool checksFencing = false;
  /** Load as of the moment of the announcement. */
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  /** Measured time to first token and between tokens. */
  Duration firstToken{ 0 };
  Duration tokenGap{ 0 };
  std::vector<std::string> models;
  /** How long this announcement holds without renewal. */
  Duration lease{ 0 };

  auto operator<=>(const UpstreamAnnouncement&) const = default;
};
BOOST_DESCRIBE_STRUCT(UpstreamAnnouncement,
                      (),
                      (name,
                       incarnation,
                       sequence,
                       service,
                       kind,
                       state,
                       domain,
                       address,
                       slots,
                       priceMicrosPerHour,
                       reclaimable,
                       checksFencing,
                       running,
                       waiting,
                       firstToken,
                       tokenGap,
                       models,
                       lease))

} // namespace peridotspool::routing
