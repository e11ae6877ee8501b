// ctest-labels: unit
#include "peridotspool/gateway/QuotaLeases.h"

#include <catch2/catch.hpp>

namespace peridotspool::gateway {

namespace {

constexpr std::uint64_t kAllocatorId = 3;
const Address kEntry{ "127.0.0.1", 1 };

TimePoint
At(int aMs)
{
  return TimePoint(std::chrono::seconds(50) + std::chrono::milliseconds(aMs));
}

double
FallbackShareAt(QuotaLeases& aLeases, int aMs)
{
  aLeases.Advance(At(aMs));
  return aLeases.FallbackShare();
}

} // namespace

TEST_CASE("AMemberThatHasNotReportedMayUseItsFallbackShare")
{
  QuotaLeases leases(kAllocatorId, 1);
  leases.SetEntries({ kEntry }, At(0));
  CHECK(FallbackShareAt(leases, 1) == Approx(0.25));
  CHECK(leases.FallbackAccrual() == Approx(0.25).margin(0.001));
}

TEST_CASE("AConfirmedLeaseCountsFromWhenItWasSent")
{
  QuotaLeases leases(kAllocatorId, 1);
  leases.SetEntries({ kEntry }, At(0));
  const QuotaLease lease = leases.Renew(kEntry, {}, At(0));
  CHECK(FallbackShareAt(leases, 10) > 0.0);
  leases.Renew(kEntry, lease, At(300));
  CHECK(FallbackShareAt(leases, 310) == 0.0);
  CHECK(FallbackShareAt(leases, 900) == 0.0);
  // The lease sent at 300 ms has not been confirmed.
  CHECK(FallbackShareAt(leases, 1050) > 0.0);
}

// Guards against treating another leader's lease as the leader's own.
TEST_CASE("ALeaseOfAnotherLeaderIsNotConfirmed")
{
  QuotaLeases leases(kAllocatorId, 1);
  leases.SetEntries({ kEntry }, At(0));
  QuotaLease lease = leases.Renew(kEntry, {}, At(0));
  lease.mAllocatorId = kAllocatorId + 1;
  leases.Renew(kEntry, lease, At(10));
  CHECK(FallbackShareAt(leases, 20) > 0.0);
}

// Guards against granting a removed entry's share to others while the entry is
// still serving.
TEST_CASE("ARemovedEntryCountsUntilItsFallbackEnds")
{
  QuotaLeases leases(kAllocatorId, 1);
  leases.SetEntries({ kEntry }, At(0));
  leases.Renew(kEntry, leases.Renew(kEntry, {}, At(0)), At(10));
  leases.SetEntries({}, At(20));
  CHECK(FallbackShareAt(leases, 10000) > 0.0);
  CHECK(FallbackShareAt(leases, 30000) == 0.0);
}

TEST_CASE("AnEntryThatNeverHeldALeaseHasNoFallbackShare")
{
  QuotaLeases leases(kAllocatorId, 1);
  leases.Renew(kEntry, {}, At(0));
  CHECK(FallbackShareAt(leases, 10) == 0.0);
}

} // namespace peridotspool::gateway
