#include "ledger/PeeringOutbox.h"

#include <utility>

namespace peridotspool::ledger {

namespace {

void
FlushOne(auto& aMessages, Effects& aEffects)
{
  for (auto& [member, message] : aMessages) {
    aEffects.emplace_back(
      SendEffect{ .mTo = member, .mMessage = std::move(message) });
  }
  aMessages.clear();
}

} // namespace

void
PeeringOutbox::Flush(EpochNumber aEpoch, Effects& aEffects)
{
  for (auto& [member, report] : mReports) {
    report.mEpoch = aEpoch;
  }
  FlushOne(mQueries, aEffects);
  FlushOne(mReports, aEffects);
  FlushOne(mActivates, aEffects);
  FlushOne(mActivated, aEffects);
  FlushOne(mReleases, aEffects);
}

} // namespace peridotspool::ledger
