#include "ledger/MessageCheck.h"

#include "peridotspool/base/Overloaded.h"

#include <algorithm>

namespace peridotspool::ledger {

namespace {

bool
IsKnown(ShardId aShard)
{
  return aShard.Value() < kShardCount;
}

bool
AreKnown(const auto& aItems)
{
  return std::all_of(aItems.begin(), aItems.end(), [](const auto& aItem) {
    return IsKnown(aItem.mShard);
  });
}

} // namespace

bool
NamesKnownShards(const Message& aMessage)
{
  return std::visit(
    Overloaded{
      [](const ProposeMessage&) { return true; },
      [](const AnswerMessage&) { return true; },
      [](const ReportMessage& aReport) { return AreKnown(aReport.mReports); },
      [](const RefusedMessage& aRefused) {
        return IsKnown(aRefused.mShard.mShard);
      },
      [](const QueryMessage& aQuery) { return AreKnown(aQuery.mShards); },
      [](const ActivateMessage& aActivate) {
        return AreKnown(aActivate.mShards);
      },
      [](const ActivatedMessage& aActivated) {
        return AreKnown(aActivated.mShards);
      },
      [](const ReleaseMessage& aRelease) { return AreKnown(aRelease.mShards); },
      [](const auto& aOfOneShard) { return IsKnown(aOfOneShard.mShard); } },
    aMessage);
}

} // namespace peridotspool::ledger
