#pragma once

#include "peridotspool/base/Address.h"
#include "peridotspool/base/Time.h"
#include "peridotspool/membership/EntryNonce.h"
#include "peridotspool/membership/EntryProfile.h"

#include <vector>

namespace peridotspool::membership {

/** What an entry's session with the control replicas needs to know. */
struct ControlSessionOptions
{
  /** Random; differs for each start of the process, never zero. */
  EntryNonce mNonce;
  EntryProfile mProfile;
  /** All control replicas. */
  std::vector<Address> mControls;
  Duration mHeartbeatPeriod = std::chrono::milliseconds(300);
  /** An entry that has no settings yet serves nobody: it asks this often... */
  Duration mInitialHeartbeatPeriod = std::chrono::milliseconds(50);
  /** ...for this long from its start. */
  Duration mInitialPhase = std::chrono::seconds(5);
  /**
   * How long the entry takes new work after the last heartbeat for which a
   * majority of control replicas confirmed that its settings were the newest.
   */
  Duration mConfirmationGrace = std::chrono::seconds(4);
};

} // namespace peridotspool::membership
