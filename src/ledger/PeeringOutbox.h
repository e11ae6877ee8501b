#pragma once

#include "peridotspool/ledger/Effect.h"

#include <map>

namespace peridotspool::ledger {

/** Joins a step's peering messages, so that each member gets one of a kind. */
struct PeeringOutbox
{
  std::map<MemberId, QueryMessage> mQueries;
  std::map<MemberId, ReportMessage> mReports;
  std::map<MemberId, ActivateMessage> mActivates;
  std::map<MemberId, ActivatedMessage> mActivated;
  std::map<MemberId, ReleaseMessage> mReleases;

  /** Moves all that is there to the effects. */
  void Flush(EpochNumber aEpoch, Effects& aEffects);
};

} // namespace peridotspool::ledger
