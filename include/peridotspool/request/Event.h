#pragma once

#include "peridotspool/ledger/Operation.h"
#include "peridotspool/membership/EpochMap.h"
#include "peridotspool/request/RelayMessage.h"
#include "peridotspool/request/UpstreamEvent.h"
#include "peridotspool/settings/SettingsTree.h"

#include <memory>
#include <variant>

namespace peridotspool::request {

/** A caller's new request, or the same one sent again. */
struct SubmitEvent
{
  CallId mExchange;
  RequestKey mKey;
  ledger::RequestTerms mTerms;
  /** Time until the request's deadline. */
  Duration mRemaining{ 0 };
  /** True iff the key was made just now, so that it can't be known. */
  bool mKeyIsNew = false;
};

/** A caller wants the answer of a request that it sent earlier. */
struct AttachEvent
{
  CallId mExchange;
  RequestKey mKey;
  /** What the caller has already: lineage and bytes. */
  AttemptNumber mLineage;
  std::uint64_t mOffset = 0;
};

struct CancelEvent
{
  CallId mExchange;
  RequestKey mKey;
};

/** The caller has the whole answer; it need not be kept. */
struct AcknowledgeEvent
{
  CallId mExchange;
  RequestKey mKey;
};

/** An operator wants to see the request's record. */
struct ShowEvent
{
  CallId mExchange;
  RequestKey mKey;
};

/** The caller's connection is gone; the request goes on. */
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

/** These settings are in force from now on. */
struct SettingsEvent
{
  std::shared_ptr<const settings::SettingsTree> mTree;
};

/** This entry is leaving: it hands over what can go on elsewhere. */
struct DrainEvent
{};

/** This entry's membership is over: all that it ran is others' now. */
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
