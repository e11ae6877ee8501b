#pragma once

#include "peridotspool/membership/ControlSession.h"
#include "peridotspool/request/EntryNodeEffect.h"
#include "peridotspool/request/EntryNodeEvent.h"
#include "peridotspool/request/EntryNodeOptions.h"

#include <cstddef>
#include <memory>
#include <vector>

namespace peridotspool::request {

class EntryNodeState;

/** What an entry says of itself on its status page. */
struct EntryNodeStatus
{
  MemberId mMember;
  membership::ServeVerdict mServing = membership::ServeVerdict::kNotMember;
  bool mLeaving = false;
  Revision mInForce;
  membership::EpochMap mEpoch;
  std::size_t mRunning = 0;
  std::size_t mCallers = 0;
  std::vector<routing::UpstreamAnnouncement> mUpstreams;
};

/**
 * A whole entry: its session with the control replicas, the ledger, the router
 * and the requests. What `peridotspool-entryd` hosts.
 *
 * It takes no new work before a quorum has confirmed its settings, and when
 * its membership is over it drops all that it held and joins again as a new
 * member. A pure step; not thread-safe.
 */
class EntryNode
{
public:
  EntryNode(EntryNodeOptions aOptions, TimePoint aNow);
  ~EntryNode();

  /** Takes one event and returns what the host is to do, in order. */
  EntryNodeEffects Step(const EntryNodeEvent& aEvent, TimePoint aNow);

  /** The answer of `GET /v1/entries`. */
  membership::DirectoryResponse Directory(const Region& aRegion);
  EntryNodeStatus Status(TimePoint aNow) const;
  /** The name of a member, for answers that tell who ran a request. */
  EntryName NameOf(MemberId aMember) const;

private:
  std::unique_ptr<EntryNodeState> mState;
};

} // namespace peridotspool::request
