#include "settings/TreeChecks.h"

#include "settings/NearestName.h"
#include "settings/TreeResolver.h"

#include <set>

namespace peridotspool::settings {

namespace {

/** One run of the checks over one tree. */
class AcrossChecker
{
public:
  AcrossChecker(const CheckedTree& aTree,
                const std::string& aFile,
                SettingsErrors& aErrors)
    : mTree(aTree)
    , mFile(aFile)
    , mErrors(aErrors)
    , mServices(ChildNames(aTree, "services"))
  {
  }

  void Run()
  {
    Priorities();
    KeyHashes();
    for (const std::string& customer : ChildNames(mTree, "customers")) {
      OverriddenServices(customer);
      for (const std::string& service : mServices) {
        Bounds(customer, service);
      }
    }
    for (const std::string& service : mServices) {
      Bounds("", service);
    }
  }

private:
  void Priorities()
  {
    std::vector<std::string> known;
    for (const auto& [name, number] : ReadPriorities(mTree)) {
      known.push_back(name);
    }
    const std::set<std::string> names(known.begin(), known.end());
    for (const auto& [path, value] : mTree.mValues) {
      const bool isPriority = path == "priority" || path.ends_with(".priority");
      if (isPriority && !path.starts_with("priorities.") &&
          !names.contains(value.mWritten)) {
        Fault(value.mPlace,
              path + ": unknown priority '" + value.mWritten + "'" +
                NearestNameHint(value.mWritten, known));
      }
    }
    // Without this a tree could be accepted whose requests get no priority.
    if (!names.contains("normal") && !mTree.mValues.contains("priority")) {
      Fault({ 1, 1 },
            "priority: expected at the root, because 'priorities' has no "
            "'normal'" +
              NearestNameHint("normal", known));
    }
  }

  void KeyHashes()
  {
    std::map<std::string, std::string> owners;
    for (const std::string& customer : ChildNames(mTree, "customers")) {
      const std::string path = "customers." + customer + ".key_hashes";
      const auto found = mTree.mValues.find(path);
      if (found == mTree.mValues.end()) {
        continue;
      }
      for (const std::string& hash :
           std::get<std::vector<std::string>>(found->second.mValue)) {
        const auto [owner, added] = owners.emplace(hash, customer);
        if (!added) {
          Fault(found->second.mPlace, SharedHash(path, owner->second));
        }
      }
    }
  }

  void OverriddenServices(const std::string& aCustomer)
  {
    const std::string path = "customers." + aCustomer + ".services";
    const std::set<std::string> known(mServices.begin(), mServices.end());
    for (const std::string& service : ChildNames(mTree, path)) {
      if (!known.contains(service)) {
        Fault(mTree.mBranches.at(JoinPath(path, service)),
              UnknownService(path, service));
      }
    }
  }

  void Bounds(const std::string& aCustomer, const std::string& aService)
  {
    const Ordering effective = ResolveOrdering(mTree, aCustomer, aService);
    const BranchChain chain = ChainOf(aCustomer, aService);
    if (effective.mDeadlineDefault > effective.mDeadlineMax) {
      Ordered(chain, "deadline.default", "deadline.max");
    }
    if (effective.mRetry.mBackoff > effective.mRetry.mBackoffMax) {
      Ordered(chain, "retry.backoff", "retry.backoff_max");
    }
  }

  /** Reports the nearest written one of two values that are out of order. */
  void Ordered(const BranchChain& aChain,
               const std::string& aLow,
               const std::string& aHigh)
  {
    for (const std::string& branch : aChain) {
      for (const std::string& rest : { aLow, aHigh }) {
        const auto found = mTree.mValues.find(JoinPath(branch, rest));
        if (found == mTree.mValues.end()) {
          continue;
        }
        if (mReported.insert(found->first).second) {
          Fault(found->second.mPlace,
                OutOfOrder(found->first, aLow, aHigh, aChain.front()));
        }
        return;
      }
    }
  }

  static std::string SharedHash(const std::string& aPath,
                                const std::string& aOwner)
  {
    return aPath + ": a hash that customer '" + aOwner +
           "' has already; expected one owner for each key";
  }

  std::string UnknownService(const std::string& aPath,
                             const std::string& aService) const
  {
    return aPath + ": unknown service '" + aService + "'" +
           NearestNameHint(aService, mServices);
  }

  static std::string OutOfOrder(const std::string& aPath,
                                const std::string& aLow,
                                const std::string& aHigh,
                                const std::string& aBranch)
  {
    return aPath + ": expected " + aLow + " at most " + aHigh +
           " where both hold (" + aBranch + ")";
  }

  void Fault(const SourcePlace& aPlace, const std::string& aMessage)
  {
    AddError(mErrors, mFile, aPlace, aMessage);
  }

  const CheckedTree& mTree;
  const std::string& mFile;
  SettingsErrors& mErrors;
  std::vector<std::string> mServices;
  std::set<std::string> mReported;
};

} // namespace

std::map<std::string, std::int32_t>
ReadPriorities(const CheckedTree& aTree)
{
  constexpr std::string_view kPrefix = "priorities.";
  std::map<std::string, std::int32_t> priorities;
  for (auto at = aTree.mValues.lower_bound(std::string(kPrefix));
       at != aTree.mValues.end() && at->first.starts_with(kPrefix);
       ++at) {
    priorities[at->first.substr(kPrefix.size())] =
      static_cast<std::int32_t>(std::get<std::int64_t>(at->second.mValue));
  }
  if (priorities.empty()) {
    priorities = { { "urgent", 0 }, { "normal", 10 }, { "background", 20 } };
  }
  return priorities;
}

void
CheckAcross(const CheckedTree& aTree,
            const std::string& aFile,
            SettingsErrors& aErrors)
{
  AcrossChecker(aTree, aFile, aErrors).Run();
}

} // namespace peridotspool::settings
