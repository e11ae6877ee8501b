#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peridotspool::storage {

/** What a scan over a file's bytes found. */
struct ScanResult
{
  /** Bytes of whole records from the start on. */
  std::uint64_t mGoodBytes = 0;
  /** Number of the record that would come next. */
  std::uint64_t mNextNumber = 1;
  /** Place of a whole record behind a damaged one. */
  std::optional<std::uint64_t> mWholeAfter;
};

/**
 * Returns a record's bytes: a mark, the record's number, the payload's length,
 * a checksum over number, length and payload, and the payload.
 */
std::string
MakeRecord(std::uint64_t aNumber, std::string_view aPayload);

/** Reads whole records from the start on, and looks behind the first bad one.
 */
ScanResult
ScanRecords(std::string_view aBytes, std::vector<std::string>& aRecords);

} // namespace peridotspool::storage
