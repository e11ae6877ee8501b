#pragma once

#include "peridotspool/settings/SettingsError.h"

#include <optional>
#include <string>
#include <string_view>

namespace peridotspool::settings {

/**
 * Returns the tree's text with one value written at a path, such as 20/s at
 * services.assistant.limits.rate; all else, comments too, stays as it is.
 * Returns empty and fills aErrors if either text or the value has a fault, or
 * if the value is written in a form that only a person should edit.
 */
std::optional<std::string>
SetValue(const std::string& aText,
         std::string_view aPath,
         const std::string& aValue,
         SettingsErrors& aErrors);

} // namespace peridotspool::settings
