#pragma once

#include "peridotspool/ledger/Operation.h"
#include "peridotspool/membership/EpochMap.h"
#include "peridotspool/request/RelayMessage.h"
#include "peridotspool/request/UpstreamEvent.h"
#include "peridotspool/settings/SettingsTree.h"

#include <memory>
#include <variant>

namespace peridotspool::request {

/** A caller submits a request, or resubmits one with the same key. */
struct SubmitEvent
{
  CallId mExchange;
  RequestKey mKey;
  ledger::RequestTerms mTerms;
  /** Time until the request's deadline. */
  Duration mRemaining{ 0 };
  /** True iff the key was just generated, so the ledger can't know it. */
  bool mKeyIsNew = false;
};

/** A caller requests the answer of a request that it submitted earlier. */
struct AttachEvent
{
  CallId mExchange;
  RequestKey mKey;
  /** The part of the answer that the caller has: its lineage and its length in
   * bytes, `mOffset`. */
  AttemptNumber mLineage;
  std::uint64_t mOffset = 0;
};

struct CancelEvent
{
  CallId mExchange;
  RequestKey mKey;
};

/** The caller has the complete answer, which need not be stored any longer. */
struct AcknowledgeEvent
{
  CallId mExchange;
  RequestKey mKey;
};

/** An operator requests the record of a request. */
struct ShowEvent
{
  CallId mExchange;
  RequestKey mKey;
};

/** The caller's connection is closed; the request continues to run. */
struct CallerGoneEvent
{
  CallId mExchange;
};

struct LedgerAnsweredEvent
{
  CallId mCall;
  ledger::OperationAnswer mAnswer;
};

/** See ledger::OrphanedEffect. */
struct OrphanedEvent
{
  ledger::RequestRecord mRecord;
  Duration mRemaining{ 0 };
};

struct UpstreamEvent
{
  /** The handle given in StartUpstreamEffect. */
  CallId mCall;
  UpstreamOutcome mOutcome;
};

struct RelayEvent
{
  MemberId mFrom;
  RelayMessage mMessage;
};

struct MembersEvent
{
  membership::EpochMap mMap;
};

/** These settings apply from now on. */
struct SettingsEvent
{
  std::shared_ptr<const settings::SettingsTree> mTree;
};

/** This entry is leaving; it hands over the requests that another entry can
 * continue. */
struct DrainEvent
{};

/** This entry's membership has ended; other entries own the requests it ran. */
struct AbandonEvent
{};

struct TickEvent
{};

using Event = std::variant<SubmitEvent,
                           AttachEvent,
                           CancelEvent,
                           AcknowledgeEvent,
                           ShowEvent,
                           CallerGoneEvent,
                           LedgerAnsweredEvent,
                           OrphanedEvent,
                           UpstreamEvent,
                           RelayEvent,
                           MembersEvent,
                           SettingsEvent,
                           DrainEvent,
                           AbandonEvent,
                           TickEvent>;

} // namespace peridotspool::request
