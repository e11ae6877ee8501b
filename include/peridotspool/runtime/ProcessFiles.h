#pragma once

#include "peridotspool/settings/ProcessSettings.h"

#include <optional>
#include <string>

namespace peridotspool::runtime {

/**
 * Reads a process's settings file and writes its faults to standard error.
 * File names in it that are not absolute are taken from the file's own folder.
 */
std::optional<settings::ProcessSettings>
LoadProcessSettings(const std::string& aPath, settings::ProcessRole aRole);

} // namespace peridotspool::runtime
