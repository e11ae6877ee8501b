#pragma once

#include "peridotspool/base/Address.h"
#include "peridotspool/control/LogEntry.h"
#include "peridotspool/control/Snapshot.h"

#include <boost/describe/class.hpp>
#include <optional>
#include <vector>

namespace peridotspool::control {

/** A replica's identity; written once into its data folder. */
struct ReplicaIdentity
{
  SystemId mSystem;
  ReplicaId mReplica;

  auto operator<=>(const ReplicaIdentity&) const = default;
};
BOOST_DESCRIBE_STRUCT(ReplicaIdentity, (), (mSystem, mReplica))

/**
 * The highest term known to a replica, and the replica that it voted for in it.
 */
struct VoteRecord
{
  Term mTerm;
  /** Unset when it has not voted in mTerm. */
  ReplicaId mVotedFor;

  auto operator<=>(const VoteRecord&) const = default;
};
BOOST_DESCRIBE_STRUCT(VoteRecord, (), (mTerm, mVotedFor))

/** The state that was synced before a replica stopped. */
struct RestoredState
{
  /**
   * Empty for an empty folder: such a replica neither votes nor stands for
   * election.
   */
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
 * Returns the initial state of a new system with one voter, for an explicit
 * `init`. Other replicas start with empty folders and join through the log.
 */
RestoredState
InitialState(SystemId aSystem, ReplicaInfo aFirst);

/**
 * Returns the initial state of a new system whose founders all know each
 * other's addresses: each computes the same state without exchanging messages.
 * Returns an empty state iff aSelf is no founder. To be used only where the
 * settings declare that the whole system starts for the first time: a founder
 * that lost its disk could otherwise outvote what the others acknowledged.
 */
RestoredState
FoundingState(const Address& aSelf, std::vector<Address> aFounders);

} // namespace peridotspool::control
