// ctest-labels: unit
#include "peridotspool/routing/UpstreamPathMonitor.h"

#include <catch2/catch.hpp>

namespace peridotspool::routing {

namespace {

const UpstreamName kOne("one");
const UpstreamName kTwo("two");

TimePoint
At(int aMs)
{
  return TimePoint(std::chrono::seconds(1000) + std::chrono::milliseconds(aMs));
}

UpstreamPathMonitor
PartitionedAt(int aMs)
{
  UpstreamPathMonitor monitor;
  monitor.RecordUnreachable(kOne, At(aMs));
  monitor.RecordUnreachable(kTwo, At(aMs));
  return monitor;
}

} // namespace

TEST_CASE("APartitionBeginsWhenOthersReachTwoUpstreamsThatThisEntryCannot")
{
  UpstreamPathMonitor monitor;
  CHECK_FALSE(monitor.RecordUnreachable(kOne, At(0)));
  CHECK_FALSE(monitor.RecordUnreachable(kOne, At(10)));
  CHECK(monitor.RecordUnreachable(kTwo, At(20)));
  CHECK(monitor.Path() == UpstreamPath::kPartitioned);
}

// Guards against an entry that blames itself for upstreams that are down.
TEST_CASE("FailedConnectionsAloneAreNoPartition")
{
  UpstreamPathMonitor monitor;
  for (int i = 0; i < 100; ++i) {
    monitor.RecordConnectFailed(UpstreamName("u" + std::to_string(i)));
  }
  CHECK(monitor.Path() == UpstreamPath::kDirect);
  CHECK(monitor.IsSuspect());
  monitor.RecordConnected(kOne, At(0));
  CHECK_FALSE(monitor.IsSuspect());
}

TEST_CASE("EvidenceOfAPartitionEndsWithAConnectionOrWithAge")
{
  UpstreamPathMonitor connected;
  connected.RecordUnreachable(kOne, At(0));
  connected.RecordConnected(kTwo, At(10));
  CHECK_FALSE(connected.RecordUnreachable(kTwo, At(20)));

  UpstreamPathMonitor aged;
  aged.RecordUnreachable(kOne, At(0));
  CHECK_FALSE(aged.RecordUnreachable(kTwo, At(5000)));
}

// Guards against a partition that is taken for over by one connection that was
// established as it began.
TEST_CASE("APartitionEndsWhenTwoUpstreamsAreReachedWithoutFailure")
{
  UpstreamPathMonitor monitor = PartitionedAt(0);
  CHECK_FALSE(monitor.RecordConnected(kOne, At(100)));
  monitor.RecordConnectFailed(kTwo);
  CHECK_FALSE(monitor.RecordConnected(kOne, At(200)));
  CHECK_FALSE(monitor.RecordConnected(kOne, At(300)));
  CHECK(monitor.RecordConnected(kTwo, At(400)));
  CHECK(monitor.Path() == UpstreamPath::kDirect);
}

TEST_CASE("APartitionedEntryProbesOnceInAnInterval")
{
  UpstreamPathMonitor monitor = PartitionedAt(0);
  CHECK(monitor.StartProbe(At(0)));
  CHECK_FALSE(monitor.StartProbe(At(499)));
  CHECK(monitor.StartProbe(At(500)));
}

// Guards against a partition that nobody notices because all requests are sent
// on open connections.
TEST_CASE("RequestsWithoutResponsesFromSeveralUpstreamsStartAProbe")
{
  UpstreamPathMonitor monitor;
  monitor.RecordRequest(1, kOne, At(0));
  monitor.RecordRequest(2, kTwo, At(50));
  CHECK_FALSE(monitor.StartProbe(At(449)));
  CHECK(monitor.StartProbe(At(450)));
}

// Guards against probes because of one upstream that is silent for a second.
TEST_CASE("OneSilentUpstreamIsNoReasonToProbe")
{
  UpstreamPathMonitor monitor;
  monitor.RecordRequest(1, kOne, At(0));
  monitor.RecordRequest(2, kOne, At(0));
  CHECK_FALSE(monitor.StartProbe(At(1000)));
  monitor.RecordRequest(3, kTwo, At(1000));
  monitor.RecordReceived(3, At(1100));
  monitor.RecordIdle(3);
  CHECK_FALSE(monitor.StartProbe(At(1300)));
  CHECK(monitor.StartProbe(At(1500)));
}

TEST_CASE("ConnectionsThatReceiveBytesDuringAPartitionAreTrusted")
{
  UpstreamPathMonitor monitor = PartitionedAt(1000);
  CHECK_FALSE(monitor.IsTrusted(std::nullopt));
  CHECK_FALSE(monitor.IsTrusted(At(999)));
  CHECK(monitor.IsTrusted(At(1001)));
  CHECK(monitor.AreOpenConnectionsSilent(At(1400)));
  monitor.RecordReceived(1, At(1401));
  CHECK_FALSE(monitor.AreOpenConnectionsSilent(At(2000)));
}

} // namespace peridotspool::routing
