// ctest-labels: unit
#include "peridotspool/gateway/TunnelPeers.h"

#include <catch2/catch.hpp>

#include <map>
#include <random>
#include <string>

namespace peridotspool::gateway {

namespace {

const FailureDomain kOwn("own");
const FailureDomain kOther("other");

TimePoint
At(int aMs)
{
  return TimePoint(std::chrono::seconds(1000) + std::chrono::milliseconds(aMs));
}

Coordinator
Entry(int aNumber, const FailureDomain& aDomain)
{
  return { .mAddress = { "10.0.0." + std::to_string(aNumber), 7601 },
           .mDomain = aDomain };
}

} // namespace

TEST_CASE("AnEntryOfTheSameFailureDomainComesFirst")
{
  TunnelPeers peers(1);
  peers.Set({ Entry(1, kOther), Entry(2, kOwn), Entry(3, kOther) }, kOwn);
  CHECK(peers.Choose({}, At(0)) == Entry(2, kOwn).mAddress);
}

TEST_CASE("EachEntryIsTriedOnceForOneConnection")
{
  TunnelPeers peers(1);
  peers.Set({ Entry(1, kOther), Entry(2, kOwn) }, kOwn);
  std::set<Address> tried;
  while (const auto peer = peers.Choose(tried, At(0))) {
    REQUIRE(tried.insert(*peer).second);
  }
  CHECK(tried.size() == 2);
}

// Guards against entries of a domain that all rely on the one that is left in
// it.
TEST_CASE("TunnelsOfAPartitionedDomainAreSpreadOverTheOthers")
{
  constexpr int kPartitioned = 20;
  constexpr int kReachable = 20;
  constexpr int kTunnelsEach = 30;
  std::map<Address, int> load;
  for (int entry = 0; entry < kPartitioned; ++entry) {
    TunnelPeers peers(static_cast<std::uint64_t>(entry));
    std::vector<Coordinator> others{ Entry(1, kOwn) };
    for (int i = 0; i < kReachable; ++i) {
      others.push_back(Entry(100 + i, kOther));
    }
    peers.Set(others, kOwn);
    for (int tunnel = 0; tunnel < kTunnelsEach; ++tunnel) {
      const Address peer = peers.Choose({}, At(tunnel)).value();
      peers.RecordOpened(peer);
      ++load[peer];
    }
  }
  constexpr int kMean = kPartitioned * kTunnelsEach / kReachable;
  for (const auto& [peer, tunnels] : load) {
    INFO(ToText(peer) << " relays " << tunnels
                      << " tunnels, expected at most four times the mean of "
                      << kMean);
    CHECK(tunnels <= 4 * kMean);
  }
}

TEST_CASE("AnEntryThatFailedIsAvoidedForAWhile")
{
  TunnelPeers peers(1);
  peers.Set({ Entry(1, kOwn), Entry(2, kOther) }, kOwn);
  const Address near = Entry(1, kOwn).mAddress;
  const Address far = Entry(2, kOther).mAddress;
  peers.RecordFailure(near, TunnelFailure::kPeerPartitioned, At(0));
  CHECK(peers.Choose({}, At(499)) == far);
  CHECK(peers.Choose({}, At(500)) == near);
  peers.RecordFailure(near, TunnelFailure::kPeerPartitioned, At(500));
  CHECK(peers.Choose({}, At(1499)) == far);
  peers.RecordEstablished(near);
  CHECK(peers.Choose({}, At(1499)) == near);
}

TEST_CASE("AnEntryThatFindsTheUpstreamGoneIsNotAvoided")
{
  TunnelPeers peers(1);
  peers.Set({ Entry(1, kOwn), Entry(2, kOther) }, kOwn);
  const Address near = Entry(1, kOwn).mAddress;
  peers.RecordFailure(near, TunnelFailure::kUpstreamRefused, At(0));
  CHECK(peers.Choose({}, At(1)) == near);
}

TEST_CASE("WhatIsKnownOfAnEntryOutlivesAnEpoch")
{
  TunnelPeers peers(1);
  peers.Set({ Entry(1, kOwn), Entry(2, kOther) }, kOwn);
  peers.RecordFailure(
    Entry(1, kOwn).mAddress, TunnelFailure::kPeerUnreachable, At(0));
  peers.Set({ Entry(1, kOwn), Entry(2, kOther), Entry(3, kOther) }, kOwn);
  CHECK(peers.Choose({}, At(10)) != Entry(1, kOwn).mAddress);
  peers.Set({ Entry(1, kOwn) }, kOwn);
  CHECK_FALSE(peers.Contains(Entry(2, kOther).mAddress));
}

} // namespace peridotspool::gateway
