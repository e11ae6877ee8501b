#include "peridotspool/gateway/RouteTable.h"

#include <algorithm>
#include <cctype>
#include <numeric>
#include <tuple>
#include <utility>

namespace peridotspool::gateway {

std::string
NormalizeHost(std::string_view aHost)
{
  const std::size_t colon = aHost.rfind(':');
  std::string host(aHost.substr(0, colon));
  std::transform(host.begin(), host.end(), host.begin(), [](unsigned char aC) {
    return static_cast<char>(std::tolower(aC));
  });
  return host;
}

std::optional<RouteTable>
RouteTable::Make(RouteTableSource aSource, LastReason& aReason)
{
  RouteTable table(std::move(aSource));
  if (!table.IndexRoutes(aReason) || !table.IndexCustomers(aReason)) {
    return std::nullopt;
  }
  return table;
}

RouteTable::RouteTable(RouteTableSource aSource)
  : mSource(std::move(aSource))
{
  for (std::size_t i = 0; i < mSource.mServices.size(); ++i) {
    mServiceByName.emplace(mSource.mServices[i].mName, i);
  }
}

bool
RouteTable::IndexRoutes(LastReason& aReason)
{
  for (std::size_t i = 0; i < mSource.mRoutes.size(); ++i) {
    Route& route = mSource.mRoutes[i];
    route.mHost = NormalizeHost(route.mHost);
    const std::string named = "route " + route.mName;
    if (route.mTimeout <= Duration(0)) {
      aReason.Set(named + ": the timeout is 0");
      return false;
    }
    std::uint64_t weight = 0;
    for (const ServiceShare& share : route.mShares) {
      weight += share.mWeight;
      if (!mServiceByName.contains(share.mService)) {
        aReason.Set(named + ": unknown service " + share.mService.Value());
        return false;
      }
    }
    if (weight == 0) {
      aReason.Set(named + ": the weights add up to 0");
      return false;
    }
    if (route.mPrefix.empty() || route.mPrefix.front() != '/' ||
        route.mPrefix.back() != '/') {
      aReason.Set(named + ": a prefix begins and ends with a slash, not '" +
                  route.mPrefix + "'");
      return false;
    }
    mRoutesByHost[route.mHost].push_back(i);
  }
  for (auto& [host, indices] : mRoutesByHost) {
    const auto prefix = [this](std::size_t aIndex) -> const std::string& {
      return mSource.mRoutes[aIndex].mPrefix;
    };
    std::sort(indices.begin(), indices.end(), [&](auto aLeft, auto aRight) {
      return std::pair(prefix(aRight).size(), prefix(aLeft)) <
             std::pair(prefix(aLeft).size(), prefix(aRight));
    });
    const auto twice = std::adjacent_find(
      indices.begin(), indices.end(), [&](auto aLeft, auto aRight) {
        return prefix(aLeft) == prefix(aRight);
      });
    if (twice != indices.end()) {
      aReason.Set("two routes share host " + host + " and prefix " +
                  prefix(*twice));
      return false;
    }
  }
  return true;
}

bool
RouteTable::IndexCustomers(LastReason& aReason)
{
  for (std::size_t i = 0; i < mSource.mCustomers.size(); ++i) {
    for (std::size_t key = 0; key < mSource.mCustomers[i].mKeys.size(); ++key) {
      mKeys.push_back({ .mCustomer = i, .mKey = key });
    }
  }
  std::sort(mKeys.begin(), mKeys.end(), [&](auto& aLeft, auto& aRight) {
    return std::tie(KeyAt(aLeft), aLeft.mCustomer) <
           std::tie(KeyAt(aRight), aRight.mCustomer);
  });
  const auto shared = std::adjacent_find(
    mKeys.begin(), mKeys.end(), [&](auto& aLeft, auto& aRight) {
      return aLeft.mCustomer != aRight.mCustomer &&
             KeyAt(aLeft) == KeyAt(aRight);
    });
  if (shared == mKeys.end()) {
    return true;
  }
  const auto name = [&](const KeyPlace& aPlace) {
    return mSource.mCustomers[aPlace.mCustomer].mName.Value();
  };
  aReason.Set("customers " + name(*shared) + " and " + name(*(shared + 1)) +
              " share a key");
  return false;
}

const std::string&
RouteTable::KeyAt(const KeyPlace& aPlace) const
{
  return mSource.mCustomers[aPlace.mCustomer].mKeys[aPlace.mKey];
}

const Route*
RouteTable::Find(std::string_view aHost, std::string_view aPath) const
{
  const auto host = mRoutesByHost.find(NormalizeHost(aHost));
  if (host == mRoutesByHost.end()) {
    return nullptr;
  }
  const auto found = std::find_if(
    host->second.begin(), host->second.end(), [&](std::size_t aIndex) {
      return aPath.starts_with(mSource.mRoutes[aIndex].mPrefix);
    });
  return found == host->second.end() ? nullptr : &mSource.mRoutes[*found];
}

const Customer*
RouteTable::CustomerOf(std::string_view aKey) const
{
  const auto found = std::lower_bound(
    mKeys.begin(), mKeys.end(), aKey, [&](auto& aPlace, auto aWanted) {
      return KeyAt(aPlace) < aWanted;
    });
  return found == mKeys.end() || KeyAt(*found) != aKey
           ? nullptr
           : &mSource.mCustomers[found->mCustomer];
}

const ServiceProfile*
RouteTable::Service(const ServiceName& aName) const
{
  const auto found = mServiceByName.find(aName);
  return found == mServiceByName.end() ? nullptr
                                       : &mSource.mServices[found->second];
}

} // namespace peridotspool::gateway
