#include "peridotspool/base/ContentId.h"
#include "peridotspool/routing/QuarantineGate.h"

#include <benchmark/benchmark.h>

#include <string>

namespace peridotspool::bench {

namespace {

constexpr TimePoint kNow{ std::chrono::hours(1) };

/** What each request pays: its content's name, for a body of so many bytes. */
void
QuarantineContentOf(benchmark::State& aState)
{
  const std::string body(static_cast<std::size_t>(aState.range(0)), 'x');
  const RequestContent content{ .mCustomer = CustomerName("customer"),
                                .mMethod = "POST",
                                .mHost = "h.example",
                                .mTarget = "/assistant/answers",
                                .mBody = body };
  for (auto _ : aState) {
    benchmark::DoNotOptimize(ContentOf(content));
  }
}
BENCHMARK(QuarantineContentOf)->Arg(0)->Arg(1500)->Arg(17000)->Arg(1 << 20);

/** The look at a list of so many contents for a prompt of so many parts, and
 * the note of the answer. */
void
QuarantineGateAskAndAnswer(benchmark::State& aState)
{
  routing::QuarantineGate gate;
  routing::QuarantineUpdate told{ .mFrom = 0, .mTo = 2 };
  for (std::int64_t i = 0; i < aState.range(0); ++i) {
    told.mLines.push_back(
      { .mContent = { .mLow = static_cast<std::uint64_t>(i) },
        .mStage = routing::QuarantineStage::kRefused });
  }
  gate.ApplyUpdate(told, kNow);
  routing::GateRequest request{ .mContent = { .mHigh = 1, .mLow = 1U << 30 } };
  for (std::int64_t i = 0; i < aState.range(1); ++i) {
    request.mParts.emplace_back(static_cast<std::uint64_t>(i + 1));
  }
  for (auto _ : aState) {
    benchmark::DoNotOptimize(
      gate.Check(request, std::chrono::seconds(4), kNow));
    benchmark::DoNotOptimize(
      gate.Answered(0, request, routing::AnswerEvidence::kComplete, kNow));
  }
}
BENCHMARK(QuarantineGateAskAndAnswer)
  ->Args({ 0, 0 })
  ->Args({ 512, 0 })
  ->Args({ 0, 3 })
  ->Args({ 512, 3 })
  ->Args({ 512, 1000 });

} // namespace

} // namespace peridotspool::bench
