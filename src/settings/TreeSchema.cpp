#include "settings/Schema.h"

namespace peridotspool::settings {

namespace {

using Kind = ValueKind;

BranchRule
LimitsRule(const char* aRate, const char* aConcurrency)
{
  BranchRule limits;
  limits.mValues = {
    { "rate", QuantityRule(Kind::kRate, "0/s", "1000000/s", aRate) },
    { "concurrency",
      QuantityRule(Kind::kInteger, "1", "1000000", aConcurrency) },
  };
  return limits;
}

BranchRule
RetryRule()
{
  BranchRule retry;
  retry.mValues = {
    { "budget", QuantityRule(Kind::kShare, "0%", "100%", "10%") },
    { "attempts", QuantityRule(Kind::kInteger, "1", "10", "3") },
    { "backoff", QuantityRule(Kind::kDuration, "1ms", "10s", "25ms") },
    { "backoff_max", QuantityRule(Kind::kDuration, "1ms", "60s", "1s") },
  };
  return retry;
}

BranchRule
DurationsRule(std::map<std::string, ValueRule> aValues)
{
  BranchRule branch;
  branch.mValues = std::move(aValues);
  return branch;
}

/** What every branch may hold and hands down to those below it. */
BranchRule
InheritedRule()
{
  BranchRule branch;
  branch.mValues = {
    { "priority", { .mKind = Kind::kName, .mDefault = "normal" } },
    { "retention", QuantityRule(Kind::kDuration, "1s", "24h", "10min") },
  };
  BranchRule placement;
  placement.mValues = { { "prefer", { .mKind = Kind::kNameList } },
                        { "avoid", { .mKind = Kind::kNameList } } };
  BranchRule weights;
  weights.mValues = {
    { "latency", QuantityRule(Kind::kNumber, "0", "1000", "1") },
    { "cost", QuantityRule(Kind::kNumber, "0", "1000", "1") },
  };
  branch.mBranches = {
    { "limits", LimitsRule("100/s", "256") },
    { "retry", RetryRule() },
    { "placement", placement },
    { "weights", weights },
    { "deadline",
      DurationsRule(
        { { "default", QuantityRule(Kind::kDuration, "10ms", "1h", "30s") },
          { "max", QuantityRule(Kind::kDuration, "10ms", "1h", "2min") } }) },
    { "targets",
      DurationsRule(
        { { "first_token",
            QuantityRule(Kind::kDuration, "1ms", "60s", "440ms") },
          { "token_gap",
            QuantityRule(Kind::kDuration, "1ms", "10s", "26ms") } }) },
  };
  return branch;
}

void
AddCustomerValues(BranchRule& aBranch)
{
  aBranch.mValues["weight"] = QuantityRule(Kind::kNumber, "0.01", "1000", "1");
  aBranch.mBranches["total"] = LimitsRule("1000/s", "1024");
}

BranchRule
NamedBranches(BranchRule aRule)
{
  BranchRule branch;
  branch.mNamedBranches = std::make_shared<const BranchRule>(std::move(aRule));
  return branch;
}

BranchRule
ServiceRule()
{
  // Whether a call may be repeated is said by the service alone: inherited
  // from the root or from a customer's branch it could make a service that
  // must run at most once look repeatable, and a repaste order run twice.
  BranchRule service = InheritedRule();
  service.mValues["idempotent"] = { .mKind = Kind::kBoolean,
                                    .mDefault = "false" };
  return service;
}

BranchRule
MakeTreeSchema()
{
  BranchRule customer = InheritedRule();
  AddCustomerValues(customer);
  customer.mValues["key_hashes"] = { .mKind = Kind::kHashList,
                                     .mRequired = true };
  customer.mBranches["services"] = NamedBranches(ServiceRule());

  BranchRule service = ServiceRule();
  service.mValues["kind"] = { .mKind = Kind::kChoice,
                              .mChoices = { "model", "plain" },
                              .mRequired = true };

  BranchRule root = InheritedRule();
  AddCustomerValues(root);
  BranchRule priorities;
  priorities.mNamedValues = QuantityRule(Kind::kInteger, "0", "1000", "10");
  root.mBranches["priorities"] = priorities;
  root.mBranches["services"] = NamedBranches(service);
  root.mBranches["customers"] = NamedBranches(customer);
  return root;
}

} // namespace

const BranchRule&
TreeSchema()
{
  static const BranchRule sSchema = MakeTreeSchema();
  return sSchema;
}

} // namespace peridotspool::settings
