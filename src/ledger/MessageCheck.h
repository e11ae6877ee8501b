#pragma once

#include "peridotspool/ledger/Message.h"

namespace peridotspool::ledger {

/**
 * Returns true iff all shards named by the message exist. The message comes
 * from another process and must be validated before its shard ids are used as
 * indexes.
 */
bool
NamesKnownShards(const Message& aMessage);

} // namespace peridotspool::ledger
