#pragma once

#include "peridotspool/base/LastReason.h"

#include <map>
#include <optional>
#include <string>

namespace peridotspool::runtime {

/**
 * The key of a deployment that gives its processes none: peers then rely on
 * the network alone, and prove only that they speak the same protocol.
 */
inline constexpr const char* kNoPeerKey = "no key was given to us";

/** Returns a file's text, at most aMaxBytes, or empty with the reason. */
std::optional<std::string>
ReadSmallFile(const std::string& aPath,
              std::size_t aMaxBytes,
              LastReason& aReason);

/** Returns the shared key in a file: its first line, at least 16 letters. */
std::optional<std::string>
ReadPeerKey(const std::string& aPath, LastReason& aReason);

/**
 * Returns the names and key hashes of an operators file: one "name hash" a
 * line, '#' begins a comment. The name "upstream" is for upstreams.
 */
std::optional<std::map<std::string, std::string>>
ReadOperators(const std::string& aPath, LastReason& aReason);

} // namespace peridotspool::runtime
