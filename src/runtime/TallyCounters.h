#pragma once

#include "peridotspool/request/Tally.h"

#include <boost/describe/enumerators.hpp>
#include <boost/mp11.hpp>

#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <string>

namespace peridotspool::runtime {

/** One counter for each Tally; any thread may add and read. */
class TallyCounters
{
public:
  using Tallies = boost::describe::describe_enumerators<request::Tally>;

  void Add(request::Tally aTally, std::uint64_t aAmount)
  {
    mCounts.at(static_cast<std::size_t>(aTally)) += aAmount;
  }

  /** All counts by their names in /metrics. */
  std::map<std::string, std::uint64_t> Read() const;

private:
  std::array<std::atomic<std::uint64_t>, boost::mp11::mp_size<Tallies>::value>
    mCounts{};
};

/** Returns kRefusedNoUpstream as "refused_no_upstream". */
std::string
CounterName(const std::string& aEnumerator);

/** Renders counters in the Prometheus text format. */
std::string
RenderMetrics(const std::map<std::string, std::uint64_t>& aCounters);

} // namespace peridotspool::runtime
