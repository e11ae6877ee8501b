#include "peridotspool/gateway/CapacityTerms.h"

#include <algorithm>
#include <set>

namespace peridotspool::gateway {

namespace {

bool
HasTokenRate(const Customer& aCustomer)
{
  return aCustomer.mUnit == QuotaUnit::kTokens && aCustomer.mRatePerSecond > 0;
}

} // namespace

void
CapacityTerms::Use(const std::shared_ptr<const RouteTable>& aTable)
{
  if (aTable == mTable) {
    return;
  }
  mTable = aTable;
  std::set<std::uint32_t> priorities;
  for (const Route& route : aTable->Source().mRoutes) {
    priorities.insert(route.mPriority);
  }
  double rates = 0.0;
  int limited = 0;
  for (const Customer& customer : aTable->Source().mCustomers) {
    if (customer.mPriority) {
      priorities.insert(*customer.mPriority);
    }
    if (HasTokenRate(customer)) {
      rates += customer.mRatePerSecond;
      ++limited;
    }
  }
  mPriorities.assign(priorities.begin(), priorities.end());
  mMeanRate = limited == 0 ? 1.0 : rates / limited;
}

std::uint32_t
CapacityTerms::RankOf(std::uint32_t aPriority) const
{
  return static_cast<std::uint32_t>(
    std::lower_bound(mPriorities.begin(), mPriorities.end(), aPriority) -
    mPriorities.begin());
}

std::uint32_t
CapacityTerms::RankCount() const
{
  return std::max(1U, static_cast<std::uint32_t>(mPriorities.size()));
}

double
CapacityTerms::WeightOf(const Customer* aCustomer) const
{
  return aCustomer != nullptr && HasTokenRate(*aCustomer)
           ? aCustomer->mRatePerSecond
           : mMeanRate;
}

} // namespace peridotspool::gateway
