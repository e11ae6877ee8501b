#pragma once

#include "peridotspool/base/LastReason.h"
#include "peridotspool/storage/RecordFile.h"

#include <optional>
#include <string>
#include <string_view>

namespace peridotspool::storage {

/** Ends the name of a file that is still being written. */
inline constexpr const char* kUnfinishedSuffix = ".new";

/** How a write ended that leaves nothing behind where it fails for space. */
enum class WriteOutcome
{
  kWritten,
  /** There is no room; all is as it was, and it may be tried again. */
  kNoSpace,
  kFailed,
};

/** Says what errno means for a write that has just failed. */
WriteOutcome
OutcomeOfFailedWrite();

/** Returns a sentence on a system call that has just failed (errno). */
std::string
CallFailure(const char* aCall, const std::string& aPath);

std::optional<std::string>
ReadWhole(int aDescriptor, const std::string& aPath, LastReason& aReason);

WriteOutcome
WriteWhole(int aDescriptor,
           std::string_view aBytes,
           const std::string& aPath,
           LastReason& aReason);

/** Makes names in a folder (new, renamed, removed files) survive a crash. */
bool
SyncFolder(const std::string& aPath,
           const SyncFunction& aSync,
           LastReason& aReason);

/** Writes a file so that after a crash it is whole or absent. */
WriteOutcome
WriteAtomically(const std::string& aFolder,
                const std::string& aName,
                std::string_view aBytes,
                const SyncFunction& aSync,
                LastReason& aReason);

} // namespace peridotspool::storage
