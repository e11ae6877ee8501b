#pragma once

#include "peridotspool/base/Time.h"

#include <boost/describe/enum.hpp>
#include <optional>

namespace peridotspool::gateway {

struct SettingsConfirmationOptions
{
  /**
   * Settings that were confirmed longer ago may have been replaced by a change
   * that has to be in force. Zero: settings are never too old.
   */
  Duration mMaxAge{ 0 };
  /** Bounds how long one refusal may wait for a confirmation. */
  Duration mMaxWait = std::chrono::milliseconds(250);
};

/** What to do with a request that the settings in force don't allow. */
enum class RefusalVerdict
{
  kRefuse,
  /** Wait for a confirmation, or for newer settings. */
  kConfirm,
  /** Whether the newest settings allow the request is unknown. */
  kUnavailable,
};
BOOST_DESCRIBE_ENUM(RefusalVerdict, kRefuse, kConfirm, kUnavailable)

/**
 * When the settings in force were last known to be the newest, and whether a
 * request may be refused for good because of them.
 *
 * Has no side effects beyond its own state. Not thread-safe.
 */
class SettingsConfirmation
{
public:
  /** Treats settings as never too old. */
  SettingsConfirmation() = default;
  explicit SettingsConfirmation(SettingsConfirmationOptions aOptions);

  /**
   * Records that the settings in force were the newest at aAt, by the clock of
   * this process; empty if that is unknown.
   */
  void Record(std::optional<TimePoint> aAt);
  /** Returns the time since then; empty if they were never confirmed. */
  std::optional<Duration> Age(TimePoint aNow) const;
  bool IsFresh(TimePoint aNow) const;
  /** Judges a request that arrived at aArrivedAt and is to be refused. */
  RefusalVerdict Judge(TimePoint aArrivedAt, TimePoint aNow) const;
  /** Returns how long a request with the verdict kConfirm may still wait. */
  Duration RemainingWait(TimePoint aArrivedAt, TimePoint aNow) const;

private:
  SettingsConfirmationOptions mOptions;
  std::optional<TimePoint> mConfirmedAt;
};

} // namespace peridotspool::gateway
