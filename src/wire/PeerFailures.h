#pragma once

#include "peridotspool/base/Address.h"
#include "peridotspool/base/Time.h"

#include <map>
#include <vector>

namespace peridotspool::wire {

/** Peers to which connections have failed or gone silent. Reads no clock. */
class PeerFailures
{
public:
  void RecordFailure(const Address& aPeer, TimePoint aNow);
  void RecordSuccess(const Address& aPeer) { mFailures.erase(aPeer); }
  /** Returns the peers that have failed again and again, up to now. */
  std::vector<Address> Lasting(TimePoint aNow) const;

private:
  /** Failures to reach a peer with no success between them. */
  struct Failures
  {
    TimePoint mFirst;
    TimePoint mLast;
  };

  std::map<Address, Failures> mFailures;
};

} // namespace peridotspool::wire
