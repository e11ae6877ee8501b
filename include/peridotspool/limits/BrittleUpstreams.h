#pragma once

#include "peridotspool/base/Ids.h"
#include "peridotspool/base/Time.h"
#include "peridotspool/limits/BrittleMessage.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace peridotspool::limits {

/** A statement lasts this long, as every response of the upstream repeats it.
 */
constexpr Duration kBrittleLifetime = std::chrono::seconds(5);

/**
 * Parses the rejections a second that a brittle upstream states to survive:
 * one positive number. Returns empty if there is none, or if it is invalid.
 */
std::optional<std::uint32_t>
ParseMaxRejections(const std::vector<std::string_view>& aValues);

/**
 * Upstreams that fall over if they have to reject too many requests in a
 * second, as known to one entry: from its own responses and from coordinators,
 * and as a coordinator from the reports of all entries.
 *
 * Does no I/O and reads no clock. Not thread-safe.
 */
class BrittleUpstreams
{
public:
  /** Returns true iff the upstream was not known to be brittle, or to survive
   * another number of rejections. */
  bool Apply(const BrittleState& aState, TimePoint aNow);
  /** Records that an upstream has rejected a request of any entry. */
  void RecordRejection(const UpstreamName& aUpstream, TimePoint aNow);
  /**
   * As a coordinator: permits one send, which then counts as running until
   * EndGrant is called or the permit has expired. Returns false iff the
   * upstream has no room or is closed. A request for a permit shows that the
   * upstream is brittle.
   *
   * @param aRunning requests of all entries at the upstream
   */
  bool TryGrant(const UpstreamName& aUpstream,
                Incarnation aIncarnation,
                std::size_t aRunning,
                std::size_t aSlots,
                TimePoint aNow);
  /** The send of a permit has been reported, or the permit isn't used. */
  void EndGrant(const UpstreamName& aUpstream);
  /** Returns empty unless the upstream is brittle. */
  std::optional<BrittleState> StateOf(const UpstreamName& aUpstream,
                                      TimePoint aNow) const;
  void RemoveExpired(TimePoint aNow);

  std::size_t Count() const { return mRecords.size(); }

private:
  struct Record
  {
    Incarnation mIncarnation;
    std::uint32_t mMaxRejections = 0;
    TimePoint mStatedAt = TimePoint::min();
    /** Nothing is to be sent before; as told by the coordinator. */
    TimePoint mClosedUntil = TimePoint::min();
    /** Permits whose sends have not been reported yet. */
    std::deque<TimePoint> mGrantedAt;
    /** Rejections of the last second. */
    std::deque<TimePoint> mRejectedAt;
  };

  static TimePoint ClosedUntil(const Record& aRecord, TimePoint aNow);

  std::unordered_map<UpstreamName, Record> mRecords;
};

} // namespace peridotspool::limits
