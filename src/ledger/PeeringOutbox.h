#pragma once

#include "peridotspool/ledger/Effect.h"

#include <map>

namespace peridotspool::ledger {

/**
 * Batches the peering messages of a step, so that each member receives at most
 * one message of each kind.
 */
struct PeeringOutbox
{
  std::map<MemberId, QueryMessage> mQueries;
  std::map<MemberId, ReportMessage> mReports;
  std::map<MemberId, ActivateMessage> mActivates;
  std::map<MemberId, ActivatedMessage> mActivated;
  std::map<MemberId, ReleaseMessage> mReleases;

  /** Moves all batched messages to the effects. */
  void Flush(EpochNumber aEpoch, Effects& aEffects);
};

} // namespace peridotspool::ledger
