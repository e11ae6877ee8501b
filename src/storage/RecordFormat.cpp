#include "storage/RecordFormat.h"

#include <algorithm>
#include <cstring>
#include <xxhash.h>

namespace peridotspool::storage {

namespace {

constexpr std::string_view kMark = "PSR1";

/** Written in the byte order of the machine; all machines are little-endian. */
struct Header
{
  std::uint64_t mNumber = 0;
  std::uint64_t mLength = 0;
  std::uint64_t mChecksum = 0;
};

constexpr std::size_t kHeaderBytes = kMark.size() + sizeof(Header);

std::uint64_t
Checksum(std::uint64_t aNumber, std::string_view aPayload)
{
  const std::uint64_t seed = aNumber * 0x9E3779B97F4A7C15ULL + aPayload.size();
  return XXH3_64bits_withSeed(aPayload.data(), aPayload.size(), seed);
}

struct Found
{
  std::uint64_t mNumber = 0;
  std::string_view mPayload;
};

/** Returns the whole record that starts at aAt, if one does. */
std::optional<Found>
RecordAt(std::string_view aBytes, std::size_t aAt)
{
  if (aBytes.size() - aAt < kHeaderBytes ||
      aBytes.substr(aAt, kMark.size()) != kMark) {
    return std::nullopt;
  }
  Header header;
  std::memcpy(&header, aBytes.data() + aAt + kMark.size(), sizeof(Header));
  if (header.mLength > aBytes.size() - aAt - kHeaderBytes) {
    return std::nullopt;
  }
  const std::string_view payload =
    aBytes.substr(aAt + kHeaderBytes, header.mLength);
  if (Checksum(header.mNumber, payload) != header.mChecksum) {
    return std::nullopt;
  }
  return Found{ .mNumber = header.mNumber, .mPayload = payload };
}

/** Returns the place of a later record behind aAt. */
std::optional<std::uint64_t>
FindWholeAfter(std::string_view aBytes, std::size_t aAt, std::uint64_t aNumber)
{
  for (std::size_t at = aBytes.find(kMark, aAt); at != std::string_view::npos;
       at = aBytes.find(kMark, at + 1)) {
    const auto found = RecordAt(aBytes, at);
    if (found && found->mNumber > aNumber) {
      return at;
    }
  }
  return std::nullopt;
}

} // namespace

std::string
MakeRecord(std::uint64_t aNumber, std::string_view aPayload)
{
  const Header header{ .mNumber = aNumber,
                       .mLength = aPayload.size(),
                       .mChecksum = Checksum(aNumber, aPayload) };
  std::string record(kMark);
  record.append(reinterpret_cast<const char*>(&header), sizeof(header));
  record.append(aPayload);
  return record;
}

ScanResult
ScanRecords(std::string_view aBytes, std::vector<std::string>& aRecords)
{
  ScanResult result;
  std::optional<Found> found = RecordAt(aBytes, 0);
  while (found && found->mNumber == result.mNextNumber) {
    aRecords.emplace_back(found->mPayload);
    result.mGoodBytes += kHeaderBytes + found->mPayload.size();
    ++result.mNextNumber;
    found = RecordAt(aBytes, result.mGoodBytes);
  }
  result.mWholeAfter =
    FindWholeAfter(aBytes, result.mGoodBytes, result.mNextNumber);
  return result;
}

} // namespace peridotspool::storage
