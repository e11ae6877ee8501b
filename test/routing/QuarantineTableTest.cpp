// ctest-labels: unit
#include "peridotspool/routing/Quarantine.h"

#include <catch2/catch.hpp>

namespace peridotspool::routing {

namespace {

QuarantineChange
Change(std::uint64_t aContent, QuarantineStage aStage)
{
  return { .mContent = { .mLow = aContent },
           .mStage = aStage,
           .mCounted = 3,
           .mCrashes = { { .mUpstream = UpstreamName("u") } } };
}

QuarantineStatus
Status(std::uint64_t aContent, QuarantineStage aStage)
{
  return { .mContent = { .mLow = aContent }, .mStage = aStage };
}

} // namespace

TEST_CASE("EntryWithoutATableGetsTheWholeTable")
{
  QuarantineTable table;
  CHECK(table.UpdateSince(0) == QuarantineUpdate{ .mFrom = 0, .mTo = 1 });
  table.Apply(Change(1, QuarantineStage::kRefused));
  table.Apply(Change(2, QuarantineStage::kOneAtATime));
  table.Apply(Change(2, QuarantineStage::kCleared));
  CHECK(table.UpdateSince(0).mLines ==
        std::vector{ Status(1, QuarantineStage::kRefused) });
}

TEST_CASE("EntryWithAnOlderTableGetsTheChangesAndClearings")
{
  QuarantineTable table;
  table.Apply(Change(1, QuarantineStage::kOneAtATime));
  const std::uint64_t known = table.mNumber;
  table.Apply(Change(1, QuarantineStage::kCleared));
  table.Apply(Change(2, QuarantineStage::kRefused));
  const QuarantineUpdate update = table.UpdateSince(known);
  CHECK(update.mFrom == known);
  CHECK(update.mTo == table.mNumber);
  CHECK(update.mLines == std::vector{ Status(1, QuarantineStage::kCleared),
                                      Status(2, QuarantineStage::kRefused) });
}

// Guards against an entry that keeps refusing contents because of a row that no
// longer exists. It happens if a known number above the table's counts as up to
// date: all disks of the control group were lost, and a new group starts its
// numbers from 1.
TEST_CASE("EntryWithALaterNumberGetsTheWholeTable")
{
  const QuarantineTable table;
  CHECK(table.UpdateSince(9) == QuarantineUpdate{ .mFrom = 0, .mTo = 1 });
}

TEST_CASE("ClearedRowKeepsItsCrashes")
{
  QuarantineTable table;
  table.Apply(Change(1, QuarantineStage::kRefused));
  table.Apply({ .mContent = { .mLow = 1 } });
  const QuarantineRow* row = table.Find({ .mLow = 1 });
  REQUIRE(row != nullptr);
  CHECK(row->mChange.mStage == QuarantineStage::kCleared);
  CHECK(row->mChange.mCrashes.size() == 1);
}

TEST_CASE("TableIsBoundedAndEvictsClearedRowsFirst")
{
  constexpr std::uint64_t kMany = 600;
  QuarantineTable table;
  table.Apply(Change(1, QuarantineStage::kRefused));
  const std::uint64_t known = table.mNumber;
  for (std::uint64_t content = 2; content < kMany; ++content) {
    table.Apply(Change(content, QuarantineStage::kCleared));
  }
  CHECK(table.mRows.size() < kMany);
  REQUIRE(table.Find({ .mLow = 1 }) != nullptr);
  CHECK(table.Find({ .mLow = 2 }) == nullptr);
  CHECK(table.UpdateSince(known).mFrom == 0);
}

} // namespace peridotspool::routing
