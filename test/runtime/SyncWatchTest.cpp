// ctest-labels: unit
#include "runtime/SyncWatch.h"

#include <catch2/catch.hpp>

namespace peridotspool::runtime {

namespace {

TimePoint
At(int aMs)
{
  return TimePoint(std::chrono::seconds(1000) + std::chrono::milliseconds(aMs));
}

Duration
Ms(int aMs)
{
  return std::chrono::milliseconds(aMs);
}

} // namespace

TEST_CASE("EachWriteIsTimed")
{
  SyncWatch watch;
  watch.Begin(At(0));
  CHECK(watch.End(At(30)) == Ms(30));
}

// Symptom: a group elected nobody for twenty seconds and no line said why.
// Sequence: a vote was given to a disk that did not come back for so long.
// Cause: a write was told of by the thread that waited for it, if at all.
TEST_CASE("AWriteThatDoesNotEndIsToldOfOnceASecond")
{
  SyncWatch watch;
  CHECK(watch.Hangs(At(0)) == std::nullopt);
  watch.Begin(At(0));
  CHECK(watch.Hangs(At(999)) == std::nullopt);
  CHECK(watch.Hangs(At(1000)) == Ms(1000));
  CHECK(watch.Hangs(At(1500)) == std::nullopt);
  CHECK(watch.Hangs(At(2000)) == Ms(2000));
  watch.End(At(2100));
  CHECK(watch.Hangs(At(4000)) == std::nullopt);
}

TEST_CASE("WritesAreSummedUpEveryTenSeconds")
{
  SyncWatch watch;
  CHECK(watch.Due(At(0)) == std::nullopt);
  for (const int took : { 2, 4, 12 }) {
    watch.Begin(At(100));
    watch.End(At(100 + took));
  }
  CHECK(watch.Due(At(9999)) == std::nullopt);
  CHECK(watch.Due(At(10000)) ==
        SyncSummary{ .mCount = 3, .mMean = Ms(6), .mLongest = Ms(12) });
  CHECK(watch.Due(At(30000)) == std::nullopt);
}

} // namespace peridotspool::runtime
