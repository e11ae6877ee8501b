#include "peridotspool/streams/StreamOrigin.h"

#include "peridotspool/base/PartsHash.h"

#include <cstdio>

namespace peridotspool::streams {

namespace {

constexpr std::size_t kKeyDigits = 32;

} // namespace

StreamKey
StreamKeyOf(const CustomerName& aCustomer, std::string_view aRequestId)
{
  const PartsHash hash = HashParts({ aCustomer.Value(), aRequestId });
  return { .mHigh = hash.mHigh, .mLow = hash.mLow };
}

std::string
ToText(const StreamKey& aKey)
{
  char digits[kKeyDigits + 1];
  std::snprintf(digits,
                sizeof digits,
                "%016llx%016llx",
                static_cast<unsigned long long>(aKey.mHigh),
                static_cast<unsigned long long>(aKey.mLow));
  return digits;
}

} // namespace peridotspool::streams
