#pragma once

#include "peridotspool/control/MachineState.h"
#include "peridotspool/membership/EntryMessage.h"

#include <optional>

namespace peridotspool::control {

/**
 * Returns what an entry with revision aHave lacks: deltas where they are kept
 * and smaller than the whole tree, else the whole tree.
 */
membership::SettingsPush
MakeSettingsPush(const SettingsState& aSettings,
                 std::uint64_t aDigest,
                 Revision aHave);

/** Returns the epochs that an entry at aHave lacks. */
membership::EpochPush
MakeEpochPush(const MembershipState& aState, EpochNumber aHave);

} // namespace peridotspool::control
