// ctest-labels: unit
#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <regex>
#include <string>

namespace peridotspool {

namespace {

const std::filesystem::path kRoot = PERIDOTSPOOL_SOURCE_DIR;

std::string
ReadText(const std::filesystem::path& aPath)
{
  std::ifstream file(aPath);
  return { std::istreambuf_iterator<char>(file),
           std::istreambuf_iterator<char>() };
}

} // namespace

TEST_CASE("EveryTestThatThePromisesPageNamesExists")
{
  // Symptom: the page names a proof that nobody can run. Sequence: a test is
  // renamed or taken out. Cause: nothing holds the page to the tests.
  const std::string page = ReadText(kRoot / "docs" / "PROMISES.md");
  REQUIRE_FALSE(page.empty());
  const std::regex name("`([A-Za-z]+/[A-Za-z0-9]+Test|[A-Z][A-Za-z0-9]+)`");
  std::string file;
  std::size_t cases = 0;
  for (auto match = std::sregex_iterator(page.begin(), page.end(), name);
       match != std::sregex_iterator();
       ++match) {
    const std::string found = (*match)[1];
    if (found == "LABEL" || found == "Case") {
      continue;
    }
    if (found.find('/') != std::string::npos) {
      file = ReadText(kRoot / "test" / (found + ".cpp"));
      INFO("docs/PROMISES.md names " << found << ", which is no test file");
      CHECK_FALSE(file.empty());
      continue;
    }
    ++cases;
    INFO("docs/PROMISES.md names the case " << found
                                            << ", which its file lacks");
    CHECK(file.find("TEST_CASE(\"" + found + "\"") != std::string::npos);
  }
  CHECK(cases > 50);
}

} // namespace peridotspool
