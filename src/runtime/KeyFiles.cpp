#include "peridotspool/runtime/KeyFiles.h"

#include <fstream>
#include <sstream>

namespace peridotspool::runtime {

namespace {

constexpr std::size_t kMaxKeyFileBytes = 64 << 10;
constexpr std::size_t kMinKeyBytes = 16;
constexpr std::size_t kHashLetters = 64;

} // namespace

std::optional<std::string>
ReadSmallFile(const std::string& aPath,
              std::size_t aMaxBytes,
              LastReason& aReason)
{
  std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    aReason.Set("cannot read " + aPath);
    return std::nullopt;
  }
  std::string text(aMaxBytes + 1, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  text.resize(static_cast<std::size_t>(file.gcount()));
  if (text.size() > aMaxBytes) {
    aReason.Set(aPath + " is longer than " + std::to_string(aMaxBytes) +
                " bytes");
    return std::nullopt;
  }
  return text;
}

std::optional<std::string>
ReadPeerKey(const std::string& aPath, LastReason& aReason)
{
  const auto text = ReadSmallFile(aPath, kMaxKeyFileBytes, aReason);
  if (!text) {
    return std::nullopt;
  }
  std::string key = text->substr(0, text->find_first_of("\r\n"));
  if (key.size() < kMinKeyBytes) {
    aReason.Set(aPath + ": the key must have at least " +
                std::to_string(kMinKeyBytes) + " letters");
    return std::nullopt;
  }
  return key;
}

std::optional<std::map<std::string, std::string>>
ReadOperators(const std::string& aPath, LastReason& aReason)
{
  const auto text = ReadSmallFile(aPath, kMaxKeyFileBytes, aReason);
  if (!text) {
    return std::nullopt;
  }
  std::map<std::string, std::string> operators;
  std::istringstream lines(*text);
  std::string line;
  for (int number = 1; std::getline(lines, line); ++number) {
    std::istringstream words(line.substr(0, line.find('#')));
    std::string name;
    std::string hash;
    if (!(words >> name)) {
      continue;
    }
    if (!(words >> hash) || hash.size() != kHashLetters) {
      aReason.Set(aPath + ":" + std::to_string(number) +
                  ": expected a name and the SHA-256 of its key");
      return std::nullopt;
    }
    operators[name] = hash;
  }
  return operators;
}

} // namespace peridotspool::runtime
