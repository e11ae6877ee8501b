#pragma once

#include "peridotspool/base/Ids.h"
#include "peridotspool/base/Time.h"
#include "peridotspool/gateway/PeerMessage.h"
#include "peridotspool/gateway/QuotaFloors.h"
#include "peridotspool/rollout/Rollout.h"
#include "peridotspool/routing/Quarantine.h"

#include <boost/describe/class.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace peridotspool::control {

/** Replaces the settings tree. Idempotent for the same edit id. */
struct EditRequest
{
  EditId mEdit;
  /** The revision that the new text is based on. */
  Revision mBase;
  std::string mText;
  std::string mAuthor;

  auto operator<=>(const EditRequest&) const = default;
};
BOOST_DESCRIBE_STRUCT(EditRequest, (), (mEdit, mBase, mText, mAuthor))

/** Waits until a revision is in force on all live entries. */
struct InForceRequest
{
  Revision mRevision;
  /**
   * The maximum wait; the response is sent then even if some entries are
   * missing.
   */
  Duration mWait{ 0 };

  auto operator<=>(const InForceRequest&) const = default;
};
BOOST_DESCRIBE_STRUCT(InForceRequest, (), (mRevision, mWait))

/** Requests the settings text, of the newest revision unless one is given. */
struct SettingsRequest
{
  std::optional<Revision> mRevision;

  auto operator<=>(const SettingsRequest&) const = default;
};
BOOST_DESCRIBE_STRUCT(SettingsRequest, (), (mRevision))

/** Requests the latest changes. */
struct HistoryRequest
{
  std::uint64_t mLimit = 20;

  auto operator<=>(const HistoryRequest&) const = default;
};
BOOST_DESCRIBE_STRUCT(HistoryRequest, (), (mLimit))

/** Requests the texts of two revisions. */
struct DiffRequest
{
  Revision mFrom;
  Revision mTo;

  auto operator<=>(const DiffRequest&) const = default;
};
BOOST_DESCRIBE_STRUCT(DiffRequest, (), (mFrom, mTo))

/** Marks an entry as leaving; it hands over its work and is then removed. */
struct DrainRequest
{
  EntryName mEntry;

  auto operator<=>(const DrainRequest&) const = default;
};
BOOST_DESCRIBE_STRUCT(DrainRequest, (), (mEntry))

struct StatusRequest
{
  auto operator<=>(const StatusRequest&) const = default;
};
BOOST_DESCRIBE_STRUCT(StatusRequest, (), ())

/** Allocates the next fencing number, for one order to an engine. */
struct FencingRequest
{
  auto operator<=>(const FencingRequest&) const = default;
};
BOOST_DESCRIBE_STRUCT(FencingRequest, (), ())

/**
 * Replaces the settings by a whole document. The highest version wins; one
 * that is not higher is acknowledged and changes nothing.
 */
struct DocumentRequest
{
  std::uint64_t mVersion = 0;
  std::string mText;

  auto operator<=>(const DocumentRequest&) const = default;
};
BOOST_DESCRIBE_STRUCT(DocumentRequest, (), (mVersion, mText))

/** Fixes one window of usage; sent by the leader to itself. */
struct UsageRequest
{
  gateway::UsageWindow mWindow;

  auto operator<=>(const UsageRequest&) const = default;
};
BOOST_DESCRIBE_STRUCT(UsageRequest, (), (mWindow))

/**
 * Commits the lower bounds (floors) of the customers' balances; sent by the
 * leader to itself.
 */
struct QuotaFloorsRequest
{
  gateway::QuotaFloors mFloors;

  auto operator<=>(const QuotaFloorsRequest&) const = default;
};
BOOST_DESCRIBE_STRUCT(QuotaFloorsRequest, (), (mFloors))

/** Requests the quarantine rows: contents that are treated specially. */
struct QuarantineRequest
{
  auto operator<=>(const QuarantineRequest&) const = default;
};
BOOST_DESCRIBE_STRUCT(QuarantineRequest, (), ())

/**
 * Changes the quarantine state of contents; sent by the leader, or by an
 * operator to lift it.
 */
struct QuarantineChangeRequest
{
  std::vector<routing::QuarantineChange> mChanges;

  auto operator<=>(const QuarantineChangeRequest&) const = default;
};
BOOST_DESCRIBE_STRUCT(QuarantineChangeRequest, (), (mChanges))

/** Starts a rollout. Idempotent. */
struct RolloutStartRequest
{
  rollout::RolloutOrder mOrder;

  auto operator<=>(const RolloutStartRequest&) const = default;
};
BOOST_DESCRIBE_STRUCT(RolloutStartRequest, (), (mOrder))

/** Requests the rollouts, of one service if mService is set. */
struct RolloutsRequest
{
  ServiceName mService;

  auto operator<=>(const RolloutsRequest&) const = default;
};
BOOST_DESCRIBE_STRUCT(RolloutsRequest, (), (mService))

/** Aborts and rolls back the current rollout of a service. */
struct RolloutAbortRequest
{
  ServiceName mService;
  /** Wall-clock time in microseconds. */
  std::int64_t mMicros = 0;

  auto operator<=>(const RolloutAbortRequest&) const = default;
};
BOOST_DESCRIBE_STRUCT(RolloutAbortRequest, (), (mService, mMicros))

/** Ends or extends a rollout; sent by the leader to itself. */
struct RolloutChangeRequest
{
  std::variant<rollout::RolloutEnd, rollout::RolloutAdvance> mChange;

  auto operator<=>(const RolloutChangeRequest&) const = default;
};
BOOST_DESCRIBE_STRUCT(RolloutChangeRequest, (), (mChange))

using OperatorRequest = std::variant<EditRequest,
                                     InForceRequest,
                                     SettingsRequest,
                                     HistoryRequest,
                                     DiffRequest,
                                     DrainRequest,
                                     StatusRequest,
                                     FencingRequest,
                                     DocumentRequest,
                                     UsageRequest,
                                     QuarantineRequest,
                                     QuarantineChangeRequest,
                                     RolloutStartRequest,
                                     RolloutsRequest,
                                     RolloutAbortRequest,
                                     RolloutChangeRequest,
                                     QuotaFloorsRequest>;

} // namespace peridotspool::control
