#pragma once

#include "peridotspool/control/MachineState.h"
#include "peridotspool/membership/EntryMessage.h"

#include <optional>

namespace peridotspool::control {

/**
 * Returns the changes that an entry at revision aHave lacks: deltas where they
 * are retained and smaller than the whole tree, otherwise the whole tree.
 */
membership::SettingsPush
MakeSettingsPush(const SettingsState& aSettings,
                 std::uint64_t aDigest,
                 Revision aHave);

/** Returns the epochs that an entry at epoch aHave lacks. */
membership::EpochPush
MakeEpochPush(const MembershipState& aState, EpochNumber aHave);

} // namespace peridotspool::control
