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
 * One control replica: the replicated log, the state that it makes, and the
 * sessions with entries and operators. What `peridotspool-controld` hosts.
 *
 * It is a pure step: it owns no clock, thread, socket or file, and the same
 * events at the same times give the same effects. Not thread-safe.
 */
class ControlNode
{
public:
  /** Starts from what was synced; an empty state joins by asking the seeds. */
  ControlNode(ControlOptions aOptions, RestoredState aState, TimePoint aNow);
  ~ControlNode();
  ControlNode(ControlNode&&) noexcept;
  ControlNode& operator=(ControlNode&&) noexcept;

  /** Takes one event and returns what the host is to do, in order. */
  ControlEffects Step(const ControlEvent& aEvent, TimePoint aNow);

  /** Returns true iff this replica leads, and its lease holds at aNow. */
  bool Leads(TimePoint aNow) const;
  /**
   * Returns true iff this replica has its place in the group and has lately led
   * or heard the leader: entries know of it, and ask it.
   */
  bool IsConnected(TimePoint aNow) const;
  /** The newest applied state; on a follower it may be behind. */
  const MachineState& State() const;
  const ReplicaSet& Replicas() const;
  ReplicaId Self() const;
  /** Entries that were heard lately, work by settings and don't leave. */
  std::vector<membership::EntryProfile> ReadyEntries(TimePoint aNow) const;
  /** Returns true iff this replica votes, and so may come to lead. */
  bool Votes() const;
  /** Where the control replicas listen for each other, as known here. */
  std::vector<Address> ReplicaAddresses() const;
  /** Where the leader listens; empty when it isn't known. */
  std::optional<Address> LeaderAddress() const;
  Term CurrentTerm() const;

private:
  std::unique_ptr<ControlNodeState> mState;
};

} // namespace peridotspool::control
