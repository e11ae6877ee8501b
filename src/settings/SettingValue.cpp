#include "settings/SettingValue.h"

#include "peridotspool/base/Invariant.h"
#include "settings/NearestName.h"
#include "settings/Quantity.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <charconv>
#include <cmath>

namespace peridotspool::settings {

namespace {

constexpr std::size_t kMaxNameLength = 63;
constexpr std::size_t kMaxTextLength = 4096;
constexpr std::size_t kMaxListItems = 64;
constexpr std::size_t kKeyHashLength = 64;
/** The whole numbers that a double holds exactly. */
constexpr double kMaxWhole = 9007199254740992.0;

std::string
Shown(const SourceNode& aNode)
{
  switch (aNode.mKind) {
    case SourceNode::Kind::kNull:
      return "nothing";
    case SourceNode::Kind::kList:
      return "a list";
    case SourceNode::Kind::kMap:
      return "a branch";
    case SourceNode::Kind::kScalar:
      break;
  }
  return "'" + aNode.mText.substr(0, 40) + "'";
}

std::nullopt_t
Expected(LastReason& aReason, const std::string& aWhat, const SourceNode& aNode)
{
  aReason.Set("expected " + aWhat + ", found " + Shown(aNode));
  return std::nullopt;
}

/** Returns true iff the quantity is within the rule's range. */
bool
InRange(const ValueRule& aRule, double aQuantity)
{
  LastReason unused;
  const auto low = ReadQuantity(aRule.mKind, aRule.mMin, unused);
  const auto high = ReadQuantity(aRule.mKind, aRule.mMax, unused);
  PERIDOTSPOOL_INVARIANT(low && high);
  return *low <= aQuantity && aQuantity <= *high;
}

std::optional<SettingValue>
ReadQuantityValue(const ValueRule& aRule,
                  const SourceNode& aNode,
                  LastReason& aReason)
{
  const auto quantity = ReadQuantity(aRule.mKind, aNode.mText, aReason);
  if (!quantity) {
    return std::nullopt;
  }
  if (!InRange(aRule, *quantity)) {
    return Expected(
      aReason, aRule.mMin + " to " + aRule.mMax + " (out of range)", aNode);
  }
  if (aRule.mKind == ValueKind::kDuration) {
    return Duration(std::llround(*quantity));
  }
  if (aRule.mKind == ValueKind::kInteger || aRule.mKind == ValueKind::kBytes) {
    if (*quantity != std::floor(*quantity) || std::abs(*quantity) > kMaxWhole) {
      return Expected(aReason, "a whole number", aNode);
    }
    return static_cast<std::int64_t>(*quantity);
  }
  return *quantity;
}

std::optional<SettingValue>
ReadBoolean(const SourceNode& aNode, LastReason& aReason)
{
  if (!aNode.mQuoted && aNode.mText == "true") {
    return true;
  }
  if (!aNode.mQuoted && aNode.mText == "false") {
    return false;
  }
  return Expected(aReason, "true or false", aNode);
}

std::optional<SettingValue>
ReadAddress(const SourceNode& aNode, LastReason& aReason)
{
  const std::string what = "an IP number and port, such as 10.0.0.7:7001 or "
                           "[2001:db8::7]:7001 (names are not resolved)";
  const std::size_t colon = aNode.mText.rfind(':');
  if (colon == std::string::npos) {
    return Expected(aReason, what, aNode);
  }
  std::string host = aNode.mText.substr(0, colon);
  const bool bracketed =
    host.size() > 2 && host.front() == '[' && host.back() == ']';
  std::array<unsigned char, sizeof(in6_addr)> binary{};
  const std::string bare = bracketed ? host.substr(1, host.size() - 2) : host;
  if (inet_pton(bracketed ? AF_INET6 : AF_INET, bare.c_str(), binary.data()) !=
      1) {
    return Expected(aReason, what, aNode);
  }
  std::uint16_t port = 0;
  const char* const end = aNode.mText.data() + aNode.mText.size();
  const auto [rest, fault] =
    std::from_chars(aNode.mText.data() + colon + 1, end, port);
  if (fault != std::errc{} || rest != end) {
    return Expected(aReason, what, aNode);
  }
  return Address{ .mHost = bare, .mPort = port };
}

std::optional<SettingValue>
ReadChoice(const ValueRule& aRule, const SourceNode& aNode, LastReason& aReason)
{
  const auto& choices = aRule.mChoices;
  if (std::find(choices.begin(), choices.end(), aNode.mText) != choices.end()) {
    return aNode.mText;
  }
  std::string all;
  for (const std::string& choice : choices) {
    all += (all.empty() ? "" : " or ") + choice;
  }
  aReason.Set("expected " + all + ", found " + Shown(aNode) +
              NearestNameHint(aNode.mText, choices));
  return std::nullopt;
}

bool
IsKeyHash(const std::string& aText)
{
  return aText.size() == kKeyHashLength &&
         aText.find_first_not_of("0123456789abcdef") == std::string::npos;
}

std::optional<SettingValue>
ReadList(const ValueRule& aRule, const SourceNode& aNode, LastReason& aReason)
{
  const bool hashes = aRule.mKind == ValueKind::kHashList;
  const std::string item =
    hashes ? "SHA-256 of a key (64 of 0-9 a-f)" : "name (a-z 0-9 - _)";
  if (aNode.mKind != SourceNode::Kind::kList) {
    return Expected(aReason, "a list [...], each a " + item, aNode);
  }
  if (aNode.mItems.size() > kMaxListItems) {
    return Expected(
      aReason, "at most " + std::to_string(kMaxListItems) + " items", aNode);
  }
  std::vector<std::string> items;
  for (const SourceNode& node : aNode.mItems) {
    const bool good = node.mKind == SourceNode::Kind::kScalar &&
                      (hashes ? IsKeyHash(node.mText) : IsName(node.mText));
    if (!good) {
      return Expected(aReason, "a " + item, node);
    }
    items.push_back(node.mText);
  }
  return items;
}

std::optional<SettingValue>
ReadText(const ValueRule& aRule, const SourceNode& aNode, LastReason& aReason)
{
  if (aRule.mKind == ValueKind::kName && !IsName(aNode.mText)) {
    return Expected(aReason, "a name (a-z 0-9 - _)", aNode);
  }
  if (aNode.mText.empty() || aNode.mText.size() > kMaxTextLength) {
    return Expected(
      aReason, "1 to " + std::to_string(kMaxTextLength) + " characters", aNode);
  }
  return aNode.mText;
}

} // namespace

bool
IsName(std::string_view aText)
{
  return !aText.empty() && aText.size() <= kMaxNameLength &&
         aText.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-_") ==
           std::string_view::npos;
}

std::optional<SettingValue>
ReadValue(const ValueRule& aRule, const SourceNode& aNode, LastReason& aReason)
{
  if (aRule.mKind == ValueKind::kNameList ||
      aRule.mKind == ValueKind::kHashList) {
    return ReadList(aRule, aNode, aReason);
  }
  if (aNode.mKind != SourceNode::Kind::kScalar) {
    return Expected(aReason, "one value", aNode);
  }
  switch (aRule.mKind) {
    case ValueKind::kBoolean:
      return ReadBoolean(aNode, aReason);
    case ValueKind::kAddress:
      return ReadAddress(aNode, aReason);
    case ValueKind::kChoice:
      return ReadChoice(aRule, aNode, aReason);
    case ValueKind::kName:
    case ValueKind::kText:
      return ReadText(aRule, aNode, aReason);
    default:
      return ReadQuantityValue(aRule, aNode, aReason);
  }
}

SettingValue
ReadSchemaValue(const ValueRule& aRule, const std::string& aText)
{
  SourceNode node;
  node.mKind = SourceNode::Kind::kScalar;
  node.mText = aText;
  if (aRule.mKind == ValueKind::kNameList) {
    node.mKind = SourceNode::Kind::kList;
  }
  if (aRule.mKind == ValueKind::kText && aText.empty()) {
    return std::string();
  }
  LastReason reason;
  const auto value = ReadValue(aRule, node, reason);
  PERIDOTSPOOL_INVARIANT(value.has_value());
  return *value;
}

std::string
WrittenForm(const SourceNode& aNode)
{
  if (aNode.mKind != SourceNode::Kind::kList) {
    return aNode.mText;
  }
  std::string text = "[";
  for (const SourceNode& item : aNode.mItems) {
    text += (text.size() == 1 ? "" : ", ") + item.mText;
  }
  return text + "]";
}

} // namespace peridotspool::settings
