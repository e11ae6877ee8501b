#include "peridotspool/runtime/EntryHost.h"
#include "peridotspool/runtime/GuardedMain.h"
#include "peridotspool/runtime/ProcessFiles.h"
#include "peridotspool/runtime/StopSignal.h"

#include <CLI/CLI.hpp>

#include <iostream>

namespace {

using namespace peridotspool;

constexpr int kExitBadSettings = 2;

int
RunProgram(int aCount, char** aArguments)
{
  CLI::App app("One entry of peridotspool: takes callers' requests.");
  std::string path;
  bool check = false;
  app.add_option("settings", path, "this process's settings file (YAML)")
    ->required();
  app.add_flag("--check", check, "only check the settings file");
  CLI11_PARSE(app, aCount, aArguments);

  const auto settings =
    runtime::LoadProcessSettings(path, settings::ProcessRole::kEntry);
  if (!settings) {
    return kExitBadSettings;
  }
  if (check) {
    std::cout << path << ": good\n";
    return 0;
  }
  runtime::EntryHost host(*settings);
  LastReason reason;
  if (!host.Start(reason)) {
    std::cerr << "cannot start: " << reason.Text() << "\n";
    return 1;
  }
  runtime::WaitForStopSignal();
  host.Leave();
  host.Wait();
  return 0;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  peridotspool::runtime::BlockStopSignals();
  return peridotspool::runtime::GuardedMain(RunProgram, aCount, aArguments);
}
