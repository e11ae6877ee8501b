// ctest-labels: unit
#include "peridotspool/gateway/QuotaStock.h"

#include <catch2/catch.hpp>

namespace peridotspool::gateway {

namespace {

TimePoint
At(int aMs)
{
  return TimePoint(std::chrono::seconds(50) + std::chrono::milliseconds(aMs));
}

} // namespace

TEST_CASE("StockIsTakenWholeOrNotAtAll")
{
  QuotaStock stock;
  CHECK_FALSE(stock.Take(1, At(0)).has_value());
  stock.Put(10, At(100));
  stock.Put(10, At(50));
  CHECK_FALSE(stock.Take(21, At(0)).has_value());
  CHECK(stock.Take(15, At(0)) == At(50));
  CHECK(stock.Take(5, At(0)) == At(100));
  CHECK_FALSE(stock.Take(1, At(0)).has_value());
}

TEST_CASE("StockLapses")
{
  QuotaStock stock;
  stock.Put(10, At(50));
  stock.Put(10, At(100));
  CHECK_FALSE(stock.Take(11, At(50)).has_value());
  CHECK(stock.Take(10, At(50)) == At(100));
  CHECK_FALSE(stock.Take(1, At(100)).has_value());
}

} // namespace peridotspool::gateway
