#include "storage/FileCalls.h"

#include <array>
#include <cerrno>
#include <cstdio>
#include <fcntl.h>
#include <system_error>
#include <unistd.h>

namespace peridotspool::storage {

std::string
CallFailure(const char* aCall, const std::string& aPath)
{
  const std::error_code error(errno, std::generic_category());
  return aPath + ": " + aCall + ": " + error.message();
}

std::optional<std::string>
ReadWhole(int aDescriptor, const std::string& aPath, LastReason& aReason)
{
  std::string bytes;
  std::array<char, 65536> buffer{};
  while (true) {
    const ssize_t got = ::read(aDescriptor, buffer.data(), buffer.size());
    if (got < 0 && errno == EINTR) {
      continue;
    }
    if (got < 0) {
      aReason.Set(CallFailure("read", aPath));
      return std::nullopt;
    }
    if (got == 0) {
      return bytes;
    }
    bytes.append(buffer.data(), static_cast<std::size_t>(got));
  }
}

bool
WriteWhole(int aDescriptor,
           std::string_view aBytes,
           const std::string& aPath,
           LastReason& aReason)
{
  while (!aBytes.empty()) {
    const ssize_t put = ::write(aDescriptor, aBytes.data(), aBytes.size());
    if (put < 0 && errno == EINTR) {
      continue;
    }
    if (put < 0) {
      aReason.Set(CallFailure("write", aPath));
      return false;
    }
    aBytes.remove_prefix(static_cast<std::size_t>(put));
  }
  return true;
}

bool
SyncFolder(const std::string& aPath, LastReason& aReason)
{
  const int descriptor =
    ::open(aPath.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  const bool synced = descriptor >= 0 && ::fsync(descriptor) == 0;
  if (!synced) {
    aReason.Set(CallFailure("fsync", aPath));
  }
  if (descriptor >= 0) {
    ::close(descriptor);
  }
  return synced;
}

bool
WriteAtomically(const std::string& aFolder,
                const std::string& aName,
                std::string_view aBytes,
                LastReason& aReason)
{
  constexpr mode_t kOwnerOnly = 0600;
  const std::string path = aFolder + "/" + aName;
  const std::string temporary = path + ".new";
  const int descriptor = ::open(
    temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, kOwnerOnly);
  if (descriptor < 0) {
    aReason.Set(CallFailure("open", temporary));
    return false;
  }
  bool good = WriteWhole(descriptor, aBytes, temporary, aReason);
  if (good && ::fdatasync(descriptor) != 0) {
    aReason.Set(CallFailure("fdatasync", temporary));
    good = false;
  }
  ::close(descriptor);
  if (good && std::rename(temporary.c_str(), path.c_str()) != 0) {
    aReason.Set(CallFailure("rename", path));
    good = false;
  }
  return good && SyncFolder(aFolder, aReason);
}

} // namespace peridotspool::storage
