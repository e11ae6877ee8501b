#include "peridotspool/base/PackedText.h"

#include "peridotspool/base/Invariant.h"

#include <zlib.h>

#include <cstdint>

namespace peridotspool {

namespace {

/** No settings text begins with a control character. */
constexpr std::string_view kMark = "\x01pk1";
constexpr std::size_t kSizeBytes = 4;
constexpr std::uint32_t kMostBytes = 64U << 20;

} // namespace

std::string
PackText(std::string_view aText)
{
  uLongf size = compressBound(aText.size());
  std::string packed(kMark);
  for (std::size_t i = 0; i < kSizeBytes; ++i) {
    packed += static_cast<char>((aText.size() >> (8 * i)) & 0xffU);
  }
  const std::size_t head = packed.size();
  packed.resize(head + size);
  const int result = compress2(reinterpret_cast<Bytef*>(packed.data() + head),
                               &size,
                               reinterpret_cast<const Bytef*>(aText.data()),
                               aText.size(),
                               Z_BEST_SPEED);
  PERIDOTSPOOL_INVARIANT(result == Z_OK);
  packed.resize(head + size);
  return packed;
}

std::optional<std::string>
UnpackText(std::string_view aPacked)
{
  if (!aPacked.starts_with(kMark)) {
    return std::string(aPacked);
  }
  aPacked.remove_prefix(kMark.size());
  if (aPacked.size() < kSizeBytes) {
    return std::nullopt;
  }
  std::uint32_t length = 0;
  for (std::size_t i = 0; i < kSizeBytes; ++i) {
    length |= static_cast<std::uint32_t>(static_cast<unsigned char>(aPacked[i]))
              << (8 * i);
  }
  if (length > kMostBytes) {
    return std::nullopt;
  }
  aPacked.remove_prefix(kSizeBytes);
  std::string text(length, '\0');
  uLongf size = length;
  const int result = uncompress(reinterpret_cast<Bytef*>(text.data()),
                                &size,
                                reinterpret_cast<const Bytef*>(aPacked.data()),
                                aPacked.size());
  return result == Z_OK && size == length ? std::optional(std::move(text))
                                          : std::nullopt;
}

} // namespace peridotspool
