#pragma once

#include "peridotspool/control/ControlEffect.h"
#include "peridotspool/control/ControlEvent.h"
#include "peridotspool/control/ControlOptions.h"
#include "peridotspool/control/RestoredState.h"
#include "peridotspool/membership/EntryProfile.h"

#include <memory>
#include <optional>
#include <vector>

namespace peridotspool::control {

class ControlNodeState;

/**
 * One control replica: the replicated log, the state derived from it, and the
 * sessions with entries and operators. Hosted by `peridotspool-controld`.
 *
 * A deterministic state machine: it owns no clock, thread, socket or file, and
 * the same events at the same times produce the same effects. Not thread-safe.
 */
class ControlNode
{
public:
  /**
   * Starts from the synced state; a replica with an empty state joins by
   * querying the seeds.
   */
  ControlNode(ControlOptions aOptions, RestoredState aState, TimePoint aNow);
  ~ControlNode();
  ControlNode(ControlNode&&) noexcept;
  ControlNode& operator=(ControlNode&&) noexcept;

  /**
   * Handles one event and returns the effects for the host to carry out, in
   * order.
   */
  ControlEffects Step(const ControlEvent& aEvent, TimePoint aNow);

  /** Returns true iff this replica leads and its lease is valid at aNow. */
  bool Leads(TimePoint aNow) const;
  /**
   * Returns true iff this replica is in the replica set and has recently led or
   * heard from the leader, so that entries know it and query it.
   */
  bool IsConnected(TimePoint aNow) const;
  /** The latest applied state; on a follower it may lag behind. */
  const MachineState& State() const;
  const ReplicaSet& Replicas() const;
  ReplicaId Self() const;
  /**
   * Returns the entries that were heard from recently, have confirmed settings
   * and aren't leaving.
   */
  const std::vector<membership::EntryProfile>& ReadyEntries(TimePoint aNow);
  /** Returns true iff this replica is a voter and can become the leader. */
  bool Votes() const;
  /** The peer addresses of the control replicas, as known to this replica. */
  std::vector<Address> ReplicaAddresses() const;
  /** The peer addresses of the voting replicas, as known to this replica. */
  std::vector<Address> VoterAddresses() const;
  /** The leader's peer address; empty when the leader is unknown. */
  std::optional<Address> LeaderAddress() const;
  Term CurrentTerm() const;

private:
  std::unique_ptr<ControlNodeState> mState;
};

} // namespace peridotspool::control
