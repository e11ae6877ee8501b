#include "process/TestSystem.h"

#include "fakes/support/UpstreamOptions.h"
#include "http/Eventually.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <fstream>

namespace peridotspool::test {

using fakes::NumberOf;
using fakes::ParseObject;
using fakes::TextOf;

namespace {

/** Generous: the machine may be busy with other tests. */
constexpr std::chrono::seconds kPatience{ 30 };

std::string
ProgramPath(const std::string& aProgram)
{
  return std::string(PERIDOTSPOOL_BINARY_DIR) + "/" + aProgram;
}

bool
IsEntry(const std::string& aName)
{
  return aName.starts_with("entryd-");
}

std::vector<std::string>
TextsOf(const json::object& aObject,
        std::string_view aList,
        std::string_view aField)
{
  std::vector<std::string> texts;
  const json::value* list = aObject.if_contains(aList);
  if (list != nullptr && list->is_array()) {
    for (const json::value& item : list->as_array()) {
      texts.push_back(TextOf(item.as_object(), aField));
    }
  }
  return texts;
}

} // namespace

TestSystem::TestSystem() = default;

void
TestSystem::Start()
{
  StartControl();
  StartEntries();
  WaitForVoters();
  const json::object answer =
    PutSettings("first", 0, ExampleText("settings.yaml"));
  INFO(json::serialize(answer));
  REQUIRE(NumberOf(answer, "revision") == 1);
  REQUIRE(Eventually(
    [&] {
      return std::all_of(
        EntryNames().begin(), EntryNames().end(), [&](const auto& aName) {
          const auto status = Status(aName);
          return status && NumberOf(*status, "revision") == 1;
        });
    },
    kPatience));
}

void
TestSystem::StartControl()
{
  ChildProcess init(ProgramPath("peridotspool-controld"),
                    { mFiles.At(ControlNames()[0] + ".yaml"), "init" },
                    mFiles.At("init.log"));
  REQUIRE(init.WaitForEnd() == 0);
  for (const std::string& name : ControlNames()) {
    StartOwn(name);
  }
}

void
TestSystem::StartEntries()
{
  for (const std::string& name : EntryNames()) {
    StartOwn(name);
  }
  const bool joined = Eventually(
    [&] {
      return std::all_of(
        EntryNames().begin(), EntryNames().end(), [&](const auto& aName) {
          return DirectoryOf(aName).size() == EntryNames().size();
        });
    },
    kPatience);
  INFO("each entry must name all entries" << (joined ? "" : WhoEnded()));
  REQUIRE(joined);
}

// An entry that could not listen looks to the others like one that is late.
std::string
TestSystem::WhoEnded()
{
  std::string ended;
  for (const auto& [name, process] : mProcesses) {
    if (!process->IsRunning()) {
      ended += "\n" + name + " has ended; it printed:\n" + process->Log();
    }
  }
  return ended.empty() ? "; all processes run" : ended;
}

ChildProcess&
TestSystem::StartOwn(const std::string& aName)
{
  const std::string program =
    IsEntry(aName) ? "peridotspool-entryd" : "peridotspool-controld";
  return *(mProcesses[aName] = std::make_unique<ChildProcess>(
             ProgramPath(program),
             std::vector<std::string>{ mFiles.At(aName + ".yaml") },
             mFiles.At(aName + ".log")));
}

ChildProcess&
TestSystem::StartEngine(const std::string& aName,
                        const std::vector<std::string>& aOptions)
{
  return StartUpstream(aName, "fake-engine", "assistant", aOptions);
}

ChildProcess&
TestSystem::StartService(const std::string& aName,
                         const std::vector<std::string>& aOptions)
{
  return StartUpstream(aName, "fake-service", "floor-data", aOptions);
}

ChildProcess&
TestSystem::StartFake(const std::string& aName,
                      const std::string& aProgram,
                      const std::vector<std::string>& aOptions)
{
  return *(mProcesses[aName] = std::make_unique<ChildProcess>(
             ProgramPath(aProgram), aOptions, mFiles.At(aName + ".log")));
}

ChildProcess&
TestSystem::StartUpstream(const std::string& aName,
                          const std::string& aProgram,
                          const std::string& aService,
                          const std::vector<std::string>& aOptions)
{
  std::string entries;
  for (const std::string& name : EntryNames()) {
    entries += (entries.empty() ? "" : ",") + mFiles.Listen(name, "http");
  }
  std::vector<std::string> options{
    "--name",     aName,
    "--service",  aService,
    "--domain",   "piraeus-a",
    "--announce", entries,
    "--key-file", mFiles.At("keys/upstream.key"),
    "--journal",  mFiles.At(aName + ".journal"),
  };
  options.insert(options.end(), aOptions.begin(), aOptions.end());
  ChildProcess& process = StartFake(aName, aProgram, options);
  mUpstreams.push_back(aName);
  const bool known = Eventually(
    [&] {
      return std::all_of(
        EntryNames().begin(), EntryNames().end(), [&](const auto& aEntry) {
          const auto status = Status(aEntry);
          const auto names =
            TextsOf(status.value_or(json::object()), "upstreams", "name");
          return !status || std::count(names.begin(), names.end(), aName) == 1;
        });
    },
    kPatience);
  INFO("each entry that answers must know " << aName);
  REQUIRE(known);
  return process;
}

ChildProcess&
TestSystem::Process(const std::string& aName)
{
  const auto found = mProcesses.find(aName);
  INFO(aName << " must have been started");
  REQUIRE(found != mProcesses.end());
  return *found->second;
}

Address
TestSystem::Entry(const std::string& aName) const
{
  return fakes::ParseAddress(mFiles.Listen(aName, "http")).value();
}

std::vector<Address>
TestSystem::EntriesBut(const std::vector<std::string>& aNames) const
{
  std::vector<Address> addresses;
  for (const std::string& name : EntryNames()) {
    if (std::count(aNames.begin(), aNames.end(), name) == 0) {
      addresses.push_back(Entry(name));
    }
  }
  return addresses;
}

http::HeaderFields
TestSystem::OperatorHeaders() const
{
  return { { "authorization", "Bearer " + mFiles.OperatorKey() } };
}

std::optional<json::object>
TestSystem::Status(const std::string& aName)
{
  const auto answer = mClient.Call(
    Entry(aName),
    { .mMethod = "GET", .mPath = "/v1/status", .mHeaders = OperatorHeaders() },
    std::chrono::seconds(1));
  return answer && answer->mStatus == 200 ? ParseObject(answer->mBody)
                                          : std::nullopt;
}

std::vector<std::string>
TestSystem::DirectoryOf(const std::string& aName)
{
  const auto answer = mClient.Call(Entry(aName),
                                   { .mMethod = "GET", .mPath = "/v1/entries" },
                                   std::chrono::seconds(1));
  const auto body = answer && answer->mStatus == 200
                      ? ParseObject(answer->mBody)
                      : std::nullopt;
  return TextsOf(body.value_or(json::object()), "entries", "address");
}

json::object
TestSystem::PutSettings(const std::string& aEdit,
                        std::int64_t aBase,
                        const std::string& aText)
{
  const std::string body = json::serialize(
    json::object{ { "edit", aEdit }, { "base", aBase }, { "text", aText } });
  json::object result;
  const bool answered = Eventually(
    [&] {
      for (const std::string& name : ControlNames()) {
        const auto answer = mClient.Call(Entry(name),
                                         { .mMethod = "PUT",
                                           .mPath = "/v1/settings",
                                           .mHeaders = OperatorHeaders(),
                                           .mBody = body });
        // A replica that doesn't lead, or isn't sure, leaves the edit open: it
        // is sent again with its own id, and counts once.
        if (answer && answer->mStatus != 421 && answer->mStatus != 503) {
          result = ParseObject(answer->mBody).value_or(json::object());
          return true;
        }
      }
      return false;
    },
    kPatience);
  INFO("a control replica must take the edit " << aEdit);
  REQUIRE(answered);
  return result;
}

void
TestSystem::WaitForVoters()
{
  // With two voters the loss of one leaves no majority: a test that kills the
  // leader has to begin with three.
  const bool all = Eventually(
    [&] {
      const auto status = Status(WaitForLeader());
      const json::value* replicas =
        status ? status->if_contains("replicas") : nullptr;
      if (replicas == nullptr || !replicas->is_array()) {
        return false;
      }
      const json::array& list = replicas->get_array();
      return list.size() == ControlNames().size() &&
             std::all_of(list.begin(), list.end(), [](const json::value& aOne) {
               return aOne.at("voter").as_bool();
             });
    },
    kPatience);
  INFO("every control replica must become a voter");
  REQUIRE(all);
}

std::string
TestSystem::WaitForLeader()
{
  std::string leader;
  REQUIRE(Eventually(
    [&] {
      for (const std::string& name : ControlNames()) {
        const auto status = Status(name);
        const json::value* leads =
          status ? status->if_contains("leads") : nullptr;
        if (leads != nullptr && leads->is_bool() && leads->as_bool()) {
          leader = name;
        }
      }
      return !leader.empty();
    },
    kPatience));
  return leader;
}

std::vector<json::object>
TestSystem::Journal(const std::string& aUpstream) const
{
  std::vector<json::object> lines;
  std::ifstream file(mFiles.At(aUpstream + ".journal"));
  std::string line;
  while (std::getline(file, line)) {
    if (auto object = ParseObject(line)) {
      lines.push_back(std::move(*object));
    }
  }
  return lines;
}

std::vector<json::object>
TestSystem::Noted(const std::string& aWhat, const std::string& aKey) const
{
  std::vector<json::object> found;
  for (const std::string& upstream : mUpstreams) {
    for (json::object& line : Journal(upstream)) {
      if (TextOf(line, "what") == aWhat &&
          TextOf(line, "request").find(aKey) != std::string::npos) {
        found.push_back(std::move(line));
      }
    }
  }
  return found;
}

} // namespace peridotspool::test
