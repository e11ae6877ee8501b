#pragma once

#include "peridotspool/ledger/LedgerOptions.h"
#include "peridotspool/membership/ControlSessionOptions.h"
#include "peridotspool/membership/EntryDirectory.h"
#include "peridotspool/request/RequestOptions.h"
#include "peridotspool/routing/RouterOptions.h"

#include <cstdint>

namespace peridotspool::request {

struct EntryNodeOptions
{
  /** The nonce is made by the node from mRandomSeed for each life. */
  membership::ControlSessionOptions mSession;
  membership::EntryDirectoryOptions mDirectory;
  ledger::LedgerOptions mLedger;
  RequestOptions mRequests;
  routing::RouterOptions mRouter;
  /** From the system's random generator, given by the host. */
  std::uint64_t mRandomSeed = 1;
  /** A leaving entry stops after this long, whatever it still holds. */
  Duration mMaxLeaveTime = std::chrono::seconds(25);
};

} // namespace peridotspool::request
