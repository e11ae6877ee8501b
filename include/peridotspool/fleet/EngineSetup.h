#pragma once

#include <boost/describe/class.hpp>
#include <compare>
#include <string>

namespace peridotspool::fleet {

/** What orders make of an engine: all of it is state, nothing counts up. */
struct EngineSetup
{
  std::string mModel;
  std::string mAdapter;
  std::string mRole;

  auto operator<=>(const EngineSetup&) const = default;
};
BOOST_DESCRIBE_STRUCT(EngineSetup, (), (mModel, mAdapter, mRole))

} // namespace peridotspool::fleet
