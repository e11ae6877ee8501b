// ctest-labels: unit limits
#include "peridotspool/limits/FramingGuard.h"

#include <catch2/catch.hpp>

#include <string_view>

namespace peridotspool::limits {

namespace {

constexpr std::size_t kElement = 16U << 10;
constexpr std::string_view kChunk = "1\r\nx\r\n";

} // namespace

TEST_CASE("ChunksOfOneByteAreWithinTheBound")
{
  FramingGuard guard(kElement);
  bool isWithin = true;
  for (int i = 0; i < 4 << 20; ++i) {
    isWithin = isWithin && guard.RecordParsed(kChunk.size(), 1);
  }
  CHECK(isWithin);
}

// Guards against extensions that make small chunks cost far more than a body.
TEST_CASE("ExtensionsOfSmallChunksAreBoundedInAll")
{
  FramingGuard guard(kElement);
  std::size_t bytes = 0;
  while (guard.RecordParsed(1000, 1) && bytes < (1U << 20)) {
    bytes += 1000;
  }
  CHECK(bytes < (256U << 10));
}

TEST_CASE("AHeadAndTrailersOfTheLargestSizeAreWithinTheBound")
{
  FramingGuard guard(kElement);
  CHECK(guard.RecordParsed(kElement, 0));
  CHECK(guard.MayHold(kElement));
  CHECK(guard.RecordParsed(kElement, 0));
  CHECK_FALSE(guard.MayHold(kElement + 1));
}

} // namespace peridotspool::limits
