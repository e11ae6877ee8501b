#pragma once

#include "peridotspool/membership/ControlSession.h"
#include "peridotspool/request/EntryNodeEffect.h"
#include "peridotspool/request/EntryNodeEvent.h"
#include "peridotspool/request/EntryNodeOptions.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <vector>

namespace peridotspool::request {

class EntryNodeState;

/** The state of an entry, as shown on its status page. */
struct EntryNodeStatus
{
  MemberId mMember;
  membership::ServeVerdict mServing = membership::ServeVerdict::kNotMember;
  bool mLeaving = false;
  Revision mInForce;
  membership::EpochMap mEpoch;
  std::size_t mRunning = 0;
  std::size_t mCallers = 0;
  /** Bytes held of answers that are unfinished. */
  std::size_t mHeldBytes = 0;
  std::vector<routing::UpstreamAnnouncement> mUpstreams;
};

/**
 * A complete entry: its session with the control replicas, the ledger, the
 * router and the requests. `peridotspool-entryd` hosts one.
 *
 * It accepts no new requests before a quorum has confirmed its settings. When
 * its membership ends, it drops all its state and joins again as a new member.
 * Performs no I/O; not thread-safe.
 */
class EntryNode
{
public:
  EntryNode(EntryNodeOptions aOptions, TimePoint aNow);
  ~EntryNode();

  /** Handles one event and returns the effects that the host must carry out, in
   * order. */
  EntryNodeEffects Step(const EntryNodeEvent& aEvent, TimePoint aNow);

  /** Returns the response to `GET /v1/entries`. */
  membership::DirectoryResponse Directory(const Region& aRegion);
  EntryNodeStatus Status(TimePoint aNow) const;
  /** Returns when the settings in force were last known to be the newest; empty
   * if never. */
  std::optional<TimePoint> SettingsConfirmedAt() const;
  /** Returns the name of a member, for responses that name the entry that ran a
   * request. */
  EntryName NameOf(MemberId aMember) const;

private:
  std::unique_ptr<EntryNodeState> mState;
};

} // namespace peridotspool::request
