#pragma once

#include "peridotspool/base/Address.h"
#include "peridotspool/control/ControlOptions.h"
#include "peridotspool/control/RestoredState.h"
#include "peridotspool/fleet/LeaderTaskManager.h"
#include "peridotspool/gateway/QuotaAllocator.h"
#include "peridotspool/rollout/RolloutController.h"
#include "peridotspool/runtime/ControlDialect.h"
#include "peridotspool/settings/LogSettings.h"
#include "peridotspool/settings/NodeSettings.h"
#include "peridotspool/settings/ProcessBounds.h"
#include "peridotspool/settings/ProcessSettings.h"

#include <optional>
#include <string>

namespace peridotspool::runtime {

/** What the leader does besides keeping the log. */
struct DutyHostOptions
{
  std::string mHolder;
  /** Unset: the cloud is told nothing. */
  std::optional<Address> mCloud;
  fleet::LeaderTaskOptions mDuties;
  gateway::QuotaBounds mQuota;
  rollout::RolloutOptions mRollout;
};

/** What one control replica is made of, whatever kind of file says so. */
struct ControlHostOptions
{
  /** For the log. */
  std::string mName;
  Address mPeerListen;
  /** Where it listens for peers if that differs; see NodeListen. */
  std::optional<Address> mPeerBind;
  Address mOperatorsListen;
  /** A further address at which callers ask for entries. */
  std::optional<Address> mDirectoryListen;
  std::string mDataFolder;
  settings::LogSettings mLog;
  settings::ProcessBounds mBounds;
  std::string mPeerKey;
  ControlDialect mDialect;
  /** mAddress is filled in by the host when it is unset. */
  control::ControlOptions mNode;
  /** What an empty folder starts from; without an identity it joins. */
  control::RestoredState mFirstState;
  /** Unset where there are none. */
  std::optional<DutyHostOptions> mDuties;
};

/** The options of a replica of a deployment with a written list of replicas. */
std::optional<ControlHostOptions>
MakeControlOptions(const settings::ProcessSettings& aSettings,
                   LastReason& aReason);

/** The options of a replica of a deployment that forms from seeds. */
ControlHostOptions
MakeSeededOptions(const settings::NodeSettings& aSettings,
                  ControlDialect aDialect);

} // namespace peridotspool::runtime
