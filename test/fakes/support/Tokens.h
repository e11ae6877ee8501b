#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace peridotspool::fakes {

/** FNV-1a with 64 bits; easy to compute again in a script. */
inline std::uint64_t
HashOf(std::string_view aText)
{
  std::uint64_t hash = 0xcbf29ce484222325U;
  for (const char character : aText) {
    hash ^= static_cast<unsigned char>(character);
    hash *= 0x100000001b3U;
  }
  return hash;
}

inline std::string
HexOf(std::uint64_t aNumber)
{
  static constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text(16, '0');
  for (std::size_t i = 0; i < 16; ++i) {
    text[15 - i] = kDigits[(aNumber >> (4 * i)) & 15];
  }
  return text;
}

/**
 * Token number aIndex of the answer to a prompt: the same on every engine, so
 * that a test can check an answer byte for byte whoever made its parts.
 */
inline std::string
TokenText(std::string_view aPrompt, std::uint64_t aIndex)
{
  static constexpr std::array<std::string_view, 8> kWords = {
    "feeder", "reel", "slot", "nozzle", "board", "check", "swap", "line"
  };
  const std::uint64_t hash =
    HashOf(std::to_string(aIndex) + ":" + HexOf(HashOf(aPrompt)));
  return std::string(kWords[hash % kWords.size()]) + "-" +
         std::to_string((hash >> 8) % 10000) + " ";
}

/** The first aCount tokens of the answer to a prompt. */
inline std::string
AnswerText(std::string_view aPrompt, std::uint64_t aCount)
{
  std::string text;
  for (std::uint64_t i = 0; i < aCount; ++i) {
    text += TokenText(aPrompt, i);
  }
  return text;
}

} // namespace peridotspool::fakes
