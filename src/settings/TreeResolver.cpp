#include "settings/TreeResolver.h"

#include <algorithm>

namespace peridotspool::settings {

namespace {

using DefaultMap = std::map<std::string, SettingValue>;

void
AddDefaults(const BranchRule& aBranch,
            const std::string& aPath,
            DefaultMap& aDefaults)
{
  for (const auto& [name, rule] : aBranch.mValues) {
    if (!rule.mRequired) {
      aDefaults.emplace(JoinPath(aPath, name),
                        ReadSchemaValue(rule, rule.mDefault));
    }
  }
  for (const auto& [name, branch] : aBranch.mBranches) {
    AddDefaults(branch, JoinPath(aPath, name), aDefaults);
  }
}

/** The built-in defaults of the branches, by the rest of their paths. */
const DefaultMap&
Defaults()
{
  static const DefaultMap sDefaults = [] {
    const auto& branches = TreeSchema().mBranches;
    DefaultMap defaults;
    AddDefaults(*branches.at("customers").mNamedBranches, "", defaults);
    AddDefaults(*branches.at("services").mNamedBranches, "", defaults);
    return defaults;
  }();
  return sDefaults;
}

/** Takes each value from the nearest branch of a chain that has it. */
class ChainReader
{
public:
  ChainReader(const CheckedTree& aTree, BranchChain aChain)
    : mTree(aTree)
    , mChain(std::move(aChain))
  {
  }

  template<typename T>
  T Value(const std::string& aRest) const
  {
    for (const std::string& branch : mChain) {
      const auto found = mTree.mValues.find(JoinPath(branch, aRest));
      if (found != mTree.mValues.end()) {
        return std::get<T>(found->second.mValue);
      }
    }
    return Default<T>(aRest);
  }

  std::uint64_t Count(const std::string& aRest) const
  {
    return static_cast<std::uint64_t>(Value<std::int64_t>(aRest));
  }

private:
  template<typename T>
  static T Default(const std::string& aRest)
  {
    const auto found = Defaults().find(aRest);
    return found == Defaults().end() ? T{} : std::get<T>(found->second);
  }

  const CheckedTree& mTree;
  BranchChain mChain;
};

std::vector<FailureDomain>
Domains(const ChainReader& aReader, const std::string& aRest)
{
  std::vector<FailureDomain> domains;
  for (const std::string& name :
       aReader.Value<std::vector<std::string>>(aRest)) {
    domains.emplace_back(name);
  }
  return domains;
}

Limits
ReadLimits(const ChainReader& aReader, const std::string& aBranch)
{
  return { .mRatePerSecond = aReader.Value<double>(aBranch + ".rate"),
           .mConcurrency = aReader.Count(aBranch + ".concurrency") };
}

RetryRules
ReadRetry(const ChainReader& aReader)
{
  return { .mBudget = aReader.Value<double>("retry.budget"),
           .mAttempts = aReader.Count("retry.attempts"),
           .mBackoff = aReader.Value<Duration>("retry.backoff"),
           .mBackoffMax = aReader.Value<Duration>("retry.backoff_max") };
}

std::int32_t
ReadPriority(const ChainReader& aReader,
             const std::map<std::string, std::int32_t>& aPriorities)
{
  const auto found = aPriorities.find(aReader.Value<std::string>("priority"));
  return found == aPriorities.end() ? 0 : found->second;
}

} // namespace

BranchChain
ChainOf(const std::string& aCustomer, const std::string& aService)
{
  BranchChain chain;
  if (!aCustomer.empty() && !aService.empty()) {
    chain.push_back("customers." + aCustomer + ".services." + aService);
  }
  if (!aCustomer.empty()) {
    chain.push_back("customers." + aCustomer);
  }
  if (!aService.empty()) {
    chain.push_back("services." + aService);
  }
  chain.emplace_back();
  return chain;
}

SplitPath
SplitAtBranch(std::string_view aPath)
{
  std::vector<std::string> parts;
  for (std::size_t start = 0; start <= aPath.size();) {
    const std::size_t dot = std::min(aPath.find('.', start), aPath.size());
    parts.emplace_back(aPath.substr(start, dot - start));
    start = dot + 1;
  }
  std::string customer;
  std::string service;
  std::size_t used = 0;
  if (parts.size() > 2 && parts[0] == "customers") {
    customer = parts[1];
    used = 2;
  }
  if (parts.size() > used + 2 && parts[used] == "services") {
    service = parts[used + 1];
    used += 2;
  }
  SplitPath split{ .mChain = ChainOf(customer, service) };
  for (std::size_t at = used; at < parts.size(); ++at) {
    split.mRest = JoinPath(split.mRest, parts[at]);
  }
  return split;
}

Ordering
ResolveOrdering(const CheckedTree& aTree,
                const std::string& aCustomer,
                const std::string& aService)
{
  const ChainReader reader(aTree, ChainOf(aCustomer, aService));
  return { .mDeadlineDefault = reader.Value<Duration>("deadline.default"),
           .mDeadlineMax = reader.Value<Duration>("deadline.max"),
           .mRetry = ReadRetry(reader) };
}

EffectiveService
Resolve(const CheckedTree& aTree,
        const std::map<std::string, std::int32_t>& aPriorities,
        const std::string& aCustomer,
        const std::string& aService)
{
  const ChainReader reader(aTree, ChainOf(aCustomer, aService));
  EffectiveService effective;
  effective.mCustomer = CustomerName(aCustomer);
  effective.mService = ServiceName(aService);
  effective.mKind = reader.Value<std::string>("kind") == "plain"
                      ? ServiceKind::kPlain
                      : ServiceKind::kModel;
  effective.mIdempotent = reader.Value<bool>("idempotent");
  effective.mPriority = ReadPriority(reader, aPriorities);
  effective.mDeadlineDefault = reader.Value<Duration>("deadline.default");
  effective.mDeadlineMax = reader.Value<Duration>("deadline.max");
  effective.mLimits = ReadLimits(reader, "limits");
  effective.mTotal = ReadLimits(reader, "total");
  effective.mWeight = reader.Value<double>("weight");
  effective.mRetry = ReadRetry(reader);
  effective.mFirstTokenTarget = reader.Value<Duration>("targets.first_token");
  effective.mTokenGapTarget = reader.Value<Duration>("targets.token_gap");
  effective.mLatencyWeight = reader.Value<double>("weights.latency");
  effective.mCostWeight = reader.Value<double>("weights.cost");
  effective.mPlacement = { .mPrefer = Domains(reader, "placement.prefer"),
                           .mAvoid = Domains(reader, "placement.avoid") };
  effective.mRetention = reader.Value<Duration>("retention");
  return effective;
}

} // namespace peridotspool::settings
