#include "peridotspool/settings/SettingsTree.h"

#include "settings/CheckedTree.h"
#include "settings/TreeChecks.h"
#include "settings/TreeResolver.h"

#include <algorithm>

namespace peridotspool::settings {

/** Everything that is read or resolved once, when the text is parsed. */
struct SettingsTree::State
{
  using ServiceMap = std::unordered_map<ServiceName, EffectiveService>;

  std::string mText;
  CheckedTree mTree;
  std::map<std::string, std::string> mWritten;
  std::map<std::string, std::int32_t> mPriorities;
  std::vector<ServiceName> mServices;
  std::vector<CustomerName> mCustomers;
  ServiceMap mByService;
  std::unordered_map<CustomerName, ServiceMap> mByCustomer;
  std::unordered_map<std::string, CustomerName> mByKeyHash;

  void FillLists();
  void FillEffective();
  bool HasBranch(const std::string& aBranch) const;
};

void
SettingsTree::State::FillLists()
{
  mPriorities = ReadPriorities(mTree);
  for (const std::string& name : ChildNames(mTree, "services")) {
    mServices.emplace_back(name);
  }
  for (const std::string& name : ChildNames(mTree, "customers")) {
    mCustomers.emplace_back(name);
    const auto& hashes = mTree.mValues.at("customers." + name + ".key_hashes");
    for (const std::string& hash :
         std::get<std::vector<std::string>>(hashes.mValue)) {
      mByKeyHash.emplace(hash, mCustomers.back());
    }
  }
  for (const auto& [path, value] : mTree.mValues) {
    mWritten.emplace(path, value.mWritten);
  }
}

void
SettingsTree::State::FillEffective()
{
  for (const ServiceName& service : mServices) {
    mByService.emplace(service,
                       Resolve(mTree, mPriorities, "", service.Value()));
    for (const CustomerName& customer : mCustomers) {
      mByCustomer[customer].emplace(
        service,
        Resolve(mTree, mPriorities, customer.Value(), service.Value()));
    }
  }
}

/** Returns true iff a branch exists, written or as an override to come. */
bool
SettingsTree::State::HasBranch(const std::string& aBranch) const
{
  if (aBranch.empty() || mTree.mBranches.contains(aBranch)) {
    return true;
  }
  const std::size_t inner = aBranch.find(".services.");
  return inner != std::string::npos &&
         mTree.mBranches.contains(aBranch.substr(0, inner)) &&
         mTree.mBranches.contains(aBranch.substr(inner + 1));
}

std::shared_ptr<const SettingsTree>
SettingsTree::Parse(std::string_view aText,
                    const std::string& aFile,
                    SettingsErrors& aErrors)
{
  aErrors.clear();
  auto state = std::make_unique<State>();
  state->mTree = CheckText(aText, aFile, TreeSchema(), aErrors);
  if (aErrors.empty()) {
    CheckAcross(state->mTree, aFile, aErrors);
  }
  if (!aErrors.empty()) {
    return nullptr;
  }
  state->mText = std::string(aText);
  state->FillLists();
  state->FillEffective();
  return std::make_shared<const SettingsTree>(std::move(state));
}

SettingsTree::SettingsTree(std::unique_ptr<const State> aState)
  : mState(std::move(aState))
{
}

SettingsTree::~SettingsTree() = default;

const EffectiveService*
SettingsTree::Effective(const CustomerName& aCustomer,
                        const ServiceName& aService) const
{
  const auto customer = mState->mByCustomer.find(aCustomer);
  if (customer == mState->mByCustomer.end()) {
    return nullptr;
  }
  const auto service = customer->second.find(aService);
  return service == customer->second.end() ? nullptr : &service->second;
}

const EffectiveService*
SettingsTree::Service(const ServiceName& aService) const
{
  const auto service = mState->mByService.find(aService);
  return service == mState->mByService.end() ? nullptr : &service->second;
}

std::optional<CustomerName>
SettingsTree::CustomerOfKeyHash(const std::string& aKeyHash) const
{
  const auto customer = mState->mByKeyHash.find(aKeyHash);
  if (customer == mState->mByKeyHash.end()) {
    return std::nullopt;
  }
  return customer->second;
}

std::optional<std::int32_t>
SettingsTree::Priority(const std::string& aName) const
{
  const auto priority = mState->mPriorities.find(aName);
  if (priority == mState->mPriorities.end()) {
    return std::nullopt;
  }
  return priority->second;
}

const std::map<std::string, std::int32_t>&
SettingsTree::Priorities() const
{
  return mState->mPriorities;
}

const std::vector<ServiceName>&
SettingsTree::Services() const
{
  return mState->mServices;
}

const std::vector<CustomerName>&
SettingsTree::Customers() const
{
  return mState->mCustomers;
}

std::optional<FoundValue>
SettingsTree::ValueAt(std::string_view aPath) const
{
  const ValueRule* rule = FindRule(TreeSchema(), aPath);
  const SplitPath split = SplitAtBranch(aPath);
  if (rule == nullptr || !mState->HasBranch(split.mChain.front())) {
    return std::nullopt;
  }
  for (const std::string& branch : split.mChain) {
    const std::string path = JoinPath(branch, split.mRest);
    const auto found = mState->mWritten.find(path);
    if (found != mState->mWritten.end()) {
      return FoundValue{ .mValue = found->second, .mFrom = path };
    }
  }
  if (rule->mRequired || split.mRest.starts_with("priorities.")) {
    return std::nullopt;
  }
  const bool isList = rule->mKind == ValueKind::kNameList;
  return FoundValue{ .mValue = isList ? "[]" : rule->mDefault,
                     .mFrom = "(default)" };
}

const std::map<std::string, std::string>&
SettingsTree::Written() const
{
  return mState->mWritten;
}

const std::string&
SettingsTree::Text() const
{
  return mState->mText;
}

} // namespace peridotspool::settings
