#pragma once

#include "peridotspool/base/Address.h"
#include "peridotspool/base/Ids.h"

#include <boost/describe/class.hpp>
#include <compare>

namespace peridotspool::membership {

/** What an entry process reports about itself when it joins. */
struct EntryProfile
{
  EntryName mName;
  Region mRegion;
  FailureDomain mDomain;
  Address mPeerAddress;
  Address mCallerAddress;

  auto operator<=>(const EntryProfile&) const = default;
};
BOOST_DESCRIBE_STRUCT(EntryProfile,
                      (),
                      (mName, mRegion, mDomain, mPeerAddress, mCallerAddress))

} // namespace peridotspool::membership
