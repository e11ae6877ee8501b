#include "runtime/TallyCounters.h"

#include <cctype>

namespace peridotspool::runtime {

std::string
CounterName(const std::string& aEnumerator)
{
  std::string name;
  for (std::size_t place = 1; place < aEnumerator.size(); ++place) {
    const auto letter = static_cast<unsigned char>(aEnumerator[place]);
    if (std::isupper(letter) != 0 && !name.empty()) {
      name += '_';
    }
    name += static_cast<char>(std::tolower(letter));
  }
  return name;
}

std::map<std::string, std::uint64_t>
TallyCounters::Read() const
{
  std::map<std::string, std::uint64_t> counts;
  boost::mp11::mp_for_each<Tallies>([&](auto aTally) {
    counts[CounterName(aTally.name)] =
      mCounts.at(static_cast<std::size_t>(aTally.value));
  });
  return counts;
}

std::string
RenderMetrics(const std::map<std::string, std::uint64_t>& aCounters)
{
  std::string text;
  for (const auto& [name, count] : aCounters) {
    const std::string full = "peridotspool_" + name + "_total";
    text += "# TYPE " + full + " counter\n";
    text += full + " " + std::to_string(count) + "\n";
  }
  return text;
}

} // namespace peridotspool::runtime
