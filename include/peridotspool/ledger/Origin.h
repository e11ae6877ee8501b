#pragma once

#include "peridotspool/base/Ids.h"

#include <boost/describe/class.hpp>
#include <compare>

namespace peridotspool::ledger {

/**
 * Identifies the call that requested an operation. A resent operation has the
 * same origin.
 */
struct Origin
{
  MemberId mMember;
  CallId mCall;

  auto operator<=>(const Origin&) const = default;
};
BOOST_DESCRIBE_STRUCT(Origin, (), (mMember, mCall))

} // namespace peridotspool::ledger
