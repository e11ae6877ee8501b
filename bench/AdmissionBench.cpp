#include "peridotspool/routing/Admission.h"
#include "peridotspool/settings/SettingsTree.h"

#include <benchmark/benchmark.h>

namespace peridotspool::bench {

namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };

CustomerName
CustomerAt(std::int64_t aAt)
{
  return CustomerName("customer-" + std::to_string(aAt));
}

/** A push and a pop while every customer has requests waiting. */
void
FairQueuePushAndPop(benchmark::State& aState)
{
  routing::FairQueue queue({ .mMaxQueued = 1 << 20 });
  std::vector<routing::QueuedRequest> requests;
  for (std::int64_t at = 0; at < aState.range(0); ++at) {
    requests.push_back({ .mKey = { CustomerAt(at), "key" },
                         .mPriority = 10,
                         .mCost = 1,
                         .mDeadline = TimePoint::max() });
    queue.Push(requests.back());
    queue.Push(requests.back());
  }
  std::size_t next = 0;
  for (auto _ : aState) {
    queue.Push(requests[next++ % requests.size()]);
    benchmark::DoNotOptimize(queue.Pop());
  }
}
BENCHMARK(FairQueuePushAndPop)->Arg(5)->Arg(50)->Arg(500);

/** A request that is admitted at once, and its end. */
void
AdmissionAskAndEnded(benchmark::State& aState)
{
  routing::Admission admission({}, MemberId(1));
  std::vector<settings::EffectiveService> customers(
    static_cast<std::size_t>(aState.range(0)));
  for (std::size_t at = 0; at < customers.size(); ++at) {
    customers[at].mCustomer = CustomerAt(static_cast<std::int64_t>(at));
    customers[at].mLimits = { .mRatePerSecond = 1e9, .mConcurrency = 1000 };
  }
  std::size_t next = 0;
  for (auto _ : aState) {
    const auto& customer = customers[next++ % customers.size()];
    benchmark::DoNotOptimize(
      admission.Admit({ .mKey = { customer.mCustomer, "key" },
                        .mDeadline = kStart + std::chrono::seconds(30) },
                      customer,
                      kStart));
    admission.Ended(customer.mCustomer, std::chrono::milliseconds(500));
  }
}
BENCHMARK(AdmissionAskAndEnded)->Arg(5)->Arg(50)->Arg(500);

std::string
TreeText(std::int64_t aCustomers)
{
  std::string text = "services:\n  assistant: { kind: model }\n"
                     "  floor-data: { kind: plain }\ncustomers:\n";
  for (std::int64_t at = 0; at < aCustomers; ++at) {
    std::string hash = std::to_string(at);
    hash = std::string(64 - hash.size(), '0') + hash;
    text += "  customer-" + std::to_string(at) + ":\n    key_hashes: [" + hash +
            "]\n    limits: { rate: 20/s }\n";
  }
  return text;
}

/** Reading, checking and resolving a whole tree of settings. */
void
SettingsParse(benchmark::State& aState)
{
  const std::string text = TreeText(aState.range(0));
  for (auto _ : aState) {
    settings::SettingsErrors errors;
    benchmark::DoNotOptimize(
      settings::SettingsTree::Parse(text, "t.yaml", errors));
  }
}
BENCHMARK(SettingsParse)
  ->Arg(5)
  ->Arg(50)
  ->Arg(500)
  ->Unit(benchmark::kMicrosecond);

void
SettingsEffective(benchmark::State& aState)
{
  settings::SettingsErrors errors;
  const auto tree =
    settings::SettingsTree::Parse(TreeText(aState.range(0)), "t", errors);
  const CustomerName customer = CustomerAt(aState.range(0) / 2);
  const ServiceName service("assistant");
  for (auto _ : aState) {
    benchmark::DoNotOptimize(tree->Effective(customer, service));
  }
}
BENCHMARK(SettingsEffective)->Arg(5)->Arg(50)->Arg(500);

} // namespace

} // namespace peridotspool::bench
