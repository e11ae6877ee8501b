#pragma once

#include "peridotspool/streams/StreamOrigin.h"

#include <boost/describe/class.hpp>
#include <compare>
#include <cstdint>

namespace peridotspool::streams {

/** Asks an entry which versions of a service it has known lately. */
struct VersionQuery
{
  /** Echoed in the response. */
  std::uint64_t mTag = 0;
  ServiceName mService;

  auto operator<=>(const VersionQuery&) const = default;
};
BOOST_DESCRIBE_STRUCT(VersionQuery, (), (mTag, mService))

struct VersionResponse
{
  std::uint64_t mTag = 0;
  /** Known: one version; ambiguous: several; unknown: no upstream. */
  OriginAnswer mAnswer;

  auto operator<=>(const VersionResponse&) const = default;
};
BOOST_DESCRIBE_STRUCT(VersionResponse, (), (mTag, mAnswer))

} // namespace peridotspool::streams
