#include "peridotspool/rollout/AllowanceAccount.h"

#include <algorithm>

namespace peridotspool::rollout {

// If the entry has applied its newest update, its report states what it may
// still use. Otherwise an update in flight may still reach it, so nothing is
// reclaimed.
void
AllowanceAccount::RecordProgress(std::uint64_t aIncarnation,
                                 const RolloutProgress& aProgress,
                                 std::uint64_t aSequence)
{
  const auto [position, added] = mHolders.try_emplace(aIncarnation);
  Holder& holder = position->second;
  if (added) {
    holder.mAllowed = aProgress.mUsed;
  }
  holder.mUsed = std::max(holder.mUsed, aProgress.mUsed);
  const std::uint64_t usable = std::max(holder.mUsed, aProgress.mAllowed);
  if (aSequence == holder.mSequence && usable < holder.mAllowed) {
    mSpent -= holder.mAllowed - usable;
    holder.mAllowed = usable;
  }
}

std::uint64_t
AllowanceAccount::Allow(std::uint64_t aIncarnation,
                        std::uint64_t aUnused,
                        std::uint64_t aReserved,
                        std::uint64_t aSequence)
{
  Holder& holder = mHolders[aIncarnation];
  holder.mSequence = aSequence;
  const std::uint64_t wanted =
    std::max(holder.mAllowed, holder.mUsed + aUnused) - holder.mAllowed;
  const std::uint64_t available = aReserved - std::min(aReserved, mSpent);
  const std::uint64_t granted = std::min(wanted, available);
  holder.mAllowed += granted;
  mSpent += granted;
  return holder.mAllowed;
}

} // namespace peridotspool::rollout
