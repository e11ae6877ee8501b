#pragma once

#include "peridotspool/base/StrongId.h"

namespace peridotspool::membership {

/** Random identifier of one session of an entry, generated when it starts. */
using EntryNonce = NumberId<struct EntryNonceTag>;

} // namespace peridotspool::membership
