#pragma once

#include "peridotspool/membership/EntryMessage.h"

#include <string>
#include <variant>
#include <vector>

namespace peridotspool::membership {

/** Send a message to a control replica; it may be lost. */
struct ToControlEffect
{
  Address mTo;
  EntryEnvelope mEnvelope;
};

/** This process is a member from now on. */
struct JoinedEffect
{
  MemberId mMember;
};

/**
 * The membership is over for good: the host drops what this life held and
 * starts a new session with a new nonce (or stops, when it was leaving).
 */
struct RemovedEffect
{};

/** The control log wants this entry to leave: drain, then
 * HandoverCompleteEvent. */
struct DrainEffect
{};

/** Put these settings in force, then answer SettingsInForceEvent. */
struct NewSettingsEffect
{
  Revision mRevision;
  /** YAML of the whole tree. */
  std::string mText;
};

/** Member lists in rising order; none is given twice. */
struct NewEpochEffect
{
  EpochMap mMap;
};

using ControlSessionEffect = std::variant<ToControlEffect,
                                          JoinedEffect,
                                          RemovedEffect,
                                          DrainEffect,
                                          NewSettingsEffect,
                                          NewEpochEffect>;
using ControlSessionEffects = std::vector<ControlSessionEffect>;

} // namespace peridotspool::membership
