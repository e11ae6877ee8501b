#include "settings/CheckedTree.h"

#include "settings/NearestName.h"

#include <vector>

namespace peridotspool::settings {

namespace {

/** Walks one text along its schema. */
class Checker
{
public:
  Checker(const std::string& aFile, SettingsErrors& aErrors)
    : mFile(aFile)
    , mErrors(aErrors)
  {
  }

  CheckedTree Take() { return std::move(mTree); }

  void Branch(const BranchRule& aRule,
              const SourceNode& aNode,
              const std::string& aPath)
  {
    if (aNode.mKind != SourceNode::Kind::kMap &&
        aNode.mKind != SourceNode::Kind::kNull) {
      Fault(aNode.mPlace, "expected a branch of 'name: value' lines", aPath);
      return;
    }
    for (const SourceEntry& entry : aNode.mEntries) {
      Entry(aRule, entry, aPath);
    }
    Required(aRule, aNode, aPath);
  }

private:
  void Entry(const BranchRule& aRule,
             const SourceEntry& aEntry,
             const std::string& aPath)
  {
    const std::string path = JoinPath(aPath, aEntry.mKey);
    if (const auto value = aRule.mValues.find(aEntry.mKey);
        value != aRule.mValues.end()) {
      Value(value->second, aEntry, path);
    } else if (const auto branch = aRule.mBranches.find(aEntry.mKey);
               branch != aRule.mBranches.end()) {
      Child(branch->second, aEntry, path);
    } else if (aRule.mNamedBranches || aRule.mNamedValues) {
      Named(aRule, aEntry, path);
    } else {
      Unknown(aRule, aEntry, aPath);
    }
  }

  void Named(const BranchRule& aRule,
             const SourceEntry& aEntry,
             const std::string& aPath)
  {
    if (!IsName(aEntry.mKey)) {
      Fault(aEntry.mPlace,
            "expected a name (a-z 0-9 - _), found '" +
              aEntry.mKey.substr(0, 40) + "'",
            "");
    } else if (aRule.mNamedBranches) {
      Child(*aRule.mNamedBranches, aEntry, aPath);
    } else {
      Value(*aRule.mNamedValues, aEntry, aPath);
    }
  }

  void Child(const BranchRule& aRule,
             const SourceEntry& aEntry,
             const std::string& aPath)
  {
    mTree.mBranches.emplace(aPath, aEntry.mPlace);
    Branch(aRule, aEntry.mValue, aPath);
  }

  void Value(const ValueRule& aRule,
             const SourceEntry& aEntry,
             const std::string& aPath)
  {
    LastReason reason;
    const auto value = ReadValue(aRule, aEntry.mValue, reason);
    if (!value) {
      Fault(aEntry.mValue.mPlace, reason.Text(), aPath);
      return;
    }
    mTree.mValues.emplace(aPath,
                          CheckedValue{ .mValue = *value,
                                        .mWritten = WrittenForm(aEntry.mValue),
                                        .mPlace = aEntry.mValue.mPlace });
  }

  void Unknown(const BranchRule& aRule,
               const SourceEntry& aEntry,
               const std::string& aPath)
  {
    std::vector<std::string> known;
    for (const auto& [name, rule] : aRule.mValues) {
      known.push_back(name);
    }
    for (const auto& [name, rule] : aRule.mBranches) {
      known.push_back(name);
    }
    Fault(aEntry.mPlace,
          "unknown key '" + aEntry.mKey.substr(0, 40) + "'" +
            NearestNameHint(aEntry.mKey, known),
          aPath);
  }

  void Required(const BranchRule& aRule,
                const SourceNode& aNode,
                const std::string& aPath)
  {
    for (const auto& [name, rule] : aRule.mValues) {
      if (rule.mRequired && !IsWritten(aNode, name)) {
        Fault(aNode.mPlace, "'" + name + "' is missing", aPath);
      }
    }
    for (const auto& [name, rule] : aRule.mBranches) {
      if (rule.mRequired && !IsWritten(aNode, name)) {
        Fault(aNode.mPlace, "branch '" + name + "' is missing", aPath);
      }
    }
  }

  static bool IsWritten(const SourceNode& aNode, const std::string& aName)
  {
    for (const SourceEntry& entry : aNode.mEntries) {
      if (entry.mKey == aName) {
        return true;
      }
    }
    return false;
  }

  void Fault(const SourcePlace& aPlace,
             const std::string& aMessage,
             const std::string& aPath)
  {
    AddError(mErrors,
             mFile,
             aPlace,
             aPath.empty() ? aMessage : aPath + ": " + aMessage);
  }

  const std::string& mFile;
  SettingsErrors& mErrors;
  CheckedTree mTree;
};

} // namespace

std::string
JoinPath(const std::string& aPath, const std::string& aName)
{
  return aPath.empty() ? aName : aPath + "." + aName;
}

std::vector<std::string>
ChildNames(const CheckedTree& aTree, const std::string& aPath)
{
  std::vector<std::string> names;
  const std::string prefix = aPath + ".";
  for (auto at = aTree.mBranches.lower_bound(prefix);
       at != aTree.mBranches.end() && at->first.starts_with(prefix);
       ++at) {
    const std::string name = at->first.substr(prefix.size());
    if (name.find('.') == std::string::npos) {
      names.push_back(name);
    }
  }
  return names;
}

CheckedTree
CheckText(std::string_view aText,
          const std::string& aFile,
          const BranchRule& aSchema,
          SettingsErrors& aErrors)
{
  const auto source = ReadSource(aText, aFile, aErrors);
  if (!source) {
    return {};
  }
  Checker checker(aFile, aErrors);
  checker.Branch(aSchema, *source, "");
  return checker.Take();
}

} // namespace peridotspool::settings
