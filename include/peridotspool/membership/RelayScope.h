#pragma once

#include <boost/describe/enum.hpp>

namespace peridotspool::membership {

/** The control replicas to which a relay forwards an entry's message. */
enum class RelayScope
{
  kLeader,
  kVoters,
  kAll,
};
BOOST_DESCRIBE_ENUM(RelayScope, kLeader, kVoters, kAll)

} // namespace peridotspool::membership
