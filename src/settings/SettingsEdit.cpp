#include "peridotspool/settings/SettingsEdit.h"

#include "peridotspool/settings/SettingsDiff.h"
#include "settings/Schema.h"
#include "settings/SourceNode.h"

#include <algorithm>

namespace peridotspool::settings {

namespace {

constexpr const char* kEditName = "(edit)";

std::vector<std::string>
SplitDots(std::string_view aPath)
{
  std::vector<std::string> parts;
  std::size_t start = 0;
  while (start <= aPath.size()) {
    const std::size_t dot = std::min(aPath.find('.', start), aPath.size());
    parts.emplace_back(aPath.substr(start, dot - start));
    start = dot + 1;
  }
  return parts;
}

std::size_t
OffsetOf(const std::string& aText, const SourcePlace& aPlace)
{
  std::size_t offset = 0;
  for (std::size_t line = 1; line < aPlace.mLine; ++line) {
    offset = aText.find('\n', offset) + 1;
  }
  return offset + aPlace.mColumn - 1;
}

/** Returns where a one-line value ends, or empty if it spans lines. */
std::optional<std::size_t>
EndOfValue(const std::string& aText,
           std::size_t aStart,
           const SourceNode& aNode)
{
  const std::size_t lineEnd = std::min(aText.find('\n', aStart), aText.size());
  std::size_t end = std::string::npos;
  if (aNode.mKind == SourceNode::Kind::kList) {
    end = aNode.mFlow ? aText.find(']', aStart) : std::string::npos;
  } else if (aNode.mQuoted) {
    end = aText.find(aText[aStart], aStart + 1);
  } else {
    end = aStart + aNode.mText.size() - 1;
  }
  return end < lineEnd ? std::optional(end + 1) : std::nullopt;
}

/** Where a path leads in a text: as far as its branches are written. */
struct Reached
{
  const SourceNode* mNode;
  /** How many parts of the path were followed. */
  std::size_t mParts = 0;
};

Reached
Follow(const SourceNode& aRoot, const std::vector<std::string>& aParts)
{
  Reached reached{ .mNode = &aRoot };
  while (reached.mParts < aParts.size()) {
    const SourceNode* next = nullptr;
    for (const SourceEntry& entry : reached.mNode->mEntries) {
      if (entry.mKey == aParts[reached.mParts]) {
        next = &entry.mValue;
      }
    }
    // An empty branch ("limits:") has no place of its own to write into, so
    // the value goes beside it and the check afterwards refuses the doubled
    // key; the operator then fills the branch by hand.
    if (next == nullptr) {
      break;
    }
    reached.mNode = next;
    ++reached.mParts;
  }
  return reached;
}

/** Returns the missing branches and the value in block form. */
std::string
BlockLines(const std::vector<std::string>& aParts,
           std::size_t aFrom,
           std::size_t aIndent,
           const std::string& aValue)
{
  std::string lines;
  for (std::size_t at = aFrom; at < aParts.size(); ++at) {
    const bool last = at + 1 == aParts.size();
    lines += std::string(aIndent + 2 * (at - aFrom), ' ') + aParts[at] + ":" +
             (last ? " " + aValue : "") + "\n";
  }
  return lines;
}

/** Returns the missing branches and the value in braces. */
std::string
FlowText(const std::vector<std::string>& aParts,
         std::size_t aFrom,
         const std::string& aValue)
{
  std::string text;
  std::string closing;
  for (std::size_t at = aFrom; at < aParts.size(); ++at) {
    const bool last = at + 1 == aParts.size();
    text += aParts[at] + ": " + (last ? aValue : "{ ");
    closing += last ? "" : " }";
  }
  return text + closing;
}

/** Writes a value that is not written yet as the first of its branch. */
std::optional<std::string>
Insert(const std::string& aText,
       const std::vector<std::string>& aParts,
       const Reached& aReached,
       const std::string& aValue)
{
  const SourceNode& branch = *aReached.mNode;
  if (branch.mKind != SourceNode::Kind::kMap || branch.mEntries.empty()) {
    return std::nullopt;
  }
  std::string text = aText;
  if (branch.mFlow) {
    const std::size_t brace = OffsetOf(aText, branch.mPlace);
    return text.insert(brace + 1,
                       " " + FlowText(aParts, aReached.mParts, aValue) + ",");
  }
  const SourcePlace first = branch.mEntries.front().mPlace;
  const std::size_t indent = first.mColumn - 1;
  return text.insert(OffsetOf(aText, { first.mLine, 1 }),
                     BlockLines(aParts, aReached.mParts, indent, aValue));
}

std::optional<std::string>
WriteValue(const std::string& aText,
           const std::vector<std::string>& aParts,
           const std::string& aValue,
           SettingsErrors& aErrors)
{
  const auto root = ReadSource(aText, kEditName, aErrors);
  if (!root) {
    return std::nullopt;
  }
  const Reached reached = Follow(*root, aParts);
  if (reached.mParts < aParts.size()) {
    return Insert(aText, aParts, reached, aValue);
  }
  const std::size_t start = OffsetOf(aText, reached.mNode->mPlace);
  const auto end = EndOfValue(aText, start, *reached.mNode);
  if (!end) {
    return std::nullopt;
  }
  return aText.substr(0, start) + aValue + aText.substr(*end);
}

} // namespace

std::optional<std::string>
SetValue(const std::string& aText,
         std::string_view aPath,
         const std::string& aValue,
         SettingsErrors& aErrors)
{
  const auto before = SettingsTree::Parse(aText, kEditName, aErrors);
  if (!before) {
    return std::nullopt;
  }
  const std::string path(aPath);
  if (FindRule(TreeSchema(), aPath) == nullptr) {
    AddError(aErrors, kEditName, {}, "no setting has the path '" + path + "'");
    return std::nullopt;
  }
  auto text = WriteValue(aText, SplitDots(aPath), aValue, aErrors);
  if (!text) {
    AddError(aErrors,
             kEditName,
             {},
             path + ": can't be set here; edit the text itself");
    return std::nullopt;
  }
  const auto after = SettingsTree::Parse(*text, kEditName, aErrors);
  if (!after) {
    return std::nullopt;
  }
  // A value such as "5 }" or one with a line break could change more than its
  // own place; comparing the two trees shows it, whatever the YAML was.
  const auto changes = Diff(*before, *after);
  const bool onlyThis =
    changes.empty() || (changes.size() == 1 && changes.front().mPath == path);
  if (!onlyThis || !after->Written().contains(path)) {
    AddError(aErrors, kEditName, {}, path + ": expected one value on one line");
    return std::nullopt;
  }
  return text;
}

} // namespace peridotspool::settings
