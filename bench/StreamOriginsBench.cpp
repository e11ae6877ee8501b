#include "peridotspool/gateway/PeerMessage.h"
#include "peridotspool/streams/OriginStore.h"
#include "peridotspool/streams/ReplicaSelector.h"
#include "peridotspool/wire/Codec.h"
#include "peridotspool/wire/PeerEnvelope.h"

#include <benchmark/benchmark.h>

#include <malloc.h>

namespace peridotspool::bench {

namespace {

constexpr TimePoint kNow{ std::chrono::hours(1) };
const Region kRegion("region");

streams::ReplicaSelector
SelectorOf(std::int64_t aEntries)
{
  constexpr std::int64_t kDomains = 4;
  std::vector<streams::Replica> members;
  for (std::int64_t at = 0; at < aEntries; ++at) {
    members.push_back(
      { .mMember = MemberId(static_cast<std::uint64_t>(at) + 1),
        .mAddress = { "10.0.0." + std::to_string(at), 7602 },
        .mRegion = kRegion,
        .mDomain = FailureDomain("domain-" + std::to_string(at % kDomains)) });
  }
  streams::ReplicaSelector selector;
  selector.SetMembers(members);
  return selector;
}

streams::OriginRecord
RecordAt(std::uint64_t aAt)
{
  return {
    .mKey = streams::StreamKeyOf(CustomerName("customer"), std::to_string(aAt)),
    .mAnswer = { .mKnowledge = streams::OriginKnowledge::kKnown,
                 .mOrigin = { .mService = ServiceName("service-01"),
                              .mVersion = VersionName("v1.2"),
                              .mUpstream = UpstreamName("i-0123456789") },
                 .mLifetimeMs = 72000 }
  };
}

/** Choosing the holders of a new stream's origin. */
void
StreamOriginHolders(benchmark::State& aState)
{
  const auto selector = SelectorOf(aState.range(0));
  std::uint64_t at = 0;
  for (auto _ : aState) {
    benchmark::DoNotOptimize(
      selector.Holders({ .mHigh = 0, .mLow = ++at }, kRegion));
  }
}
BENCHMARK(StreamOriginHolders)->Arg(9)->Arg(300)->Arg(1000);

/** Choosing the entries that are asked for a resumed stream's origin. */
void
StreamOriginPossibleHolders(benchmark::State& aState)
{
  const auto selector = SelectorOf(aState.range(0));
  std::uint64_t at = 0;
  for (auto _ : aState) {
    benchmark::DoNotOptimize(
      selector.PossibleHolders({ .mHigh = 0, .mLow = ++at }, kRegion));
  }
}
BENCHMARK(StreamOriginPossibleHolders)->Arg(9)->Arg(300)->Arg(1000);

/** Holding a record; reports the bytes of memory of each. */
void
StreamOriginStore(benchmark::State& aState)
{
  std::size_t bytes = 0;
  for (auto _ : aState) {
    streams::OriginStore store;
    const std::size_t before = ::mallinfo2().uordblks;
    for (std::int64_t at = 0; at < aState.range(0); ++at) {
      store.Add(RecordAt(static_cast<std::uint64_t>(at)), kNow);
    }
    bytes = (::mallinfo2().uordblks - before) /
            static_cast<std::size_t>(aState.range(0));
  }
  aState.counters["bytes_each"] = static_cast<double>(bytes);
}
BENCHMARK(StreamOriginStore)->Arg(1000)->Arg(32768);

/** Encoding the messages of an origin; reports the bytes of each. */
void
StreamOriginMessages(benchmark::State& aState)
{
  const auto encode = [](gateway::PeerMessage aMessage) {
    return wire::Encode(wire::PeerEnvelope{ .mFrom = { "10.1.0.14", 7602 },
                                            .mPayload = std::move(aMessage) })
      .size();
  };
  const streams::OriginRecord record = RecordAt(1);
  for (auto _ : aState) {
    aState.counters["write"] = static_cast<double>(
      encode(streams::OriginWrite{ .mTag = ~0ULL, .mRecords = { record } }));
  }
  aState.counters["ack"] =
    static_cast<double>(encode(streams::OriginAck{ .mTag = ~0ULL }));
  aState.counters["query"] = static_cast<double>(
    encode(streams::OriginQuery{ .mTag = ~0ULL, .mKey = record.mKey }));
  aState.counters["response"] = static_cast<double>(encode(
    streams::OriginResponse{ .mTag = ~0ULL, .mAnswer = record.mAnswer }));
}
BENCHMARK(StreamOriginMessages);

} // namespace

} // namespace peridotspool::bench
