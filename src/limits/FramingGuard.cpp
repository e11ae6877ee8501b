#include "peridotspool/limits/FramingGuard.h"

namespace peridotspool::limits {

namespace {

/** The header of a chunk of one byte has at most 16 digits and two line ends,
 * so chunks without extensions stay below this, however small they are. */
constexpr std::uint64_t kFramingForEachByte = 32;
constexpr std::uint64_t kFreeFramingBytes = 64U << 10;

} // namespace

FramingGuard::FramingGuard(std::size_t aMaxElementBytes)
  : mMaxElementBytes(aMaxElementBytes)
{
}

bool
FramingGuard::RecordParsed(std::size_t aBytes, std::size_t aBodyBytes)
{
  mFramingBytes += aBytes - aBodyBytes;
  mBodyBytes += aBodyBytes;
  // The head and the trailers may be as large as one element each.
  return mFramingBytes <= kFreeFramingBytes + 2 * mMaxElementBytes +
                            kFramingForEachByte * mBodyBytes;
}

} // namespace peridotspool::limits
