#pragma once

#include "peridotspool/base/Ids.h"

#include <algorithm>
#include <compare>
#include <cstddef>
#include <optional>
#include <vector>

namespace peridotspool::rollout {

/** Which versions' upstreams a request may be sent to. */
struct VersionFilter
{
  /** If set, this one alone. */
  std::optional<VersionName> mOnly;
  std::vector<VersionName> mExcept;
  /** If not 0, the choice is among so many of the upstreams that fit. */
  std::size_t mMaxUpstreams = 0;

  bool Allows(const VersionName& aVersion) const
  {
    return (!mOnly || *mOnly == aVersion) &&
           std::find(mExcept.begin(), mExcept.end(), aVersion) == mExcept.end();
  }

  auto operator<=>(const VersionFilter&) const = default;
};

} // namespace peridotspool::rollout
