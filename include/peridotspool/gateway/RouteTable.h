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

/** A complete routing configuration as an operator submitted it. */
struct RouteTableSource
{
  /** Assigned by the operator; a higher version replaces a lower one. */
  std::uint64_t mVersion = 0;
  std::vector<Route> mRoutes;
  std::vector<ServiceProfile> mServices;
  std::vector<Customer> mCustomers;
  CallerLimits mLimits;

  auto operator<=>(const RouteTableSource&) const = default;
};

/** A validated routing configuration, indexed for lookups by request. */
class RouteTable
{
public:
  /** Returns empty and sets the reason iff the configuration is invalid. */
  static std::optional<RouteTable> Make(RouteTableSource aSource,
                                        LastReason& aReason);

  std::uint64_t Version() const { return mSource.mVersion; }
  const RouteTableSource& Source() const { return mSource; }
  const CallerLimits& Limits() const { return mSource.mLimits; }
  /** Returns true iff requests on non-public routes need a customer's key. */
  bool HasCustomers() const { return !mSource.mCustomers.empty(); }

  /**
   * Returns the route of aHost with the longest prefix that matches aPath, or
   * null. aPath has no query; aHost may include a port.
   */
  const Route* Find(std::string_view aHost, std::string_view aPath) const;
  /** Returns the customer that holds aKey, or null. */
  const Customer* CustomerOf(std::string_view aKey) const;
  const ServiceProfile* Service(const ServiceName& aName) const;

private:
  using Indices = std::vector<std::size_t>;
  /** Where a key stands in mSource. */
  struct KeyPlace
  {
    std::size_t mCustomer = 0;
    std::size_t mKey = 0;
  };

  explicit RouteTable(RouteTableSource aSource);

  bool IndexRoutes(LastReason& aReason);
  bool IndexCustomers(LastReason& aReason);
  const std::string& KeyAt(const KeyPlace& aPlace) const;

  RouteTableSource mSource;
  /** Indices of each host's routes, the longest prefix first. */
  std::unordered_map<std::string, Indices> mRoutesByHost;
  /** In ascending order of the keys, which are not held a second time. */
  std::vector<KeyPlace> mKeys;
  std::unordered_map<ServiceName, std::size_t> mServiceByName;
};

/** Returns the host name in lower case and without a port. */
std::string
NormalizeHost(std::string_view aHost);

} // namespace peridotspool::gateway
