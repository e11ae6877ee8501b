#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace peridotspool::gateway {

/** A record of a tunnel, from the relaying entry to the one that asked. */
enum class TunnelRecordType : std::uint8_t
{
  /** Bytes that the upstream has sent. */
  kData = 1,
  /** The upstream has closed its connection in order. Ends the tunnel. */
  kClosed = 2,
  /** The upstream's connection has failed. Ends the tunnel. */
  kReset = 3,
  /** Nothing has come from the upstream; the relaying entry is alive. */
  kKeepAlive = 4,
  /** The upstream wants no further requests from the relaying entry. */
  kRetired = 5,
};

constexpr std::size_t kMaxTunnelRecordBytes = 16U << 10;

/** @param aData at most kMaxTunnelRecordBytes; empty unless the type is kData
 */
std::string
WriteTunnelRecord(TunnelRecordType aType, std::string_view aData = {});

/**
 * Reads the records of a tunnel. A tunnel whose connection ends without kClosed
 * or kReset has lost its relaying entry, which says nothing about the upstream.
 */
class TunnelRecordReader
{
public:
  /** Appends the upstream's bytes to aData. Returns false iff the bytes are no
   * records; the tunnel can't be used after that. */
  bool Read(std::string_view aBytes, std::string& aData);
  /** Returns kClosed or kReset once such a record has come. */
  std::optional<TunnelRecordType> End() const { return mEnd; }
  /** Returns true once kRetired has come. */
  bool IsRetired() const { return mIsRetired; }

private:
  bool ReadHead();

  std::string mHead;
  /** Bytes of the current record that are still to come. */
  std::size_t mMissing = 0;
  std::optional<TunnelRecordType> mEnd;
  bool mIsRetired = false;
};

} // namespace peridotspool::gateway
