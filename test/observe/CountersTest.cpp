// ctest-labels: unit
#include "peridotspool/observe/Counters.h"

#include <boost/describe/enumerators.hpp>
#include <boost/mp11/algorithm.hpp>
#include <catch2/catch.hpp>
#include <set>
#include <thread>
#include <vector>

namespace peridotspool::observe {

TEST_CASE("EveryReasonOfTheRequestPathHasItsCounter")
{
  std::set<CounterId> counters;
  boost::mp11::mp_for_each<
    boost::describe::describe_enumerators<request::Tally>>(
    [&](auto aEnumerator) {
      INFO("add a line to CounterList.inc for " << aEnumerator.name);
      REQUIRE(CounterNamed(aEnumerator.name).has_value());
      CHECK(counters.insert(CounterOf(aEnumerator.value)).second);
    });
}

TEST_CASE("EachCounterIsOneSeriesAndFamiliesStandTogether")
{
  std::set<std::string> series;
  std::set<std::string_view> families;
  std::string_view last;
  for (const CounterRow& row : kCounterRows) {
    INFO(row.mName);
    CHECK(series.insert(std::string(row.mFamily) + std::string(row.mLabels))
            .second);
    const bool opens = row.mFamily != last;
    CHECK(opens == !row.mMeaning.empty());
    CHECK(opens == families.insert(row.mFamily).second);
    last = row.mFamily;
  }
}

TEST_CASE("MetricsTextHasCountersGaugesAndHistograms")
{
  Counters counters;
  counters.Add(CounterId::kRefusedQueueFull, 3);
  counters.Set(CounterId::kUpstreamsKnown, 24);
  LatencyHistogram& first = counters.Histogram(HistogramId::kFirstTokenTime);
  first.Observe(std::chrono::milliseconds(440));
  first.Observe(std::chrono::hours(1));
  const std::string text = counters.MetricsText();
  CHECK_THAT(
    text,
    Catch::Contains("# TYPE peridotspool_refusals_total counter\n") &&
      Catch::Contains(
        "peridotspool_refusals_total{reason=\"queue_full\"} 3\n") &&
      Catch::Contains("# TYPE peridotspool_upstreams gauge\n") &&
      Catch::Contains("peridotspool_upstreams 24\n") &&
      Catch::Contains(
        "peridotspool_first_token_seconds_bucket{le=\"0.2\"} 0") &&
      Catch::Contains(
        "peridotspool_first_token_seconds_bucket{le=\"0.44\"} 1") &&
      Catch::Contains(
        "peridotspool_first_token_seconds_bucket{le=\"+Inf\"} 2") &&
      Catch::Contains("peridotspool_first_token_seconds_sum 3600.44\n") &&
      Catch::Contains("peridotspool_first_token_seconds_count 2\n"));
}

TEST_CASE("NoAdditionOfAnyThreadIsLost")
{
  Counters counters;
  std::vector<std::thread> threads;
  for (int at = 0; at < 4; ++at) {
    threads.emplace_back([&counters] {
      for (int step = 0; step < 10000; ++step) {
        counters.Add(CounterId::kAccepted);
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  CHECK(counters.Value(CounterId::kAccepted) == 40000);
}

} // namespace peridotspool::observe
