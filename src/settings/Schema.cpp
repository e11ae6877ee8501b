#include "settings/Schema.h"

namespace peridotspool::settings {

ValueRule
QuantityRule(ValueKind aKind,
             const char* aMin,
             const char* aMax,
             const char* aDefault)
{
  return { .mKind = aKind, .mMin = aMin, .mMax = aMax, .mDefault = aDefault };
}

const ValueRule*
FindRule(const BranchRule& aSchema, std::string_view aPath)
{
  const std::size_t dot = aPath.find('.');
  const std::string name(aPath.substr(0, dot));
  if (name.empty()) {
    return nullptr;
  }
  if (dot == std::string_view::npos) {
    const auto value = aSchema.mValues.find(name);
    if (value != aSchema.mValues.end()) {
      return &value->second;
    }
    return aSchema.mNamedValues ? &*aSchema.mNamedValues : nullptr;
  }
  const std::string_view rest = aPath.substr(dot + 1);
  const auto branch = aSchema.mBranches.find(name);
  if (branch != aSchema.mBranches.end()) {
    return FindRule(branch->second, rest);
  }
  return aSchema.mNamedBranches ? FindRule(*aSchema.mNamedBranches, rest)
                                : nullptr;
}

} // namespace peridotspool::settings
