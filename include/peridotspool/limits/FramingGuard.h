#pragma once

#include <cstddef>
#include <cstdint>

namespace peridotspool::limits {

/**
 * Decides whether the chunk headers and trailers of one request are within
 * their bounds. Does no I/O and reads no clock.
 */
class FramingGuard
{
public:
  /** @param aMaxElementBytes of one chunk header, and of all trailers */
  explicit FramingGuard(std::size_t aMaxElementBytes);

  /**
   * Returns true iff the framing so far is in proportion to the body.
   * @param aBytes parsed, framing included
   * @param aBodyBytes of these, bytes of the body
   */
  bool RecordParsed(std::size_t aBytes, std::size_t aBodyBytes);
  /** Returns true iff so many bytes of an incomplete element may be held. */
  bool MayHold(std::size_t aBytes) const { return aBytes <= mMaxElementBytes; }

private:
  std::size_t mMaxElementBytes;
  std::uint64_t mFramingBytes = 0;
  std::uint64_t mBodyBytes = 0;
};

} // namespace peridotspool::limits
