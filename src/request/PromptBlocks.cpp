#include "request/PromptBlocks.h"

#include <boost/json/parse.hpp>

namespace peridotspool::request {

namespace {

constexpr std::size_t kBlockBytes = 64;
/** Longer prefixes hardly improve the choice between engines. */
constexpr std::size_t kMaxBlocks = 64;
constexpr std::uint64_t kFnvBasis = 0xCBF29CE484222325ULL;
constexpr std::uint64_t kFnvPrime = 0x100000001B3ULL;

} // namespace

std::vector<std::uint64_t>
PromptBlocks(const std::string& aBody)
{
  std::vector<std::uint64_t> blocks;
  boost::json::error_code error;
  const auto body = boost::json::parse(aBody, error);
  const auto* fields = error ? nullptr : body.if_object();
  const auto* prompt =
    fields == nullptr ? nullptr : fields->if_contains("prompt");
  if (prompt == nullptr || !prompt->is_string()) {
    return blocks;
  }
  const auto& text = prompt->get_string();
  std::uint64_t hash = kFnvBasis;
  for (std::size_t place = 0; place < text.size(); ++place) {
    hash = (hash ^ static_cast<unsigned char>(text[place])) * kFnvPrime;
    const bool blockEnds = (place + 1) % kBlockBytes == 0;
    if (blockEnds) {
      blocks.push_back(hash);
    }
    if (blocks.size() == kMaxBlocks) {
      break;
    }
  }
  return blocks;
}

} // namespace peridotspool::request
