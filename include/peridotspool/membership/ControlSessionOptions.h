#pragma once

#include "peridotspool/base/Address.h"
#include "peridotspool/base/Time.h"
#include "peridotspool/membership/EntryNonce.h"
#include "peridotspool/membership/EntryProfile.h"

#include <vector>

namespace peridotspool::membership {

/** Configuration of an entry's session with the control replicas. */
struct ControlSessionOptions
{
  /** Random, different for each start of the process, never zero. */
  EntryNonce mNonce;
  EntryProfile mProfile;
  /** The configured control replicas. */
  std::vector<Address> mControls;
  Duration mHeartbeatPeriod = std::chrono::milliseconds(300);
  /**
   * Heartbeat period while the entry has no settings, and therefore can't serve
   * requests, during the initial phase.
   */
  Duration mInitialHeartbeatPeriod = std::chrono::milliseconds(50);
  /** Length of the initial phase, from the start of the session. */
  Duration mInitialPhase = std::chrono::seconds(5);
  /**
   * How long the entry accepts new requests after sending the last heartbeat
   * for which a majority of control replicas confirmed that its settings were
   * the newest.
   */
  Duration mConfirmationGrace = std::chrono::seconds(4);
};

} // namespace peridotspool::membership
