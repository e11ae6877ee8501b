#pragma once

#include "peridotspool/base/Address.h"
#include "peridotspool/base/Time.h"
#include "peridotspool/control/EditResponse.h"
#include "peridotspool/control/ReplicaSet.h"
#include "peridotspool/control/SettingsState.h"
#include "peridotspool/membership/Member.h"
#include "peridotspool/rollout/Rollout.h"
#include "peridotspool/routing/Quarantine.h"

#include <boost/describe/class.hpp>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace peridotspool::control {

/** Whether a revision is in force on all entries. */
struct InForceResponse
{
  Revision mRevision;
  bool mInForce = false;
  /** Live entries that haven't applied it yet. */
  std::vector<EntryName> mMissing;

  auto operator<=>(const InForceResponse&) const = default;
};
BOOST_DESCRIBE_STRUCT(InForceResponse, (), (mRevision, mInForce, mMissing))

struct SettingsResponse
{
  Revision mRevision;
  std::string mText;

  auto operator<=>(const SettingsResponse&) const = default;
};
BOOST_DESCRIBE_STRUCT(SettingsResponse, (), (mRevision, mText))

/** The latest changes, newest first. */
struct HistoryResponse
{
  std::vector<SettingsChange> mChanges;

  auto operator<=>(const HistoryResponse&) const = default;
};
BOOST_DESCRIBE_STRUCT(HistoryResponse, (), (mChanges))

struct DiffResponse
{
  std::string mFromText;
  std::string mToText;

  auto operator<=>(const DiffResponse&) const = default;
};
BOOST_DESCRIBE_STRUCT(DiffResponse, (), (mFromText, mToText))

/** The entry's drain is committed in mEpoch. */
struct DrainResponse
{
  MemberId mMember;
  EpochNumber mEpoch;

  auto operator<=>(const DrainResponse&) const = default;
};
BOOST_DESCRIBE_STRUCT(DrainResponse, (), (mMember, mEpoch))

/** One control replica as seen by the responding replica. */
struct ReplicaStatus
{
  ReplicaInfo mInfo;
  /** The last index known to the leader to be synced on it. */
  LogIndex mMatch;

  auto operator<=>(const ReplicaStatus&) const = default;
};
BOOST_DESCRIBE_STRUCT(ReplicaStatus, (), (mInfo, mMatch))

/** One entry as seen by the responding replica. */
struct EntryStatus
{
  membership::Member mMember;
  Revision mInForce;
  EpochNumber mEpoch;
  Duration mSilentFor{ 0 };

  auto operator<=>(const EntryStatus&) const = default;
};
BOOST_DESCRIBE_STRUCT(EntryStatus, (), (mMember, mInForce, mEpoch, mSilentFor))

/** Sent by any replica; only the leader's view of entries is complete. */
struct StatusResponse
{
  ReplicaId mSelf;
  ReplicaId mLeader;
  bool mLeads = false;
  Term mTerm;
  LogIndex mCommit;
  Revision mRevision;
  EpochNumber mEpoch;
  FencingNumber mLastFencing;
  std::vector<ReplicaStatus> mReplicas;
  std::vector<EntryStatus> mEntries;

  auto operator<=>(const StatusResponse&) const = default;
};
BOOST_DESCRIBE_STRUCT(StatusResponse,
                      (),
                      (mSelf,
                       mLeader,
                       mLeads,
                       mTerm,
                       mCommit,
                       mRevision,
                       mEpoch,
                       mLastFencing,
                       mReplicas,
                       mEntries))

struct FencingResponse
{
  FencingNumber mNumber;

  auto operator<=>(const FencingResponse&) const = default;
};
BOOST_DESCRIBE_STRUCT(FencingResponse, (), (mNumber))

/** The document, or one with a version as high or higher, is committed. */
struct DocumentResponse
{
  std::uint64_t mNewest = 0;
  Revision mRevision;

  auto operator<=>(const DocumentResponse&) const = default;
};
BOOST_DESCRIBE_STRUCT(DocumentResponse, (), (mNewest, mRevision))

/**
 * This replica doesn't lead and did nothing; the request is to be sent to the
 * leader.
 */
struct NotLeaderResponse
{
  std::optional<Address> mLeader;

  auto operator<=>(const NotLeaderResponse&) const = default;
};
BOOST_DESCRIBE_STRUCT(NotLeaderResponse, (), (mLeader))

/**
 * Leadership was lost while the request was pending: it may or may not have
 * taken effect. The client should resend it unchanged.
 */
struct UncertainResponse
{
  std::optional<Address> mLeader;

  auto operator<=>(const UncertainResponse&) const = default;
};
BOOST_DESCRIBE_STRUCT(UncertainResponse, (), (mLeader))

/** The request can't be carried out; nothing was changed. */
struct RefusedResponse
{
  std::string mReason;

  auto operator<=>(const RefusedResponse&) const = default;
};
BOOST_DESCRIBE_STRUCT(RefusedResponse, (), (mReason))

/** Too much is under way; nothing was changed, and a resend may succeed. */
struct OverloadedResponse
{
  std::string mReason;

  auto operator<=>(const OverloadedResponse&) const = default;
};
BOOST_DESCRIBE_STRUCT(OverloadedResponse, (), (mReason))

/** The settings are larger than this replica takes; nothing was changed. */
struct TooLargeResponse
{
  std::uint64_t mBytes = 0;
  std::uint64_t mMost = 0;

  auto operator<=>(const TooLargeResponse&) const = default;
};
BOOST_DESCRIBE_STRUCT(TooLargeResponse, (), (mBytes, mMost))

/** The committed quarantine rows: contents that are treated specially. */
struct QuarantineResponse
{
  std::vector<routing::QuarantineRow> mRows;

  auto operator<=>(const QuarantineResponse&) const = default;
};
BOOST_DESCRIBE_STRUCT(QuarantineResponse, (), (mRows))

/** The verdict on a rollout order, and the service's latest rollout. */
struct RolloutOrderResponse
{
  rollout::OrderVerdict mVerdict = rollout::OrderVerdict::kStarted;
  rollout::Rollout mLatest;

  auto operator<=>(const RolloutOrderResponse&) const = default;
};
BOOST_DESCRIBE_STRUCT(RolloutOrderResponse, (), (mVerdict, mLatest))

/** The committed rollouts, oldest first. */
struct RolloutsResponse
{
  std::vector<rollout::Rollout> mRollouts;

  auto operator<=>(const RolloutsResponse&) const = default;
};
BOOST_DESCRIBE_STRUCT(RolloutsResponse, (), (mRollouts))

using OperatorResponse = std::variant<EditResponse,
                                      InForceResponse,
                                      SettingsResponse,
                                      HistoryResponse,
                                      DiffResponse,
                                      DrainResponse,
                                      StatusResponse,
                                      FencingResponse,
                                      NotLeaderResponse,
                                      UncertainResponse,
                                      RefusedResponse,
                                      DocumentResponse,
                                      QuarantineResponse,
                                      RolloutOrderResponse,
                                      RolloutsResponse,
                                      OverloadedResponse,
                                      TooLargeResponse>;

} // namespace peridotspool::control
