#include "peridotspool/runtime/ControlHost.h"
#include "peridotspool/runtime/GuardedMain.h"
#include "peridotspool/runtime/ProcessFiles.h"
#include "peridotspool/runtime/StopSignal.h"

#include <CLI/CLI.hpp>

#include <iostream>
#include <utility>

namespace {

using namespace peridotspool;

constexpr int kExitBadSettings = 2;

int
Run(const settings::ProcessSettings& aSettings)
{
  LastReason reason;
  auto options = runtime::MakeControlOptions(aSettings, reason);
  if (!options) {
    std::cerr << "cannot start: " << reason.Text() << "\n";
    return 1;
  }
  runtime::ControlHost host(std::move(*options));
  if (!host.Start(reason)) {
    std::cerr << "cannot start: " << reason.Text() << "\n";
    return 1;
  }
  runtime::WaitForStopSignal();
  host.Leave();
  return host.Wait() ? 0 : 1;
}

int
Initialise(const settings::ProcessSettings& aSettings)
{
  LastReason reason;
  if (!runtime::InitialiseControl(aSettings, reason)) {
    std::cerr << "cannot initialise: " << reason.Text() << "\n";
    return 1;
  }
  std::cout << "a new system begins in " << aSettings.mDataFolder << "\n";
  return 0;
}

int
RunProgram(int aCount, char** aArguments)
{
  CLI::App app("One control replica of peridotspool: keeps its state.");
  std::string path;
  bool check = false;
  app.add_option("settings", path, "this process's settings file (YAML)")
    ->required();
  app.add_flag("--check", check, "only check the settings file");
  auto* init = app.add_subcommand(
    "init", "make the data folder of a new system's first replica");
  CLI11_PARSE(app, aCount, aArguments);

  const auto settings =
    runtime::LoadProcessSettings(path, settings::ProcessRole::kControl);
  if (!settings) {
    return kExitBadSettings;
  }
  if (check) {
    std::cout << path << ": good\n";
    return 0;
  }
  return init->parsed() ? Initialise(*settings) : Run(*settings);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  peridotspool::runtime::BlockStopSignals();
  return peridotspool::runtime::GuardedMain(RunProgram, aCount, aArguments);
}
