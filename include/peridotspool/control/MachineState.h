#pragma once

#include "peridotspool/control/MembershipState.h"
#include "peridotspool/control/SettingsState.h"
#include "peridotspool/gateway/PeerMessage.h"
#include "peridotspool/gateway/QuotaFloors.h"
#include "peridotspool/rollout/RolloutTable.h"
#include "peridotspool/routing/Quarantine.h"

#include <boost/describe/class.hpp>

namespace peridotspool::control {

/**
 * The whole state that commands of the control log change, except the replica
 * set.
 */
struct MachineState
{
  SettingsState mSettings;
  MembershipState mMembership;
  FencingNumber mLastFencing;
  /** The latest windows of usage with final values, in ascending order. */
  std::vector<gateway::UsageWindow> mUsage;
  routing::QuarantineTable mQuarantine;
  rollout::RolloutTable mRollouts;
  gateway::QuotaFloors mQuotaFloors;

  auto operator<=>(const MachineState&) const = default;
};
BOOST_DESCRIBE_STRUCT(MachineState,
                      (),
                      (mSettings,
                       mMembership,
                       mLastFencing,
                       mUsage,
                       mQuarantine,
                       mRollouts,
                       mQuotaFloors))

} // namespace peridotspool::control
