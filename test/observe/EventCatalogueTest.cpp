// ctest-labels: unit
#include "peridotspool/observe/EventCatalogue.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <fstream>
#include <regex>
#include <set>
#include <string>

namespace peridotspool::observe {

namespace {

constexpr std::array<std::string_view, 4> kLevelNames{ "debug",
                                                       "info",
                                                       "warn",
                                                       "error" };

std::set<std::string>
RowsOfCode()
{
  std::set<std::string> rows;
  for (const EventRow& row : kEventRows) {
    rows.insert("| " + std::to_string(row.Number()) + " | " +
                std::string(row.mName) + " | " +
                std::string(kLevelNames[static_cast<std::size_t>(row.mLevel)]) +
                " | " + std::string(row.mMeaning) + " |");
  }
  return rows;
}

std::set<std::string>
RowsOfPage()
{
  std::ifstream page(PERIDOTSPOOL_SOURCE_DIR "/docs/EVENTS.md");
  std::set<std::string> rows;
  for (std::string line; std::getline(page, line);) {
    if (std::regex_search(line, std::regex("^\\| [0-9]"))) {
      rows.insert(line);
    }
  }
  return rows;
}

} // namespace

TEST_CASE("PageAndCodeHaveTheSameEvents")
{
  const auto code = RowsOfCode();
  const auto page = RowsOfPage();
  for (const std::string& row : code) {
    INFO("docs/EVENTS.md lacks this line of EventList.inc: " << row);
    CHECK(page.contains(row));
  }
  for (const std::string& row : page) {
    INFO("EventList.inc lacks this line of docs/EVENTS.md: " << row);
    CHECK(code.contains(row));
  }
}

TEST_CASE("EventNumbersRiseAndLieInTheirRanges")
{
  CHECK(std::is_sorted(kEventRows.begin(),
                       kEventRows.end(),
                       [](const EventRow& aLeft, const EventRow& aRight) {
                         return aLeft.mId < aRight.mId;
                       }));
  std::set<std::string_view> names;
  for (const EventRow& row : kEventRows) {
    INFO(row.mName);
    CHECK(row.Number() > 1000);
    CHECK(row.Number() < 9000);
    CHECK(names.insert(row.mName).second);
    CHECK(&RowOf(row.mId) == &row);
  }
}

} // namespace peridotspool::observe
