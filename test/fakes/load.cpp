#include "fakes/support/LoadReportJson.h"

#include <iostream>

using namespace peridotspool::fakes;

namespace {

constexpr int kSomethingWrong = 1;
constexpr int kBadOptions = 2;

bool
AreUsable(const LoadOptions& aOptions)
{
  if (!aOptions.mDirect.empty()) {
    return ParseAddress(aOptions.mDirect).has_value();
  }
  return !aOptions.mEntries.empty() &&
         std::all_of(aOptions.mEntries.begin(),
                     aOptions.mEntries.end(),
                     [](const auto& aEntry) { return ParseAddress(aEntry); });
}

} // namespace

int
main(int aCount, char** aArguments)
{
  CLI::App app(
    "Sends requests and checks that each is answered whole and once");
  LoadOptions options;
  AddLoadOptions(app, options);
  CLI11_PARSE(app, aCount, aArguments);
  if (!AreUsable(options)) {
    std::cerr << "expected --entry or --direct with host:port" << std::endl;
    return kBadOptions;
  }
  LoadRun run(options);
  run.Run();
  const json::object report = ReportOf(run);
  std::cout << json::serialize(report) << std::endl;
  const bool right =
    NumberOf(report, "lost") == 0 && NumberOf(report, "doubled") == 0 &&
    NumberOf(report, "crossed") == 0 && NumberOf(report, "missing") == 0;
  return right ? 0 : kSomethingWrong;
}
