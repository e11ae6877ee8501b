#pragma once

#include "peridotspool/base/Address.h"
#include "peridotspool/base/Ids.h"
#include "peridotspool/base/Time.h"
#include "peridotspool/settings/LogSettings.h"
#include "peridotspool/settings/ProcessBounds.h"
#include "peridotspool/settings/SchedulingSettings.h"
#include "peridotspool/settings/SettingsError.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peridotspool::settings {

/** Where one process of a seeded deployment listens; what it lacks is unset. */
struct NodeListen
{
  /** Where our own processes reach this one; it names the process to them. */
  Address mPeer;
  /**
   * Where it listens for them if that differs, because something forwards to
   * it; connections to other processes start from this host then.
   */
  std::optional<Address> mPeerBind;
  std::optional<Address> mCallers;
  std::optional<Address> mReady;
  std::optional<Address> mOperators;
  std::optional<Address> mDirectory;
  std::optional<Address> mMetrics;

  auto operator<=>(const NodeListen&) const = default;
};

/** Limits that all entries keep together. */
struct SharedBounds
{
  /** Repeats that a service may get, as a part of its requests. */
  double mRetryRatio = 0.2;
  /** Repeats that a service may get besides, in a window. */
  double mRetryExtra = 10.0;
  Duration mRetryWindow = std::chrono::seconds(10);
  /** The window over which a customer's limit is held. */
  Duration mQuotaWindow = std::chrono::seconds(8);
  /** How far over its limit a customer may come, as a part and in units. */
  double mQuotaOvershoot = 0.1;
  double mQuotaSlack = 0.0;
  /** What a new version that is found bad may have got of its service's
   * requests, as a part and in requests. */
  double mRolloutShare = 0.1;
  double mRolloutSlack = 50.0;

  auto operator<=>(const SharedBounds&) const = default;
};

/** The duties that one control replica at a time carries out. */
struct DutySettings
{
  /** Where the cloud takes orders and usage; unset: there are no duties. */
  std::optional<Address> mCloud;
  Duration mUsageWindow = std::chrono::seconds(5);
  /** How long after a window's end its usage is due. */
  Duration mUsageLate = std::chrono::seconds(10);
  /** Two holders are never in charge within this time of each other. */
  Duration mLease = std::chrono::seconds(3);
  /** Upstreams of a service that scales, kept even without load. */
  std::uint64_t mPoolLeast = 8;
  /** Requests that run at one upstream when its pool is large enough. */
  double mPoolRunningEach = 3.5;
  /** With fewer reclaimable upstreams than this part, lasting ones are taken.
   */
  double mPoolLastingPart = 0.5;

  auto operator<=>(const DutySettings&) const = default;
};

/**
 * What a process of a seeded deployment reads when it starts: it is told a few
 * addresses to begin with, and finds the other processes by them.
 */
struct NodeSettings
{
  EntryName mName;
  Region mRegion;
  FailureDomain mDomain;
  NodeListen mListen;
  /** Some control replicas, where they listen for our own processes. */
  std::vector<Address> mSeeds;
  /** The whole system starts for the first time, and its seeds found it. */
  bool mFounding = false;
  /** Control replicas that may be lost at once. */
  std::uint64_t mToleratedLosses = 1;
  /** Only a control replica has one. */
  std::string mDataFolder;
  /** From the order to stop to the end. */
  Duration mStopGrace = std::chrono::seconds(8);
  /** An acknowledged change of the settings is in force everywhere after this
   * time; older settings refuse no request for good. */
  Duration mSettingsDelay = std::chrono::seconds(2);
  SharedBounds mShared;
  SchedulingSettings mScheduling;
  DutySettings mDuties;
  LogSettings mLog;
  ProcessBounds mBounds;

  auto operator<=>(const NodeSettings&) const = default;
};

/**
 * Reads the text of a node's settings file. Returns empty and fills aErrors iff
 * the text has a fault; aFile is only named in the errors. Never throws.
 */
std::optional<NodeSettings>
ParseNodeSettings(std::string_view aText,
                  const std::string& aFile,
                  SettingsErrors& aErrors);

} // namespace peridotspool::settings
