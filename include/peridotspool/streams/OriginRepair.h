#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/streams/OriginMessage.h"
#include "peridotspool/streams/OriginStore.h"
#include "peridotspool/streams/ReplicaSelector.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace peridotspool::streams {

/**
 * Copies records to entries that become their holders when the members change,
 * a part of the records at a time.
 *
 * Does no I/O and reads no clock. Not thread-safe.
 */
class OriginRepair
{
public:
  /** Begins, or begins again, to compare the holders of all records.
   * @param aPrevious the members until now */
  void Begin(const ReplicaSelector& aPrevious);
  bool IsRunning() const { return mPrevious.has_value(); }
  /** Returns the copies of the next records. */
  std::vector<AddressedOriginMessage> Step(const OriginStore& aStore,
                                           const ReplicaSelector& aCurrent,
                                           const Region& aRegion,
                                           const Address& aSelf,
                                           TimePoint aNow);

private:
  /** The members at the end of the last complete pass. */
  std::optional<ReplicaSelector> mPrevious;
  std::optional<StreamKey> mLast;
};

} // namespace peridotspool::streams
