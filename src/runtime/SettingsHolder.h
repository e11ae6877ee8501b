#pragma once

#include "peridotspool/settings/SettingsTree.h"

#include <memory>
#include <mutex>
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

private:
  mutable std::mutex mMutex;
  Pointer mTree;
};

} // namespace peridotspool::runtime
