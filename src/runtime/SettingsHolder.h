#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/settings/SettingsTree.h"

#include <memory>
#include <mutex>
#include <optional>
#include <utility>

namespace peridotspool::runtime {

/** The settings in force, written by one thread and read by others. */
class SettingsHolder
{
public:
  using Pointer = std::shared_ptr<const settings::SettingsTree>;

  Pointer Load() const
  {
    const std::lock_guard lock(mMutex);
    return mTree;
  }

  void Store(Pointer aTree)
  {
    const std::lock_guard lock(mMutex);
    mTree = std::move(aTree);
  }

  /** Records when they were last known to be the newest; empty if never. */
  void SetConfirmedAt(std::optional<TimePoint> aAt)
  {
    const std::lock_guard lock(mMutex);
    mConfirmedAt = aAt;
  }

  bool IsConfirmedWithin(Duration aAge, TimePoint aNow) const
  {
    const std::lock_guard lock(mMutex);
    return mConfirmedAt && aNow - *mConfirmedAt < aAge;
  }

private:
  mutable std::mutex mMutex;
  Pointer mTree;
  std::optional<TimePoint> mConfirmedAt;
};

} // namespace peridotspool::runtime
