#include "settings/Schema.h"

namespace peridotspool::settings {

using Kind = ValueKind;

BranchRule
LogRule()
{
  BranchRule log;
  log.mValues = {
    { "level",
      { .mKind = Kind::kChoice,
        .mDefault = "info",
        .mChoices = { "debug", "info", "warn", "error" } } },
    { "format",
      { .mKind = Kind::kChoice,
        .mDefault = "key_value",
        .mChoices = { "key_value", "json" } } },
    { "file", { .mKind = Kind::kText } },
    { "queue_lines", QuantityRule(Kind::kInteger, "64", "1000000", "8192") },
  };
  return log;
}

BranchRule
BoundsRule()
{
  BranchRule bounds;
  bounds.mValues = {
    { "body", QuantityRule(Kind::kBytes, "1KiB", "64MiB", "1MiB") },
    { "header", QuantityRule(Kind::kBytes, "1KiB", "1MiB", "16KiB") },
    { "frame", QuantityRule(Kind::kBytes, "64KiB", "128MiB", "4MiB") },
    { "connections", QuantityRule(Kind::kInteger, "1", "1000000", "4096") },
    { "caller_memory", QuantityRule(Kind::kBytes, "1MiB", "64GiB", "32MiB") },
    { "ring_slots", QuantityRule(Kind::kInteger, "16", "1000000", "4096") },
    { "ledger", QuantityRule(Kind::kBytes, "1MiB", "64GiB", "256MiB") },
    { "upstreams", QuantityRule(Kind::kInteger, "1", "100000", "8192") },
    { "upstream_response", QuantityRule(Kind::kBytes, "1KiB", "1GiB", "8MiB") },
    { "upstream_event", QuantityRule(Kind::kBytes, "1KiB", "1GiB", "8MiB") },
    { "upstream_memory", QuantityRule(Kind::kBytes, "1MiB", "64GiB", "64MiB") },
  };
  return bounds;
}

namespace {

BranchRule
AddressesRule(bool aRequired)
{
  BranchRule addresses;
  addresses.mRequired = aRequired;
  addresses.mValues = {
    { "peer", { .mKind = Kind::kAddress, .mRequired = aRequired } },
    { "http", { .mKind = Kind::kAddress, .mRequired = aRequired } },
  };
  return addresses;
}

BranchRule
MakeProcessSchema()
{
  BranchRule schema;
  schema.mValues = {
    { "name", { .mKind = Kind::kName, .mRequired = true } },
    { "region", { .mKind = Kind::kName, .mRequired = true } },
    { "failure_domain", { .mKind = Kind::kName, .mRequired = true } },
    { "peer_key_file", { .mKind = Kind::kText, .mRequired = true } },
    { "operators_file", { .mKind = Kind::kText, .mRequired = true } },
  };
  BranchRule replicas;
  replicas.mRequired = true;
  replicas.mNamedBranches =
    std::make_shared<const BranchRule>(AddressesRule(true));
  schema.mBranches = {
    { "listen", AddressesRule(true) }, { "advertise", AddressesRule(false) },
    { "control_replicas", replicas },  { "log", LogRule() },
    { "bounds", BoundsRule() },
  };
  return schema;
}

BranchRule
MakeControlSchema()
{
  BranchRule schema = MakeProcessSchema();
  schema.mValues["replica"] = { .mKind = Kind::kInteger,
                                .mMin = "1",
                                .mMax = "1000000000",
                                .mRequired = true };
  schema.mValues["data_folder"] = { .mKind = Kind::kText, .mRequired = true };
  return schema;
}

} // namespace

const BranchRule&
EntrySchema()
{
  static const BranchRule sSchema = MakeProcessSchema();
  return sSchema;
}

const BranchRule&
ControlSchema()
{
  static const BranchRule sSchema = MakeControlSchema();
  return sSchema;
}

} // namespace peridotspool::settings
