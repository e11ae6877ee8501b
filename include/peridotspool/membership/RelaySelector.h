#pragma once

#include "peridotspool/base/Address.h"
#include "peridotspool/base/Time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace peridotspool::membership {

/**
 * Chooses the control replica that forwards an entry's messages to the others.
 * While the leader's responses don't arrive through a relay, the entry sends to
 * the replicas itself, so a relay that fails delays a session by kTimeout at
 * most.
 *
 * A deterministic state machine: it uses no clock, thread or socket. Not
 * thread-safe.
 */
class RelaySelector
{
public:
  /**
   * Without a leader's response for this long the relay counts as failed.
   * Shorter than an entry's lease.
   */
  static constexpr Duration kTimeout = std::chrono::milliseconds(700);
  /**
   * If the newest message that the leader answered was sent longer ago than
   * this, the relay counts as failed although responses come.
   */
  static constexpr Duration kMaxDelay = std::chrono::milliseconds(1200);

  /** @param aSeed differs between entries and spreads them over the relays */
  explicit RelaySelector(std::uint64_t aSeed);

  /** Sets the relays that the leader offers; empty if there are none. */
  void SetRelays(const std::vector<Address>& aRelays);
  /** Records a leader's response to a message that was sent at aSentAt. */
  void RecordResponse(TimePoint aSentAt, TimePoint aNow);
  /** Returns the relay to send through; empty if to send directly. */
  std::optional<Address> Choose(TimePoint aNow);

private:
  std::uint64_t mSeed;
  /** Relays that failed are passed over one after the other. */
  std::uint64_t mFailures = 0;
  bool mFailed = false;
  std::vector<Address> mRelays;
  std::optional<TimePoint> mLastResponseAt;
  /** When the newest message was sent that has been answered. */
  TimePoint mAnsweredSentAt;
};

} // namespace peridotspool::membership
