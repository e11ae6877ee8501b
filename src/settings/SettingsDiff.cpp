#include "peridotspool/settings/SettingsDiff.h"

namespace peridotspool::settings {

std::vector<SettingsChange>
Diff(const SettingsTree& aBefore, const SettingsTree& aAfter)
{
  std::vector<SettingsChange> changes;
  auto before = aBefore.Written().begin();
  auto after = aAfter.Written().begin();
  const auto beforeEnd = aBefore.Written().end();
  const auto afterEnd = aAfter.Written().end();
  while (before != beforeEnd || after != afterEnd) {
    if (after == afterEnd ||
        (before != beforeEnd && before->first < after->first)) {
      changes.push_back({ before->first, before->second, std::nullopt });
      ++before;
    } else if (before == beforeEnd || after->first < before->first) {
      changes.push_back({ after->first, std::nullopt, after->second });
      ++after;
    } else {
      if (before->second != after->second) {
        changes.push_back({ before->first, before->second, after->second });
      }
      ++before;
      ++after;
    }
  }
  return changes;
}

} // namespace peridotspool::settings
