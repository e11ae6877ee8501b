#pragma once

#include "peridotspool/gateway/RouteTable.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace peridotspool::gateway {

/** How the configuration orders requests that compete for capacity. */
class CapacityTerms
{
public:
  /** Does nothing if this table is in use already. */
  void Use(const std::shared_ptr<const RouteTable>& aTable);
  /** Returns the position of a priority among the configured ones. */
  std::uint32_t RankOf(std::uint32_t aPriority) const;
  /** Returns the number of different priorities; at least 1. */
  std::uint32_t RankCount() const;
  /** Returns a customer's weight: the rate of its limit in tokens, or else the
   * mean of these rates, so that all are equal without limits. Null for a
   * request without a customer. */
  double WeightOf(const Customer* aCustomer) const;

private:
  std::shared_ptr<const RouteTable> mTable;
  /** Different from each other, in ascending order. */
  std::vector<std::uint32_t> mPriorities;
  double mMeanRate = 1.0;
};

} // namespace peridotspool::gateway
