// ctest-labels: promise-state-survives
#include "peridotspool/storage/RecordFile.h"

#include "storage/TemporaryFolder.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <filesystem>
#include <fstream>

namespace peridotspool::storage {

namespace {

std::vector<std::string>
ReadAll(const std::string& aPath, LastReason& aReason)
{
  std::vector<std::string> records;
  RecordFile::Open(aPath, {}, records, aReason);
  return records;
}

void
WriteRecords(const std::string& aPath, const std::vector<std::string>& aRecords)
{
  LastReason reason;
  std::vector<std::string> before;
  auto file = RecordFile::Open(aPath, {}, before, reason);
  for (const std::string& record : aRecords) {
    REQUIRE(file->Append(record, reason));
  }
  REQUIRE(file->Sync(reason));
}

void
Damage(const std::string& aPath, std::uint64_t aAt)
{
  std::fstream file(aPath, std::ios::in | std::ios::out | std::ios::binary);
  file.seekg(static_cast<std::streamoff>(aAt));
  const char byte = static_cast<char>(file.get() ^ 0x41);
  file.seekp(static_cast<std::streamoff>(aAt));
  file.put(byte);
}

} // namespace

TEST_CASE("RecordsAreReadBackInOrder")
{
  const TemporaryFolder folder;
  const std::string path = folder.Path() + "/records";
  WriteRecords(path, { "one", "", std::string(100000, 'x') });
  WriteRecords(path, { "four" });
  LastReason reason;
  CHECK(
    ReadAll(path, reason) ==
    std::vector<std::string>{ "one", "", std::string(100000, 'x'), "four" });
}

// Symptom: a replica doesn't start after a power failure.
// Sequence: the last record was written in part when the power went.
// Cause: a half-written record taken for damage.
TEST_CASE("TornTailIsCutAtEveryLength")
{
  const TemporaryFolder folder;
  const std::string path = folder.Path() + "/records";
  WriteRecords(path, { "one", "two" });
  const auto whole = std::filesystem::file_size(path);
  WriteRecords(path, { "three" });
  const auto all = std::filesystem::file_size(path);
  for (auto size = all - 1; size >= whole; --size) {
    std::filesystem::resize_file(path, size);
    LastReason reason;
    CHECK(ReadAll(path, reason) == std::vector<std::string>{ "one", "two" });
    CHECK(std::filesystem::file_size(path) == whole);
    CHECK_FALSE(reason.IsSet());
    WriteRecords(path, { "three" });
    REQUIRE(std::filesystem::file_size(path) == all);
  }
}

// Symptom: committed edits are missing after a restart, without a word.
// Sequence: one block of the file goes bad under older records.
// Cause: reading that stops at the first bad record and takes it for the end.
TEST_CASE("DamageInTheMiddleIsReportedAndNeverSkipped")
{
  rc::prop("any damaged byte before the last record is refused", [] {
    const TemporaryFolder folder;
    const std::string path = folder.Path() + "/records";
    WriteRecords(path, { "one", "two" });
    const auto synced = std::filesystem::file_size(path);
    WriteRecords(path, { "three" });
    const auto at = *rc::gen::inRange<std::uint64_t>(0, synced);
    Damage(path, at);
    LastReason reason;
    std::vector<std::string> records;
    const auto file = RecordFile::Open(path, {}, records, reason);
    RC_LOG() << "damaged byte " << at;
    RC_ASSERT(!file.has_value());
    RC_ASSERT(reason.Text().find("is damaged") != std::string::npos);
  });
}

// Symptom: an acknowledged record is gone after a crash.
// Sequence: a sync fails, the next one reports success.
// Cause: the kernel drops pages whose write has failed; trying again only
// looks as if it had worked.
TEST_CASE("FailedSyncIsFatalForTheFile")
{
  const TemporaryFolder folder;
  int calls = 0;
  const SyncFunction failOnce = [&](int) { return ++calls == 1 ? -1 : 0; };
  LastReason reason;
  std::vector<std::string> records;
  auto file =
    RecordFile::Open(folder.Path() + "/records", failOnce, records, reason);
  REQUIRE(file->Append("one", reason));
  CHECK_FALSE(file->Sync(reason));
  CHECK_FALSE(file->Sync(reason));
  CHECK_FALSE(file->Append("two", reason));
  CHECK(calls == 1);
}

} // namespace peridotspool::storage
