#pragma once

#include "peridotspool/control/LogEntry.h"
#include "peridotspool/control/Snapshot.h"

#include <boost/describe/class.hpp>
#include <optional>
#include <vector>

namespace peridotspool::control {

/** Who a replica is; written once into its data folder. */
struct ReplicaIdentity
{
  SystemId mSystem;
  ReplicaId mReplica;

  auto operator<=>(const ReplicaIdentity&) const = default;
};
BOOST_DESCRIBE_STRUCT(ReplicaIdentity, (), (mSystem, mReplica))

/** The highest term that a replica knows, and whom it voted for in it. */
struct VoteRecord
{
  Term mTerm;
  /** Unset when it has not voted in mTerm. */
  ReplicaId mVotedFor;

  auto operator<=>(const VoteRecord&) const = default;
};
BOOST_DESCRIBE_STRUCT(VoteRecord, (), (mTerm, mVotedFor))

/** What was synced before a replica stopped. */
struct RestoredState
{
  /** Empty for an empty folder: such a replica neither votes nor elects. */
  std::optional<ReplicaIdentity> mIdentity;
  VoteRecord mVote;
  std::optional<Snapshot> mSnapshot;
  /** Entries after the snapshot, without gaps. */
  std::vector<LogEntry> mEntries;

  auto operator<=>(const RestoredState&) const = default;
};
BOOST_DESCRIBE_STRUCT(RestoredState,
                      (),
                      (mIdentity, mVote, mSnapshot, mEntries))

/**
 * Returns the first state of a new system with one voter, for an explicit
 * `init`. Other replicas start with empty folders and join through the log.
 */
RestoredState
InitialState(SystemId aSystem, ReplicaInfo aFirst);

} // namespace peridotspool::control
