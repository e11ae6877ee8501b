#pragma once

#include "peridotspool/base/Time.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

namespace peridotspool::membership {

struct WithdrawalAckOptions
{
  /**
   * A withdrawal that a majority does not hold within this time is refused, so
   * that the upstream still gets the answer in time to call another replica.
   */
  Duration mTimeout = std::chrono::milliseconds(700);
  std::size_t mMaxWaiting = 4096;
};

/** The end of an upstream's wait for the acknowledgement of its withdrawal. */
struct WithdrawalDecision
{
  std::uint64_t mCall = 0;
  /** False iff it is refused: it may be lost with this process. */
  bool mAcknowledged = false;

  auto operator<=>(const WithdrawalDecision&) const = default;
};

/**
 * Decides when an upstream's withdrawal (draining or deregistered) is
 * acknowledged: once a majority of the voting replicas holds it, as the
 * upstream may leave from then on without saying so again.
 *
 * A deterministic state machine: it uses no clock, thread or socket. Not
 * thread-safe.
 */
class WithdrawalAcks
{
public:
  WithdrawalAcks() = default;
  explicit WithdrawalAcks(WithdrawalAckOptions aOptions);

  /**
   * Adds a call that waits until aVersion of this replica's registry is held by
   * a majority. Returns false iff too many wait.
   */
  bool Add(std::uint64_t aCall, std::uint64_t aVersion, TimePoint aNow);
  /**
   * Returns the calls to answer now.
   * @param aHeld the version of the registry that a majority holds
   */
  std::vector<WithdrawalDecision> Step(std::uint64_t aHeld, TimePoint aNow);

private:
  struct Waiting
  {
    std::uint64_t mCall = 0;
    std::uint64_t mVersion = 0;
    TimePoint mSince;
  };

  WithdrawalAckOptions mOptions;
  std::deque<Waiting> mWaiting;
};

} // namespace peridotspool::membership
