#include "peridotspool/base/PromptPartId.h"

#include <array>
#include <charconv>

namespace peridotspool {

std::string
ToText(PromptPartId aPart)
{
  constexpr int kHexadecimal = 16;
  std::array<char, 16> digits{};
  const auto end =
    std::to_chars(digits.begin(), digits.end(), aPart.Value(), kHexadecimal);
  return { digits.data(), end.ptr };
}

} // namespace peridotspool
