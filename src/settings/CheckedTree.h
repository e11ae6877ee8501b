#pragma once

#include "settings/Schema.h"
#include "settings/SettingValue.h"
#include "settings/SourceNode.h"

#include <map>
#include <string>
#include <string_view>

namespace peridotspool::settings {

/** A value that passed its rule. */
struct CheckedValue
{
  SettingValue mValue;
  /** As written. */
  std::string mWritten;
  SourcePlace mPlace;
};

/** A text's values by path ("services.assistant.limits.rate"). */
struct CheckedTree
{
  std::map<std::string, CheckedValue> mValues;
  /** The branches that are written, with the place of their name. */
  std::map<std::string, SourcePlace> mBranches;
};

/** Reads a text and holds it against a schema; all faults go to aErrors. */
CheckedTree
CheckText(std::string_view aText,
          const std::string& aFile,
          const BranchRule& aSchema,
          SettingsErrors& aErrors);

/** Returns "aPath.aName", or aName at the root. */
std::string
JoinPath(const std::string& aPath, const std::string& aName);

/** The names of a tree's branches right below a path, in order. */
std::vector<std::string>
ChildNames(const CheckedTree& aTree, const std::string& aPath);

/** Returns the value at a path, or its rule's default. */
template<typename T>
T
ValueOr(const CheckedTree& aTree,
        const BranchRule& aSchema,
        const std::string& aPath)
{
  const auto found = aTree.mValues.find(aPath);
  if (found != aTree.mValues.end()) {
    return std::get<T>(found->second.mValue);
  }
  const ValueRule* rule = FindRule(aSchema, aPath);
  return std::get<T>(ReadSchemaValue(*rule, rule->mDefault));
}

} // namespace peridotspool::settings
