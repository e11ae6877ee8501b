#pragma once

#include "peridotspool/membership/EntryMessage.h"
#include "peridotspool/membership/RelayScope.h"

#include <string>
#include <variant>
#include <vector>

namespace peridotspool::membership {

/** Send a message to a control replica. Delivery is not guaranteed. */
struct ToControlEffect
{
  Address mTo;
  EntryEnvelope mEnvelope;
};

/**
 * Send a message to a control replica that forwards it to the replicas in the
 * scope. Delivery is not guaranteed.
 */
struct ToRelayEffect
{
  Address mRelay;
  RelayScope mScope = RelayScope::kVoters;
  EntryEnvelope mEnvelope;
};

/** This process has become a member. */
struct JoinedEffect
{
  MemberId mMember;
};

/**
 * The membership has ended permanently. The host discards the state of this
 * session and starts a new session with a new nonce, or stops if it was
 * leaving.
 */
struct RemovedEffect
{};

/**
 * The control log requests that this entry leave: drain it, then report
 * HandoverCompleteEvent.
 */
struct DrainEffect
{};

/** Apply these settings, then report SettingsInForceEvent. */
struct NewSettingsEffect
{
  Revision mRevision;
  /** YAML of the complete settings tree. */
  std::string mText;
};

/** A new member list. Epochs are delivered in ascending order, each once. */
struct NewEpochEffect
{
  EpochMap mMap;
};

using ControlSessionEffect = std::variant<ToControlEffect,
                                          ToRelayEffect,
                                          JoinedEffect,
                                          RemovedEffect,
                                          DrainEffect,
                                          NewSettingsEffect,
                                          NewEpochEffect>;
using ControlSessionEffects = std::vector<ControlSessionEffect>;

} // namespace peridotspool::membership
