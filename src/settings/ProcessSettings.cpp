#include "peridotspool/settings/ProcessSettings.h"

#include "settings/CheckedTree.h"
#include "settings/FileReader.h"

#include <algorithm>
#include <charconv>

namespace peridotspool::settings {

LogSettings
ReadLog(const FileReader& aFile)
{
  const std::string level = aFile.Text("log.level");
  LogSettings log;
  log.mLevel = level == "debug"   ? LogLevel::kDebug
               : level == "warn"  ? LogLevel::kWarn
               : level == "error" ? LogLevel::kError
                                  : LogLevel::kInfo;
  log.mFormat = aFile.Text("log.format") == "json" ? LogFormat::kJson
                                                   : LogFormat::kKeyValue;
  log.mFile = aFile.Text("log.file");
  log.mQueueLines = aFile.Count("log.queue_lines");
  return log;
}

ProcessBounds
ReadBounds(const FileReader& aFile)
{
  return { .mBodyBytes = aFile.Count("bounds.body"),
           .mHeaderBytes = aFile.Count("bounds.header"),
           .mFrameBytes = aFile.Count("bounds.frame"),
           .mConnections = aFile.Count("bounds.connections"),
           .mCallerMemoryBytes = aFile.Count("bounds.caller_memory"),
           .mRingSlots = aFile.Count("bounds.ring_slots"),
           .mLedgerBytes = aFile.Count("bounds.ledger"),
           .mUpstreams = aFile.Count("bounds.upstreams"),
           .mUpstreamResponseBytes = aFile.Count("bounds.upstream_response"),
           .mUpstreamEventBytes = aFile.Count("bounds.upstream_event"),
           .mUpstreamMemoryBytes = aFile.Count("bounds.upstream_memory") };
}

namespace {

std::string
WrongReplica(const std::string& aPath, const std::string& aName)
{
  return aPath + ": expected a replica's number from 1, found '" + aName + "'";
}

/** Reads the replicas; their ids are the names of their branches. */
std::vector<ControlReplica>
ReadReplicas(const CheckedTree& aTree,
             const FileReader& aReader,
             const std::string& aFile,
             SettingsErrors& aErrors)
{
  std::vector<ControlReplica> replicas;
  for (const std::string& name : ChildNames(aTree, "control_replicas")) {
    const std::string path = "control_replicas." + name;
    std::uint64_t id = 0;
    const char* const end = name.data() + name.size();
    const auto [rest, fault] = std::from_chars(name.data(), end, id);
    if (fault != std::errc{} || rest != end || id == 0) {
      AddError(
        aErrors, aFile, aTree.mBranches.at(path), WrongReplica(path, name));
      continue;
    }
    replicas.push_back(
      { .mId = ReplicaId(id),
        .mPeerAddress = aReader.AddressAt(path + ".peer").value_or(Address{}),
        .mHttpAddress =
          aReader.AddressAt(path + ".http").value_or(Address{}) });
  }
  std::sort(replicas.begin(), replicas.end());
  if (replicas.empty() && aErrors.empty()) {
    AddError(aErrors,
             aFile,
             aTree.mBranches.at("control_replicas"),
             "control_replicas: expected at least one replica");
  }
  return replicas;
}

ProcessSettings
ReadProcess(const FileReader& aFile, ProcessRole aRole)
{
  ProcessSettings settings;
  settings.mName = EntryName(aFile.Text("name"));
  settings.mRegion = Region(aFile.Text("region"));
  settings.mDomain = FailureDomain(aFile.Text("failure_domain"));
  settings.mPeerListen = aFile.Value<Address>("listen.peer");
  settings.mHttpListen = aFile.Value<Address>("listen.http");
  settings.mPeerAdvertise =
    aFile.AddressAt("advertise.peer").value_or(settings.mPeerListen);
  settings.mHttpAdvertise =
    aFile.AddressAt("advertise.http").value_or(settings.mHttpListen);
  settings.mPeerKeyFile = aFile.Text("peer_key_file");
  settings.mOperatorsFile = aFile.Text("operators_file");
  settings.mLog = ReadLog(aFile);
  settings.mBounds = ReadBounds(aFile);
  if (aRole == ProcessRole::kControl) {
    settings.mReplica = ReplicaId(aFile.Count("replica"));
    settings.mDataFolder = aFile.Text("data_folder");
  }
  return settings;
}

} // namespace

std::optional<ProcessSettings>
ParseProcessSettings(std::string_view aText,
                     const std::string& aFile,
                     ProcessRole aRole,
                     SettingsErrors& aErrors)
{
  aErrors.clear();
  const BranchRule& schema =
    aRole == ProcessRole::kEntry ? EntrySchema() : ControlSchema();
  const CheckedTree tree = CheckText(aText, aFile, schema, aErrors);
  if (!aErrors.empty()) {
    return std::nullopt;
  }
  const FileReader reader(tree, schema);
  ProcessSettings settings = ReadProcess(reader, aRole);
  settings.mControlReplicas = ReadReplicas(tree, reader, aFile, aErrors);
  if (!aErrors.empty()) {
    return std::nullopt;
  }
  return settings;
}

} // namespace peridotspool::settings
