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
  /** The node generates the nonce of each incarnation from `mRandomSeed`. */
  membership::ControlSessionOptions mSession;
  membership::EntryDirectoryOptions mDirectory;
  ledger::LedgerOptions mLedger;
  RequestOptions mRequests;
  routing::RouterOptions mRouter;
  /** The host takes it from the system's random number generator. */
  std::uint64_t mRandomSeed = 1;
  /** Bounds the time for leaving; afterwards the entry stops even if it still
   * holds requests. */
  Duration mMaxLeaveTime = std::chrono::seconds(25);
};

} // namespace peridotspool::request
