#pragma once

#include "peridotspool/settings/SettingsTree.h"

#include <compare>
#include <optional>
#include <string>
#include <vector>

namespace peridotspool::settings {

/** One written value that differs between two trees. */
struct SettingsChange
{
  std::string mPath;
  /** Empty iff the value was not written before. */
  std::optional<std::string> mBefore;
  /** Empty iff the value is not written any more. */
  std::optional<std::string> mAfter;

  auto operator<=>(const SettingsChange&) const = default;
};

/** Returns the changes from one tree to another, ordered by path. */
std::vector<SettingsChange>
Diff(const SettingsTree& aBefore, const SettingsTree& aAfter);

} // namespace peridotspool::settings
