#pragma once

#include "peridotspool/ledger/Message.h"
#include "peridotspool/membership/EntryMessage.h"
#include "peridotspool/request/Event.h"
#include "peridotspool/routing/UpstreamReport.h"

#include <variant>
#include <vector>

namespace peridotspool::request {

/** What another entry sends. */
using FromMemberMessage =
  std::variant<ledger::Message, RelayMessage, routing::UpstreamAnnouncement>;

struct FromMemberEvent
{
  MemberId mFrom;
  /** The life of this entry that was meant. */
  MemberId mTo;
  FromMemberMessage mMessage;
};

/** A control replica sends to the life with this nonce. */
struct FromControlReplicaEvent
{
  membership::EntryNonce mTo;
  membership::ToEntryMessage mMessage;
};

/** A caller's event: submit, attach, cancel, acknowledge or gone. */
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

/** An upstream announced itself here. */
struct AnnouncedEvent
{
  routing::UpstreamAnnouncement mAnnouncement;
};

/** The host has put a revision of the settings in force. */
struct SettingsAppliedEvent
{
  Revision mRevision;
  std::shared_ptr<const settings::SettingsTree> mTree;
};

/** Peers that can't be reached now; replaces the earlier list. */
struct UnreachableEvent
{
  std::vector<Address> mPeers;
};

/** SIGTERM or a reclaim notice: leave gracefully. */
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
