#pragma once

#include <boost/describe/class.hpp>
#include <compare>
#include <cstdint>
#include <string>

namespace peridotspool {

/** An IP number and a port; no names are resolved anywhere. */
struct Address
{
  std::string mHost;
  std::uint16_t mPort = 0;

  auto operator<=>(const Address&) const = default;
};
BOOST_DESCRIBE_STRUCT(Address, (), (mHost, mPort))

/** Returns "host:port", for logs and answers. */
inline std::string
ToText(const Address& aAddress)
{
  return aAddress.mHost + ":" + std::to_string(aAddress.mPort);
}

} // namespace peridotspool
