#include "peridotspool/settings/NodeSettings.h"

#include "settings/CheckedTree.h"
#include "settings/FileReader.h"
#include "settings/Schema.h"
#include "settings/SourceNode.h"

#include <charconv>

namespace peridotspool::settings {

namespace {

using Kind = ValueKind;

const char* const kMostNumber = "1000000000000";

BranchRule
ListenRule()
{
  BranchRule listen;
  listen.mRequired = true;
  listen.mValues = {
    { "peer", { .mKind = Kind::kAddress, .mRequired = true } },
    { "peer_bind", { .mKind = Kind::kAddress } },
    { "callers", { .mKind = Kind::kAddress } },
    { "ready", { .mKind = Kind::kAddress } },
    { "operators", { .mKind = Kind::kAddress } },
    { "directory", { .mKind = Kind::kAddress } },
    { "metrics", { .mKind = Kind::kAddress } },
  };
  return listen;
}

BranchRule
SeedsRule()
{
  BranchRule seeds;
  seeds.mRequired = true;
  seeds.mValues = {
    { "addresses", { .mKind = Kind::kText, .mRequired = true } },
    { "peer_port", QuantityRule(Kind::kInteger, "0", "65535", "0") },
    { "founding", { .mKind = Kind::kBoolean, .mDefault = "false" } },
  };
  return seeds;
}

BranchRule
SharedRule()
{
  BranchRule shared;
  shared.mValues = {
    { "retry_ratio", QuantityRule(Kind::kNumber, "0", "10", "0.2") },
    { "retry_extra", QuantityRule(Kind::kNumber, "0", kMostNumber, "10") },
    { "retry_window", QuantityRule(Kind::kDuration, "1s", "1h", "10s") },
    { "quota_window", QuantityRule(Kind::kDuration, "1s", "1h", "8s") },
    { "quota_overshoot", QuantityRule(Kind::kNumber, "0", "10", "0.1") },
    { "quota_slack", QuantityRule(Kind::kNumber, "0", kMostNumber, "0") },
    { "rollout_share", QuantityRule(Kind::kNumber, "0", "1", "0.1") },
    { "rollout_slack", QuantityRule(Kind::kNumber, "0", kMostNumber, "50") },
  };
  return shared;
}

BranchRule
SchedulingRule()
{
  BranchRule scheduling;
  scheduling.mValues = {
    { "quota_wait", QuantityRule(Kind::kDuration, "0s", "1min", "0s") },
    { "share_capacity", { .mKind = Kind::kBoolean, .mDefault = "false" } },
    { "shared_machines_only",
      { .mKind = Kind::kBoolean, .mDefault = "false" } },
    { "reserved_share", QuantityRule(Kind::kNumber, "0", "0.5", "0.05") },
    { "upstream_speed", { .mKind = Kind::kBoolean, .mDefault = "false" } },
  };
  return scheduling;
}

BranchRule
DutiesRule()
{
  BranchRule duties;
  duties.mValues = {
    { "cloud", { .mKind = Kind::kAddress } },
    { "usage_window", QuantityRule(Kind::kDuration, "1s", "1h", "5s") },
    { "usage_late", QuantityRule(Kind::kDuration, "1s", "1h", "10s") },
    { "lease", QuantityRule(Kind::kDuration, "100ms", "10min", "3s") },
    { "pool_least", QuantityRule(Kind::kInteger, "0", "100000", "8") },
    { "pool_running_each", QuantityRule(Kind::kNumber, "0.1", "1000", "3.5") },
    { "pool_lasting_part", QuantityRule(Kind::kNumber, "0", "1", "0.5") },
  };
  return duties;
}

BranchRule
MakeNodeSchema()
{
  BranchRule schema;
  schema.mValues = {
    { "name", { .mKind = Kind::kName, .mRequired = true } },
    { "region", { .mKind = Kind::kName, .mRequired = true } },
    { "failure_domain", { .mKind = Kind::kName, .mRequired = true } },
    { "data_folder", { .mKind = Kind::kText } },
    { "tolerated_losses", QuantityRule(Kind::kInteger, "0", "3", "1") },
    { "stop_grace", QuantityRule(Kind::kDuration, "1s", "1h", "8s") },
    { "settings_delay", QuantityRule(Kind::kDuration, "500ms", "1h", "2s") },
  };
  schema.mBranches = {
    { "listen", ListenRule() }, { "seeds", SeedsRule() },
    { "shared", SharedRule() }, { "scheduling", SchedulingRule() },
    { "duties", DutiesRule() }, { "log", LogRule() },
    { "bounds", BoundsRule() },
  };
  return schema;
}

const BranchRule&
NodeSchema()
{
  static const BranchRule sSchema = MakeNodeSchema();
  return sSchema;
}

std::optional<Address>
ReadSeed(std::string_view aText, std::uint64_t aPort)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos || colon == 0) {
    return std::nullopt;
  }
  std::uint16_t port = 0;
  const char* const end = aText.data() + aText.size();
  const auto [rest, fault] =
    std::from_chars(aText.data() + colon + 1, end, port);
  if (fault != std::errc{} || rest != end) {
    return std::nullopt;
  }
  return Address{ .mHost = std::string(aText.substr(0, colon)),
                  .mPort =
                    aPort == 0 ? port : static_cast<std::uint16_t>(aPort) };
}

