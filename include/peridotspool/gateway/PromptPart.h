#pragma once

#include <boost/describe/class.hpp>
#include <compare>
#include <cstdint>

namespace peridotspool::gateway {

/** A part of a prompt, together with all parts before it. */
struct PromptPart
{
  /** The same for prompts that share this part and all before it. */
  std::uint64_t mId = 0;
  /** Of this part alone. */
  std::uint32_t mTokens = 0;

  auto operator<=>(const PromptPart&) const = default;
};
BOOST_DESCRIBE_STRUCT(PromptPart, (), (mId, mTokens))

} // namespace peridotspool::gateway
