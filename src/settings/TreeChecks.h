#pragma once

#include "settings/CheckedTree.h"

#include <cstdint>
#include <map>
#include <string>

namespace peridotspool::settings {

/** The priorities of a tree; a tree that names none has three by default. */
std::map<std::string, std::int32_t>
ReadPriorities(const CheckedTree& aTree);

/**
 * Checks what one value alone can't show: names that must exist elsewhere in
 * the tree, key hashes that two customers share, and bounds between values.
 */
void
CheckAcross(const CheckedTree& aTree,
            const std::string& aFile,
            SettingsErrors& aErrors);

} // namespace peridotspool::settings
