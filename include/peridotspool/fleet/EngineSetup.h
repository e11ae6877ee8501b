#pragma once

#include <boost/describe/class.hpp>
#include <compare>
#include <string>

namespace peridotspool::fleet {

/**
 * The setup that orders give an engine. It is pure state without counters, so
 * applying it twice has no further effect.
 */
struct EngineSetup
{
  std::string mModel;
  std::string mAdapter;
  std::string mRole;

  auto operator<=>(const EngineSetup&) const = default;
};
BOOST_DESCRIBE_STRUCT(EngineSetup, (), (mModel, mAdapter, mRole))

} // namespace peridotspool::fleet
