#pragma once

#include "peridotspool/base/Ids.h"
#include "peridotspool/limits/BrokenBound.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace peridotspool::limits {

/** A response that is to be ended, because the budget is exhausted. */
struct BudgetOverrun
{
  std::uint64_t mResponse = 0;
  BrokenBound mBroken;
};

/**
 * The bytes of all unfinished responses that an entry holds. One upstream gets
 * at most half, so that the responses of the others always have room.
 *
 * Does no I/O and reads no clock. Not thread-safe.
 */
class ResponseBudget
{
public:
  explicit ResponseBudget(std::size_t aTotalBytes);

  /** Sets the bytes that a response holds. */
  void Set(std::uint64_t aResponse,
           const UpstreamName& aUpstream,
           std::size_t aBytes);
  /** The response has ended, or holds nothing. */
  void Remove(std::uint64_t aResponse);
  /**
   * Returns the response to end, which is the one that holds the most: of the
   * upstream if it is over its part, else of all if they are over the total.
   * Of equal ones it is the latest. Empty if nothing is to be ended.
   */
  std::optional<BudgetOverrun> FindOverrun(const UpstreamName& aUpstream) const;

  std::size_t Bytes() const { return mBytes; }
  std::size_t Count() const { return mResponses.size(); }

private:
  struct Held
  {
    UpstreamName mUpstream;
    std::size_t mBytes = 0;
  };

  /** @param aUpstream null for all upstreams */
  BudgetOverrun Largest(const UpstreamName* aUpstream,
                        ResponseBound aBound) const;

  std::size_t mTotalBytes;
  std::size_t mBytes = 0;
  std::unordered_map<std::uint64_t, Held> mResponses;
  std::unordered_map<UpstreamName, std::size_t> mUpstreamBytes;
};

} // namespace peridotspool::limits
