#include "peridotspool/observe/Counters.h"

#include <spdlog/fmt/fmt.h>

namespace peridotspool::observe {

namespace {

struct HistogramRow
{
  std::string_view mFamily;
  std::string_view mMeaning;
};

constexpr auto kHistogramRows = std::to_array<HistogramRow>({
#define PERIDOTSPOOL_HISTOGRAM(aId, aFamily, aMeaning) { aFamily, aMeaning },
#include "peridotspool/observe/HistogramList.inc"
#undef PERIDOTSPOOL_HISTOGRAM
});

double
Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

std::string
HistogramText(const HistogramRow& aRow, const LatencyHistogram& aHistogram)
{
  std::string text = fmt::format(
    "# HELP {0} {1}\n# TYPE {0} histogram\n", aRow.mFamily, aRow.mMeaning);
  for (std::size_t at = 0; at < kBucketEdges.size(); ++at) {
    text += fmt::format("{}_bucket{{le=\"{}\"}} {}\n",
                        aRow.mFamily,
                        Seconds(kBucketEdges[at]),
                        aHistogram.CountUpTo(at));
  }
  const std::uint64_t count = aHistogram.Count();
  text += fmt::format("{0}_bucket{{le=\"+Inf\"}} {1}\n{0}_sum {2}\n"
                      "{0}_count {1}\n",
                      aRow.mFamily,
                      count,
                      Seconds(aHistogram.Sum()));
  return text;
}

} // namespace

void
Counters::Add(CounterId aId, std::uint64_t aAmount)
{
  mCells[static_cast<std::size_t>(aId)].mValue.fetch_add(
    aAmount, std::memory_order_relaxed);
}

void
Counters::Set(CounterId aId, std::uint64_t aValue)
{
  mCells[static_cast<std::size_t>(aId)].mValue.store(aValue,
                                                     std::memory_order_relaxed);
}

std::uint64_t
Counters::Value(CounterId aId) const
{
  return mCells[static_cast<std::size_t>(aId)].mValue.load(
    std::memory_order_relaxed);
}

LatencyHistogram&
Counters::Histogram(HistogramId aId)
{
  return mHistograms[static_cast<std::size_t>(aId)];
}

const LatencyHistogram&
Counters::Histogram(HistogramId aId) const
{
  return mHistograms[static_cast<std::size_t>(aId)];
}

std::string
Counters::MetricsText() const
{
  std::string text;
  for (const CounterRow& row : kCounterRows) {
    if (!row.mMeaning.empty()) {
      text += fmt::format("# HELP {0} {1}\n# TYPE {0} {2}\n",
                          row.mFamily,
                          row.mMeaning,
                          row.mType);
    }
    text += row.mLabels.empty()
              ? fmt::format("{} {}\n", row.mFamily, Value(row.mId))
              : fmt::format(
                  "{}{{{}}} {}\n", row.mFamily, row.mLabels, Value(row.mId));
  }
  for (std::size_t at = 0; at < kHistogramCount; ++at) {
    text += HistogramText(kHistogramRows[at], mHistograms[at]);
  }
  return text;
}

} // namespace peridotspool::observe
