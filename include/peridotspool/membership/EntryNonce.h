#pragma once

#include "peridotspool/base/StrongId.h"

namespace peridotspool::membership {

/** Random number of one life of an entry process, made when it starts. */
using EntryNonce = NumberId<struct EntryNonceTag>;

} // namespace peridotspool::membership
