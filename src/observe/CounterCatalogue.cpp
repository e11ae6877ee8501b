#include "peridotspool/observe/CounterCatalogue.h"

#include "peridotspool/base/Invariant.h"

#include <algorithm>
#include <boost/describe/enumerators.hpp>
#include <boost/mp11/algorithm.hpp>
#include <map>

namespace peridotspool::observe {

namespace {

std::map<request::Tally, CounterId>
TallyCounters()
{
  std::map<request::Tally, CounterId> counters;
  boost::mp11::mp_for_each<
    boost::describe::describe_enumerators<request::Tally>>(
    [&](auto aEnumerator) {
      const auto counter = CounterNamed(aEnumerator.name);
      if (counter) {
        counters.emplace(aEnumerator.value, *counter);
      }
    });
  return counters;
}

} // namespace

std::optional<CounterId>
CounterNamed(std::string_view aName)
{
  const auto found =
    std::find_if(kCounterRows.begin(),
                 kCounterRows.end(),
                 [&](const CounterRow& aRow) { return aRow.mName == aName; });
  if (found == kCounterRows.end()) {
    return std::nullopt;
  }
  return found->mId;
}

CounterId
CounterOf(request::Tally aTally)
{
  static const std::map<request::Tally, CounterId> sCounters = TallyCounters();
  const auto found = sCounters.find(aTally);
  PERIDOTSPOOL_INVARIANT(found != sCounters.end());
  return found->second;
}

} // namespace peridotspool::observe
