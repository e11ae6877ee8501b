#pragma once

#include "peridotspool/base/LastReason.h"
#include "peridotspool/gateway/CallerLimits.h"
#include "peridotspool/gateway/Customer.h"
#include "peridotspool/gateway/Route.h"
#include "peridotspool/gateway/ServiceProfile.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace peridotspool::gateway {

/** A whole routing configuration as an operator gave it. */
struct RouteTableSource
{
  /** The operator's own number; a higher one replaces a lower one. */
  std::uint64_t mVersion = 0;
  std::vector<Route> mRoutes;
  std::vector<ServiceProfile> mServices;
  std::vector<Customer> mCustomers;
  CallerLimits mLimits;

  auto operator<=>(const RouteTableSource&) const = default;
};

/** A checked routing configuration, indexed for the request path. */
class RouteTable
{
public:
  /** Returns empty with the reason iff the configuration contradicts itself. */
  static std::optional<RouteTable> Make(RouteTableSource aSource,
                                        LastReason& aReason);

  std::uint64_t Version() const { return mSource.mVersion; }
  const RouteTableSource& Source() const { return mSource; }
  const CallerLimits& Limits() const { return mSource.mLimits; }
  /** Returns true iff requests need a customer's key. */
  bool HasCustomers() const { return !mSource.mCustomers.empty(); }

  /**
   * Returns the route with the longest prefix of aPath on aHost, or null.
   * aPath is without a query; aHost may carry a port.
   */
  const Route* Find(std::string_view aHost, std::string_view aPath) const;
  /** Returns the customer that holds a key, or null. */
  const Customer* CustomerOf(std::string_view aKey) const;
  const ServiceProfile* Service(const ServiceName& aName) const;

private:
  using Indices = std::vector<std::size_t>;

  explicit RouteTable(RouteTableSource aSource);

  bool IndexRoutes(LastReason& aReason);
  bool IndexCustomers(LastReason& aReason);

  RouteTableSource mSource;
  /** Routes of a host, the longest prefix first. */
  std::unordered_map<std::string, Indices> mRoutesByHost;
  std::unordered_map<std::string, std::size_t> mCustomerByKey;
  std::unordered_map<ServiceName, std::size_t> mServiceByName;
};

/** Returns a host name in lower case, without a port. */
std::string
NormalizeHost(std::string_view aHost);

} // namespace peridotspool::gateway
