#pragma once

#include "peridotspool/base/Ids.h"

#include <algorithm>
#include <compare>
#include <cstddef>
#include <optional>
#include <vector>

namespace peridotspool::rollout {

/** Selects the versions whose upstreams a request may be sent to. */
struct VersionFilter
{
  /** If set, only this version is allowed. */
  std::optional<VersionName> mOnly;
  std::vector<VersionName> mExcept;
  /**
   * If not 0, the request goes to one of this many of the matching upstreams.
   */
  std::size_t mMaxUpstreams = 0;

  bool Allows(const VersionName& aVersion) const
  {
    return (!mOnly || *mOnly == aVersion) &&
           std::find(mExcept.begin(), mExcept.end(), aVersion) == mExcept.end();
  }

  auto operator<=>(const VersionFilter&) const = default;
};

} // namespace peridotspool::rollout