/** Reads the seeds: HOST:PORT, separated by commas. */
std::vector<Address>
ReadSeeds(const CheckedTree& aTree,
          const FileReader& aReader,
          const std::string& aFile,
          SettingsErrors& aErrors)
{
  std::vector<Address> seeds;
  const std::string text = aReader.Text("seeds.addresses");
  std::string_view rest = text;
  while (!rest.empty()) {
    const std::size_t comma = rest.find(',');
    const std::string_view one = rest.substr(0, comma);
    rest = comma == std::string_view::npos ? std::string_view()
                                           : rest.substr(comma + 1);
    if (const auto seed = ReadSeed(one, aReader.Count("seeds.peer_port"))) {
      seeds.push_back(*seed);
    } else {
      AddError(aErrors,
               aFile,
               aTree.mValues.at("seeds.addresses").mPlace,
               "seeds.addresses: expected HOST:PORT, separated by commas, "
               "found '" +
                 std::string(one) + "'");
    }
  }
  return seeds;
}

NodeListen
ReadListen(const FileReader& aFile)
{
  return { .mPeer = aFile.Value<Address>("listen.peer"),
           .mPeerBind = aFile.AddressAt("listen.peer_bind"),
           .mCallers = aFile.AddressAt("listen.callers"),
           .mReady = aFile.AddressAt("listen.ready"),
           .mOperators = aFile.AddressAt("listen.operators"),
           .mDirectory = aFile.AddressAt("listen.directory"),
           .mMetrics = aFile.AddressAt("listen.metrics") };
}

SharedBounds
ReadShared(const FileReader& aFile)
{
  return { .mRetryRatio = aFile.Value<double>("shared.retry_ratio"),
           .mRetryExtra = aFile.Value<double>("shared.retry_extra"),
           .mRetryWindow = aFile.Value<Duration>("shared.retry_window"),
           .mQuotaWindow = aFile.Value<Duration>("shared.quota_window"),
           .mQuotaOvershoot = aFile.Value<double>("shared.quota_overshoot"),
           .mQuotaSlack = aFile.Value<double>("shared.quota_slack"),
           .mRolloutShare = aFile.Value<double>("shared.rollout_share"),
           .mRolloutSlack = aFile.Value<double>("shared.rollout_slack") };
}

SchedulingSettings
ReadScheduling(const FileReader& aFile)
{
  return { .mQuotaWait = aFile.Value<Duration>("scheduling.quota_wait"),
           .mShareCapacity = aFile.Value<bool>("scheduling.share_capacity"),
           .mSharedMachinesOnly =
             aFile.Value<bool>("scheduling.shared_machines_only"),
           .mReservedShare = aFile.Value<double>("scheduling.reserved_share"),
           .mUpstreamSpeed = aFile.Value<bool>("scheduling.upstream_speed") };
}

DutySettings
ReadDuties(const FileReader& aFile)
{
  return { .mCloud = aFile.AddressAt("duties.cloud"),
           .mUsageWindow = aFile.Value<Duration>("duties.usage_window"),
           .mUsageLate = aFile.Value<Duration>("duties.usage_late"),
           .mLease = aFile.Value<Duration>("duties.lease"),
           .mPoolLeast = aFile.Count("duties.pool_least"),
           .mPoolRunningEach = aFile.Value<double>("duties.pool_running_each"),
           .mPoolLastingPart =
             aFile.Value<double>("duties.pool_lasting_part") };
}

} // namespace

std::optional<NodeSettings>
ParseNodeSettings(std::string_view aText,
                  const std::string& aFile,
                  SettingsErrors& aErrors)
{
  aErrors.clear();
  const BranchRule& schema = NodeSchema();
  const CheckedTree tree = CheckText(aText, aFile, schema, aErrors);
  if (!aErrors.empty()) {
    return std::nullopt;
  }
  const FileReader reader(tree, schema);
  NodeSettings settings{
    .mName = EntryName(reader.Text("name")),
    .mRegion = Region(reader.Text("region")),
    .mDomain = FailureDomain(reader.Text("failure_domain")),
    .mListen = ReadListen(reader),
    .mSeeds = ReadSeeds(tree, reader, aFile, aErrors),
    .mFounding = reader.Value<bool>("seeds.founding"),
    .mToleratedLosses = reader.Count("tolerated_losses"),
    .mDataFolder = reader.Text("data_folder"),
    .mStopGrace = reader.Value<Duration>("stop_grace"),
    .mSettingsDelay = reader.Value<Duration>("settings_delay"),
    .mShared = ReadShared(reader),
    .mScheduling = ReadScheduling(reader),
    .mDuties = ReadDuties(reader),
    .mLog = ReadLog(reader),
    .mBounds = ReadBounds(reader),
  };
  if (!aErrors.empty()) {
    return std::nullopt;
  }
  return settings;
}

} // namespace peridotspool::settings
