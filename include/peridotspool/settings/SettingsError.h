#pragma once

#include <compare>
#include <cstddef>
#include <string>
#include <vector>

namespace peridotspool::settings {

/** One fault in a settings file, at a place that an editor can jump to. */
struct SettingsError
{
  std::string mFile;
  /** Counted from 1; 0 where the fault has no place. */
  std::size_t mLine = 0;
  std::size_t mColumn = 0;
  /** What was found, what was expected and the nearest known name. */
  std::string mMessage;

  auto operator<=>(const SettingsError&) const = default;
};

using SettingsErrors = std::vector<SettingsError>;

/** Faults reported for one file; parsing goes on but keeps no more. */
inline constexpr std::size_t kMaxSettingsErrors = 20;

/** Returns "file:line:column: message". */
std::string
ToText(const SettingsError& aError);

/** Returns all errors, one a line. */
std::string
ToText(const SettingsErrors& aErrors);

} // namespace peridotspool::settings
