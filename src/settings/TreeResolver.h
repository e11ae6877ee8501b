#pragma once

#include "peridotspool/settings/EffectiveService.h"
#include "peridotspool/settings/SettingsTree.h"
#include "settings/CheckedTree.h"

#include <string>
#include <vector>

namespace peridotspool::settings {

/** The branches that a value is looked for in, nearest first. */
using BranchChain = std::vector<std::string>;

/** The chain of a customer's use of a service, or of a service alone. */
BranchChain
ChainOf(const std::string& aCustomer, const std::string& aService);

/** The chain of the branch that a path is in, and the rest of the path. */
struct SplitPath
{
  BranchChain mChain;
  std::string mRest{};
};
SplitPath
SplitAtBranch(std::string_view aPath);

/** The resolved values that bound each other. */
struct Ordering
{
  Duration mDeadlineDefault{ 0 };
  Duration mDeadlineMax{ 0 };
  RetryRules mRetry;
};
Ordering
ResolveOrdering(const CheckedTree& aTree,
                const std::string& aCustomer,
                const std::string& aService);

/** Resolves one customer's use of one service; the customer may be empty. */
EffectiveService
Resolve(const CheckedTree& aTree,
        const std::map<std::string, std::int32_t>& aPriorities,
        const std::string& aCustomer,
        const std::string& aService);

} // namespace peridotspool::settings
