#include "peridotspool/gateway/TunnelRecord.h"

#include "peridotspool/base/Invariant.h"

#include <boost/endian/conversion.hpp>

#include <algorithm>

namespace peridotspool::gateway {

namespace {

/** The type, and the length of the data as a big-endian number. */
constexpr std::size_t kTypeBytes = 1;
constexpr std::size_t kLengthBytes = sizeof(std::uint16_t);
constexpr std::size_t kHeadBytes = kTypeBytes + kLengthBytes;

const unsigned char*
BytesOf(const std::string& aText)
{
  return reinterpret_cast<const unsigned char*>(aText.data());
}

} // namespace

std::string
WriteTunnelRecord(TunnelRecordType aType, std::string_view aData)
{
  PERIDOTSPOOL_INVARIANT(aData.size() <= kMaxTunnelRecordBytes);
  std::string record(kHeadBytes, static_cast<char>(aType));
  boost::endian::store_big_u16(reinterpret_cast<unsigned char*>(record.data()) +
                                 kTypeBytes,
                               static_cast<std::uint16_t>(aData.size()));
  return record.append(aData);
}

bool
TunnelRecordReader::Read(std::string_view aBytes, std::string& aData)
{
  while (!aBytes.empty()) {
    if (mEnd) {
      return false;
    }
    if (mMissing > 0) {
      const std::size_t taken = std::min(mMissing, aBytes.size());
      aData.append(aBytes.substr(0, taken));
      aBytes.remove_prefix(taken);
      mMissing -= taken;
      continue;
    }
    mHead += aBytes.front();
    aBytes.remove_prefix(1);
    if (mHead.size() == kHeadBytes && !ReadHead()) {
      return false;
    }
  }
  return true;
}

bool
TunnelRecordReader::ReadHead()
{
  const auto type = static_cast<TunnelRecordType>(mHead.front());
  const std::size_t length =
    boost::endian::load_big_u16(BytesOf(mHead) + kTypeBytes);
  mHead.clear();
  switch (type) {
    case TunnelRecordType::kData:
      mMissing = length;
      return length > 0 && length <= kMaxTunnelRecordBytes;
    case TunnelRecordType::kClosed:
    case TunnelRecordType::kReset:
      mEnd = type;
      return length == 0;
    case TunnelRecordType::kKeepAlive:
      return length == 0;
    case TunnelRecordType::kRetired:
      mIsRetired = true;
      return length == 0;
  }
  return false;
}

} // namespace peridotspool::gateway
