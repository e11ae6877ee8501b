#include "peridotspool/runtime/CtlCommands.h"
#include "peridotspool/runtime/GuardedMain.h"
#include "peridotspool/runtime/KeyFiles.h"

#include <CLI/CLI.hpp>

#include <functional>
#include <iostream>

namespace {

using namespace peridotspool;
using runtime::CtlCommands;
using runtime::CtlExit;

/** What the command line says. */
struct Arguments
{
  std::string mControls;
  std::string mEntries;
  std::string mKeyFile;
  std::string mOutput = "table";
  std::string mPath;
  std::string mValue;
  std::string mFile;
  std::string mCustomer;
  std::string mKey;
  std::uint64_t mSeconds = 0;
  std::uint64_t mFrom = 0;
  std::uint64_t mTo = 0;
};

using Command = std::function<CtlExit(CtlCommands&)>;

void
AddSettingsCommands(CLI::App& aApp, Arguments& aArguments, Command& aCommand)
{
  auto* settings = aApp.add_subcommand("settings", "the tree of settings");
  settings->require_subcommand(1);
  auto* get = settings->add_subcommand("get", "the tree, or one value");
  get->add_option("path", aArguments.mPath, "services.assistant.limits.rate");
  get->callback([&] {
    aCommand = [&](CtlCommands& aOne) {
      return aOne.SettingsGet(aArguments.mPath);
    };
  });
  auto* set = settings->add_subcommand("set", "change one value");
  set->add_option("path", aArguments.mPath)->required();
  set->add_option("value", aArguments.mValue, "with its unit: 20/s, 440ms")
    ->required();
  set->callback([&] {
    aCommand = [&](CtlCommands& aOne) {
      return aOne.SettingsSet(aArguments.mPath, aArguments.mValue);
    };
  });
  auto* apply = settings->add_subcommand("apply", "replace the whole tree");
  apply->add_option("file", aArguments.mFile)->required();
  apply->add_option("--base", aArguments.mFrom, "the revision it was made from")
    ->required();
  apply->callback([&] {
    aCommand = [&](CtlCommands& aOne) {
      return aOne.SettingsApply(aArguments.mFile, aArguments.mFrom);
    };
  });
  auto* diff = settings->add_subcommand("diff", "between two revisions");
  diff->add_option("from", aArguments.mFrom)->required();
  diff->add_option("to", aArguments.mTo)->required();
  diff->callback([&] {
    aCommand = [&](CtlCommands& aOne) {
      return aOne.SettingsDiff(aArguments.mFrom, aArguments.mTo);
    };
  });
  auto* check = settings->add_subcommand("check", "check a file only");
  check->add_option("file", aArguments.mFile)->required();
  check->callback([&] {
    aCommand = [&](CtlCommands& aOne) {
      return aOne.SettingsCheck(aArguments.mFile);
    };
  });
  settings->add_subcommand("history", "the latest changes")->callback([&] {
    aCommand = [](CtlCommands& aOne) { return aOne.SettingsHistory(); };
  });
}

void
AddRequestCommands(CLI::App& aApp, Arguments& aArguments, Command& aCommand)
{
  auto* request = aApp.add_subcommand("request", "one request");
  request->require_subcommand(1);
  auto* show = request->add_subcommand("show", "its record in the ledger");
  show->add_option("key", aArguments.mKey)->required();
  show->add_option("--customer", aArguments.mCustomer)->required();
  show->callback([&] {
    aCommand = [&](CtlCommands& aOne) {
      return aOne.ShowRequest(aArguments.mCustomer, aArguments.mKey);
    };
  });
  auto* explain =
    aApp.add_subcommand("explain", "why a request went to its upstream");
  explain->add_option("key", aArguments.mKey)->required();
  explain->add_option("--customer", aArguments.mCustomer)->required();
  explain->callback([&] {
    aCommand = [&](CtlCommands& aOne) {
      return aOne.Explain(aArguments.mCustomer, aArguments.mKey);
    };
  });
}

void
AddRolloutCommands(CLI::App& aApp, Arguments& aArguments, Command& aCommand)
{
  auto* rollout =
    aApp.add_subcommand("rollout", "new versions of a service's upstreams");
  rollout->require_subcommand(1);
  rollout->add_subcommand("list", "with their states and reasons")
    ->callback(
      [&] { aCommand = [](CtlCommands& aOne) { return aOne.Rollouts(); }; });
  auto* start = rollout->add_subcommand("start", "move traffic to a version");
  start->add_option("service", aArguments.mKey)->required();
  start->add_option("version", aArguments.mValue)->required();
  start->add_option("--seconds", aArguments.mSeconds, "until it is completed")
    ->required();
  start->callback([&] {
    aCommand = [&](CtlCommands& aOne) {
      return aOne.StartRollout(
        aArguments.mKey, aArguments.mValue, aArguments.mSeconds);
    };
  });
  auto* abort = rollout->add_subcommand("abort", "roll it back now");
  abort->add_option("service", aArguments.mKey)->required();
  abort->callback([&] {
    aCommand = [&](CtlCommands& aOne) {
      return aOne.AbortRollout(aArguments.mKey);
    };
  });
}

void
AddSystemCommands(CLI::App& aApp, Arguments& aArguments, Command& aCommand)
{
  aApp.add_subcommand("status", "control replicas and entries")->callback([&] {
    aCommand = [](CtlCommands& aOne) { return aOne.Status(); };
  });
  aApp.add_subcommand("entries", "the entries")->callback([&] {
    aCommand = [](CtlCommands& aOne) { return aOne.Entries(); };
  });
  aApp.add_subcommand("upstreams", "upstreams as an entry sees them")
    ->callback(
      [&] { aCommand = [](CtlCommands& aOne) { return aOne.Upstreams(); }; });
  auto* quarantine = aApp.add_subcommand(
    "quarantine", "requests that upstreams ended under, by content");
  quarantine->require_subcommand(1);
  quarantine->add_subcommand("list", "with the ends behind each")
    ->callback(
      [&] { aCommand = [](CtlCommands& aOne) { return aOne.Quarantine(); }; });
  auto* lift = quarantine->add_subcommand("lift", "let one run again");
  lift->add_option("content", aArguments.mValue, "32 digits, as listed")
    ->required();
  lift->callback([&] {
    aCommand = [&](CtlCommands& aOne) { return aOne.Lift(aArguments.mValue); };
  });
  AddRolloutCommands(aApp, aArguments, aCommand);
  auto* drain = aApp.add_subcommand("drain", "let an entry leave gracefully");
  drain->add_option("entry", aArguments.mValue, "its name")->required();
  drain->callback([&] {
    aCommand = [&](CtlCommands& aOne) { return aOne.Drain(aArguments.mValue); };
  });
}

std::optional<runtime::OperatorClientOptions>
ClientOptions(const Arguments& aArguments, LastReason& aReason)
{
  const auto controls = runtime::ParseAddresses(aArguments.mControls, aReason);
  const auto entries = runtime::ParseAddresses(aArguments.mEntries, aReason);
  if (!controls || !entries) {
    return std::nullopt;
  }
  std::string key;
  if (!aArguments.mKeyFile.empty()) {
    constexpr std::size_t kMaxKeyBytes = 4096;
    const auto text =
      runtime::ReadSmallFile(aArguments.mKeyFile, kMaxKeyBytes, aReason);
    if (!text) {
      return std::nullopt;
    }
    key = text->substr(0, text->find_first_of("\r\n"));
  }
  return runtime::OperatorClientOptions{ .mControls = *controls,
                                         .mEntries = *entries,
                                         .mKey = key };
}

int
RunProgram(int aCount, char** aArguments)
{
  CLI::App app(
    "Steers peridotspool.\n\n"
    "  peridotctl --control 127.0.0.1:7161 --key-file op.key status\n"
    "  peridotctl ... settings set services.assistant.limits.rate "
    "20/s\n\n"
    "Exit codes: 0 done, 2 invalid, 3 conflict, 4 unreachable, "
    "5 not in force in time, 6 refused.");
  Arguments arguments;
  Command command;
  app
    .add_option(
      "--control", arguments.mControls, "control replicas, IP:port,...")
    ->envname("PERIDOTCTL_CONTROL");
  app.add_option("--entries", arguments.mEntries, "entries, IP:port,...")
    ->envname("PERIDOTCTL_ENTRIES");
  app
    .add_option("--key-file", arguments.mKeyFile, "file with an operator's key")
    ->envname("PERIDOTCTL_KEY_FILE");
  app.add_option("--output", arguments.mOutput)
    ->check(CLI::IsMember({ "table", "json" }));
  app.require_subcommand(1);
  AddSystemCommands(app, arguments, command);
  AddSettingsCommands(app, arguments, command);
  AddRequestCommands(app, arguments, command);
  CLI11_PARSE(app, aCount, aArguments);

  LastReason reason;
  const auto options = ClientOptions(arguments, reason);
  if (!options) {
    std::cerr << reason.Text() << "\n";
    return static_cast<int>(CtlExit::kInvalid);
  }
  runtime::OperatorClient client(*options);
  CtlCommands commands(client,
                       arguments.mOutput == "json"
                         ? runtime::CtlFormat::kJson
                         : runtime::CtlFormat::kTable);
  return static_cast<int>(command(commands));
}

} // namespace

int
main(int aCount, char** aArguments)
{
  return peridotspool::runtime::GuardedMain(RunProgram, aCount, aArguments);
}
