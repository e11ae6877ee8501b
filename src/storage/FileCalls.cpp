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

// EFBIG is what a limit on file sizes gives.
WriteOutcome
OutcomeOfFailedWrite()
{
  const bool full = errno == ENOSPC || errno == EDQUOT || errno == EFBIG;
  return full ? WriteOutcome::kNoSpace : WriteOutcome::kFailed;
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

WriteOutcome
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
      const WriteOutcome outcome = OutcomeOfFailedWrite();
      aReason.Set(CallFailure("write", aPath));
      return outcome;
    }
    aBytes.remove_prefix(static_cast<std::size_t>(put));
  }
  return WriteOutcome::kWritten;
}

bool
SyncFolder(const std::string& aPath,
           const SyncFunction& aSync,
           LastReason& aReason)
{
  const int descriptor =
    ::open(aPath.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  const bool synced =
    descriptor >= 0 && (aSync ? aSync(descriptor) : ::fsync(descriptor)) == 0;
  if (!synced) {
    aReason.Set(CallFailure("fsync", aPath));
  }
  if (descriptor >= 0) {
    ::close(descriptor);
  }
  return synced;
}

// The file gets its name only when it is whole and synced. Until then nothing
// has changed, whatever failed.
WriteOutcome
WriteAtomically(const std::string& aFolder,
                const std::string& aName,
                std::string_view aBytes,
                const SyncFunction& aSync,
                LastReason& aReason)
{
  constexpr mode_t kOwnerOnly = 0600;
  const std::string path = aFolder + "/" + aName;
  const std::string temporary = path + kUnfinishedSuffix;
  const int descriptor = ::open(
    temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, kOwnerOnly);
  if (descriptor < 0) {
    const WriteOutcome outcome = OutcomeOfFailedWrite();
    aReason.Set(CallFailure("open", temporary));
    return outcome;
  }
  WriteOutcome outcome = WriteWhole(descriptor, aBytes, temporary, aReason);
  if (outcome == WriteOutcome::kWritten &&
      (aSync ? aSync(descriptor) : ::fdatasync(descriptor)) != 0) {
    outcome = OutcomeOfFailedWrite();
    aReason.Set(CallFailure("fdatasync", temporary));
  }
  ::close(descriptor);
  if (outcome != WriteOutcome::kWritten) {
    ::unlink(temporary.c_str());
    return outcome;
  }
  if (std::rename(temporary.c_str(), path.c_str()) != 0) {
    aReason.Set(CallFailure("rename", path));
    return WriteOutcome::kFailed;
  }
  return SyncFolder(aFolder, aSync, aReason) ? WriteOutcome::kWritten
                                             : WriteOutcome::kFailed;
}

} // namespace peridotspool::storage
