#pragma once

#include <boost/describe/class.hpp>
#include <compare>
#include <cstdint>

namespace peridotspool::gateway {

/** One part of a prompt, identified together with all parts before it. */
struct PromptPart
{
  /** Equal for prompts that share this part and all parts before it. */
  std::uint64_t mId = 0;
  /** Tokens of this part alone. */
  std::uint32_t mTokens = 0;

  auto operator<=>(const PromptPart&) const = default;
};
BOOST_DESCRIBE_STRUCT(PromptPart, (), (mId, mTokens))

} // namespace peridotspool::gateway
