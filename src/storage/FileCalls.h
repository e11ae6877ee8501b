#pragma once

#include "peridotspool/base/LastReason.h"

#include <optional>
#include <string>
#include <string_view>

namespace peridotspool::storage {

/** Returns a sentence on a system call that has just failed (errno). */
std::string
CallFailure(const char* aCall, const std::string& aPath);

std::optional<std::string>
ReadWhole(int aDescriptor, const std::string& aPath, LastReason& aReason);

bool
WriteWhole(int aDescriptor,
           std::string_view aBytes,
           const std::string& aPath,
           LastReason& aReason);

/** Makes names in a folder (new, renamed, removed files) survive a crash. */
bool
SyncFolder(const std::string& aPath, LastReason& aReason);

/** Writes a file so that after a crash it is whole or absent. */
bool
WriteAtomically(const std::string& aFolder,
                const std::string& aName,
                std::string_view aBytes,
                LastReason& aReason);

} // namespace peridotspool::storage
