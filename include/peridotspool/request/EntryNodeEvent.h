#pragma once

#include "peridotspool/ledger/Message.h"
#include "peridotspool/membership/EntryMessage.h"
#include "peridotspool/request/Event.h"
#include "peridotspool/routing/UpstreamReport.h"

#include <variant>
#include <vector>

namespace peridotspool::request {

/** A message from another entry. */
using FromMemberMessage =
  std::variant<ledger::Message, RelayMessage, routing::UpstreamAnnouncement>;

struct FromMemberEvent
{
  MemberId mFrom;
  /** The member ID of the addressed incarnation of this entry. */
  MemberId mTo;
  FromMemberMessage mMessage;
};

/** A message from a control replica to the incarnation with this nonce. */
struct FromControlReplicaEvent
{
  membership::EntryNonce mTo;
  membership::ToEntryMessage mMessage;
};

/** An event of a caller: submit, attach, cancel, acknowledge, show or gone. */
struct CallerEvent
{
  std::variant<SubmitEvent,
               AttachEvent,
               CancelEvent,
               AcknowledgeEvent,
               ShowEvent,
               CallerGoneEvent>
    mEvent;
};

/** An upstream announced itself to this entry. */
struct AnnouncedEvent
{
  routing::UpstreamAnnouncement mAnnouncement;
};

/** The host has applied a revision of the settings. */
struct SettingsAppliedEvent
{
  Revision mRevision;
  std::shared_ptr<const settings::SettingsTree> mTree;
};

/** The peers that are currently unreachable; replaces the previous list. */
struct UnreachableEvent
{
  std::vector<Address> mPeers;
};

/** SIGTERM or a reclaim notice arrived; the entry must leave gracefully. */
struct LeaveNodeEvent
{};

using EntryNodeEvent = std::variant<FromMemberEvent,
                                    FromControlReplicaEvent,
                                    CallerEvent,
                                    UpstreamEvent,
                                    AnnouncedEvent,
                                    SettingsAppliedEvent,
                                    UnreachableEvent,
                                    LeaveNodeEvent,
                                    TickEvent>;

} // namespace peridotspool::request
