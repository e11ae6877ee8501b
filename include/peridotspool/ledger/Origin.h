#pragma once

#include "peridotspool/base/Ids.h"

#include <boost/describe/class.hpp>
#include <compare>

namespace peridotspool::ledger {

/** Who asked for an operation; a resent one carries the same origin. */
struct Origin
{
  MemberId mMember;
  CallId mCall;

  auto operator<=>(const Origin&) const = default;
};
BOOST_DESCRIBE_STRUCT(Origin, (), (mMember, mCall))

} // namespace peridotspool::ledger
