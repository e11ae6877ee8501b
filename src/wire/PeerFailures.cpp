#include "wire/PeerFailures.h"

namespace peridotspool::wire {

namespace {

/** A failure counts for this long if nothing is tried since. */
constexpr Duration kFailureMemory = std::chrono::seconds(3);
/** One handshake can time out on a busy machine; only failures that go on for
 * this long say that a peer can't be reached. */
constexpr Duration kFailureProof = std::chrono::seconds(2);

} // namespace

void
PeerFailures::RecordFailure(const Address& aPeer, TimePoint aNow)
{
  std::erase_if(mFailures, [&](const auto& aPair) {
    return aNow - aPair.second.mLast >= kFailureMemory;
  });
  const auto [place, isNew] =
    mFailures.try_emplace(aPeer, Failures{ aNow, aNow });
  place->second.mLast = aNow;
}

std::vector<Address>
PeerFailures::Lasting(TimePoint aNow) const
{
  std::vector<Address> peers;
  for (const auto& [peer, failures] : mFailures) {
    const bool isLasting = aNow - failures.mFirst >= kFailureProof;
    if (isLasting && aNow - failures.mLast < kFailureMemory) {
      peers.push_back(peer);
    }
  }
  return peers;
}

} // namespace peridotspool::wire
