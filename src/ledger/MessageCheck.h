#pragma once

#include "peridotspool/ledger/Message.h"

namespace peridotspool::ledger {

/**
 * Returns true iff all shards that the message names exist. A peer's bytes may
 * say anything; they must not reach an index unchecked.
 */
bool
NamesKnownShards(const Message& aMessage);

} // namespace peridotspool::ledger
