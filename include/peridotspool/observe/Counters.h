#pragma once

#include "peridotspool/observe/CounterCatalogue.h"
#include "peridotspool/observe/LatencyHistogram.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <string>

namespace peridotspool::observe {

/** Names one histogram; see HistogramList.inc. */
enum class HistogramId
{
#define PERIDOTSPOOL_HISTOGRAM(aId, aFamily, aMeaning) aId,
#include "peridotspool/observe/HistogramList.inc"
#undef PERIDOTSPOOL_HISTOGRAM
  /** Not a histogram: their number. */
  kEnd
};

inline constexpr std::size_t kHistogramCount =
  static_cast<std::size_t>(HistogramId::kEnd);

/**
 * All counters of one process. Any thread may add and read; an addition is one
 * relaxed atomic step and takes no lock.
 */
class Counters
{
public:
  void Add(CounterId aId, std::uint64_t aAmount = 1);
  /** For gauges. */
  void Set(CounterId aId, std::uint64_t aValue);
  std::uint64_t Value(CounterId aId) const;

  LatencyHistogram& Histogram(HistogramId aId);
  const LatencyHistogram& Histogram(HistogramId aId) const;

  /** Everything in the Prometheus text format. */
  std::string MetricsText() const;

private:
  /** Each on a cache line of its own, so that threads do not disturb others. */
  struct alignas(64) Cell
  {
    std::atomic<std::uint64_t> mValue{ 0 };
  };

  std::array<Cell, kCounterCount> mCells;
  std::array<LatencyHistogram, kHistogramCount> mHistograms;
};

} // namespace peridotspool::observe
