#include "peridotspool/runtime/ProcessFiles.h"

#include "peridotspool/runtime/KeyFiles.h"

#include <filesystem>
#include <iostream>

namespace peridotspool::runtime {

namespace {

constexpr std::size_t kMaxSettingsBytes = 1 << 20;

void
TakeBeside(const std::filesystem::path& aFolder, std::string& aFile)
{
  if (!aFile.empty()) {
    aFile = (aFolder / aFile).string();
  }
}

} // namespace

std::optional<settings::ProcessSettings>
LoadProcessSettings(const std::string& aPath, settings::ProcessRole aRole)
{
  LastReason reason;
  const auto text = ReadSmallFile(aPath, kMaxSettingsBytes, reason);
  if (!text) {
    std::cerr << reason.Text() << "\n";
    return std::nullopt;
  }
  settings::SettingsErrors errors;
  auto parsed = settings::ParseProcessSettings(*text, aPath, aRole, errors);
  if (!parsed) {
    std::cerr << settings::ToText(errors) << "\n";
    return std::nullopt;
  }
  const std::filesystem::path folder =
    std::filesystem::path(aPath).parent_path();
  TakeBeside(folder, parsed->mPeerKeyFile);
  TakeBeside(folder, parsed->mOperatorsFile);
  TakeBeside(folder, parsed->mDataFolder);
  TakeBeside(folder, parsed->mLog.mFile);
  return parsed;
}

} // namespace peridotspool::runtime
