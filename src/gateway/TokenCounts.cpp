#include "peridotspool/gateway/TokenCounts.h"

#include "peridotspool/gateway/HeaderRules.h"

namespace peridotspool::gateway {

std::optional<TokenCounts>
ReadTokenCounts(std::string_view aText)
{
  const std::size_t comma = aText.find(',');
  if (comma == std::string_view::npos) {
    return std::nullopt;
  }
  const auto prompt = ReadNumber(aText.substr(0, comma));
  const auto answer = ReadNumber(aText.substr(comma + 1));
  if (!prompt || !answer) {
    return std::nullopt;
  }
  return TokenCounts{ .mPrompt = *prompt, .mAnswer = *answer };
}

} // namespace peridotspool::gateway
