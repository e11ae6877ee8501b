// ctest-labels: unit
#include "peridotspool/gateway/DialPlan.h"

#include <catch2/catch.hpp>

namespace peridotspool::gateway {

namespace {

using routing::UpstreamPath;
using std::chrono::milliseconds;

TimePoint
At(int aMs)
{
  return TimePoint(std::chrono::seconds(1000) + milliseconds(aMs));
}

DialPlan
PlanFor(UpstreamPath aPath, std::size_t aMaxTunnels)
{
  return DialPlan({ .mPath = aPath,
                    .mTimeout = milliseconds(700),
                    .mMaxTunnels = aMaxTunnels },
                  At(0));
}

} // namespace

TEST_CASE("AnEntryConnectsByItselfFirst")
{
  DialPlan plan = PlanFor(UpstreamPath::kDirect, 2);
  CHECK(plan.Next(At(0)).mAction == DialAction::kConnect);
  plan.RecordConnecting();
  CHECK(plan.Next(At(0)) ==
        DialStep{ .mAction = DialAction::kWait, .mWait = milliseconds(100) });
}

// Guards against a first try that waits for the time-out of a lost path.
TEST_CASE("ASlowConnectionGetsATunnelAsCompetitor")
{
  DialPlan plan = PlanFor(UpstreamPath::kDirect, 2);
  plan.RecordConnecting();
  CHECK(plan.Next(At(100)).mAction == DialAction::kOpenTunnel);
  plan.RecordTunnelOpening(At(100));
  CHECK(plan.Next(At(199)).mAction == DialAction::kWait);
  CHECK(plan.Next(At(200)).mAction == DialAction::kOpenTunnel);
  plan.RecordTunnelOpening(At(200));
  CHECK(plan.Next(At(300)) ==
        DialStep{ .mAction = DialAction::kWait, .mWait = milliseconds(400) });
  CHECK(plan.Next(At(700)).mAction == DialAction::kGiveUp);
}

TEST_CASE("AFailedConnectionGetsATunnelAtOnce")
{
  DialPlan plan = PlanFor(UpstreamPath::kDirect, 2);
  plan.RecordConnecting();
  plan.RecordConnectFailed(true);
  CHECK(plan.Next(At(1)).mAction == DialAction::kOpenTunnel);
}

TEST_CASE("APartitionedEntryUsesTunnelsOnly")
{
  DialPlan plan = PlanFor(UpstreamPath::kPartitioned, 2);
  CHECK(plan.Next(At(0)).mAction == DialAction::kOpenTunnel);
  plan.RecordTunnelOpening(At(0));
  plan.RecordTunnelFailed(TunnelFailure::kPeerPartitioned);
  CHECK(plan.Next(At(2)).mAction == DialAction::kOpenTunnel);
  plan.RecordTunnelOpening(At(2));
  plan.RecordTunnelFailed(TunnelFailure::kPeerUnreachable);
  CHECK(plan.Next(At(4)).mAction == DialAction::kGiveUp);
  CHECK(plan.Failure() == DialFailure{ .mRefused = false, .mPathLost = true });
}

TEST_CASE("APartitionedEntryWithoutOtherEntriesConnectsByItself")
{
  DialPlan plan = PlanFor(UpstreamPath::kPartitioned, 2);
  plan.RecordNoPeer();
  CHECK(plan.Next(At(0)).mAction == DialAction::kConnect);
}

// Guards against an upstream that is taken for dead because of this entry's
// path.
TEST_CASE("OnlyAnotherEntryConfirmsThatAnUpstreamRefuses")
{
  DialPlan alone = PlanFor(UpstreamPath::kDirect, 2);
  alone.RecordConnecting();
  alone.RecordConnectFailed(true);
  DialPlan confirmed = alone;
  DialPlan unconfirmed = alone;

  alone.RecordNoPeer();
  CHECK(alone.Next(At(1)).mAction == DialAction::kGiveUp);
  CHECK(alone.Failure().mRefused);

  confirmed.RecordTunnelOpening(At(1));
  confirmed.RecordTunnelFailed(TunnelFailure::kUpstreamRefused);
  CHECK(confirmed.Next(At(2)).mAction == DialAction::kGiveUp);
  CHECK(confirmed.Failure().mRefused);

  unconfirmed.RecordTunnelOpening(At(1));
  unconfirmed.RecordTunnelFailed(TunnelFailure::kPeerPartitioned);
  unconfirmed.RecordNoPeer();
  CHECK(unconfirmed.Next(At(2)).mAction == DialAction::kGiveUp);
  CHECK_FALSE(unconfirmed.Failure().mRefused);
}

TEST_CASE("AnUpstreamThatOthersDoNotReachEitherIsBlamed")
{
  DialPlan plan = PlanFor(UpstreamPath::kPartitioned, 1);
  plan.RecordTunnelOpening(At(0));
  plan.RecordTunnelFailed(TunnelFailure::kUpstreamTimedOut);
  CHECK(plan.Next(At(400)).mAction == DialAction::kGiveUp);
  CHECK_FALSE(plan.Failure().mPathLost);
}

} // namespace peridotspool::gateway
