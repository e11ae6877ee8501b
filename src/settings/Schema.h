#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peridotspool::settings {

enum class ValueKind
{
  kDuration,
  kBytes,
  kRate,
  kShare,
  kInteger,
  kNumber,
  kBoolean,
  kName,
  kText,
  kAddress,
  kChoice,
  kNameList,
  kHashList,
};

/** What one value may be. Ranges and defaults are written as in a file. */
struct ValueRule
{
  ValueKind mKind = ValueKind::kText;
  std::string mMin{};
  std::string mMax{};
  std::string mDefault{};
  std::vector<std::string> mChoices{};
  bool mRequired = false;
};

/** Returns the rule of a quantity; the texts are written as in a file. */
ValueRule
QuantityRule(ValueKind aKind,
             const char* aMin,
             const char* aMax,
             const char* aDefault);

/** What a branch may hold. */
struct BranchRule
{
  std::map<std::string, ValueRule> mValues;
  std::map<std::string, BranchRule> mBranches;
  /** Set iff the branch holds branches under names of the operator's choice. */
  std::shared_ptr<const BranchRule> mNamedBranches;
  /** Set iff the branch holds values under names of the operator's choice. */
  std::optional<ValueRule> mNamedValues;
  bool mRequired = false;
};

/** The schema of the operators' tree. */
const BranchRule&
TreeSchema();

/** The schemas of the processes' own files. */
const BranchRule&
EntrySchema();
const BranchRule&
ControlSchema();

/** Returns the rule of the value at a path, or null. */
const ValueRule*
FindRule(const BranchRule& aSchema, std::string_view aPath);

} // namespace peridotspool::settings
