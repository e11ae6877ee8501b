#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace peridotspool::gateway {

/** Header fields in the order in which they came, names as written. */
using FieldList = std::vector<std::pair<std::string, std::string>>;

/** Returns the first value of a field, whatever the case of its name. */
std::string_view
FieldOf(const FieldList& aFields, std::string_view aName);

/** Returns true iff two field names are the same. */
bool
EqualsIgnoreCase(std::string_view aLeft, std::string_view aRight);

/** A caller's request, read whole and not changed. */
struct CallerRequest
{
  std::string mMethod;
  /** Path and query, as sent. */
  std::string mTarget;
  FieldList mFields;
  std::string mBody;
  bool mKeepAlive = true;

  std::string_view Path() const
  {
    return std::string_view(mTarget).substr(0, mTarget.find('?'));
  }
};

/** The head of an upstream's answer. */
struct ResponseHead
{
  unsigned mStatus = 0;
  std::string mReason;
  FieldList mFields;
};

} // namespace peridotspool::gateway
