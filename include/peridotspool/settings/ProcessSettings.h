#pragma once

#include "peridotspool/base/Address.h"
#include "peridotspool/base/Ids.h"
#include "peridotspool/settings/LogSettings.h"
#include "peridotspool/settings/ProcessBounds.h"
#include "peridotspool/settings/SettingsError.h"

#include <compare>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peridotspool::settings {

enum class ProcessRole
{
  kEntry,
  kControl,
};

/** Where one control replica is reached. */
struct ControlReplica
{
  ReplicaId mId;
  Address mPeerAddress;
  Address mHttpAddress;

  auto operator<=>(const ControlReplica&) const = default;
};

/** What one process of ours reads from its own file when it starts. */
struct ProcessSettings
{
  EntryName mName;
  Region mRegion;
  FailureDomain mDomain;
  /** For our own processes. */
  Address mPeerListen;
  /** For callers and upstreams (entryd) or for operators (controld). */
  Address mHttpListen;
  /** What others are told to connect to; the listen address by default. */
  Address mPeerAdvertise;
  Address mHttpAdvertise;
  /** Ordered by id. */
  std::vector<ControlReplica> mControlReplicas;
  /** A file with the key that our processes share. */
  std::string mPeerKeyFile;
  /** A file with one operator a line: name, space, hash of its key. */
  std::string mOperatorsFile;
  /** Set only for ProcessRole::kControl. */
  ReplicaId mReplica;
  std::string mDataFolder;
  LogSettings mLog;
  ProcessBounds mBounds;

  auto operator<=>(const ProcessSettings&) const = default;
};

/**
 * Reads the text of a process's settings file. Returns empty and fills aErrors
 * iff the text has a fault; aFile is only named in the errors. Never throws.
 */
std::optional<ProcessSettings>
ParseProcessSettings(std::string_view aText,
                     const std::string& aFile,
                     ProcessRole aRole,
                     SettingsErrors& aErrors);

} // namespace peridotspool::settings
