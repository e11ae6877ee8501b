#pragma once

#include "ledger/TestCluster.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace peridotspool::ledger {

/**
 * One step of a random schedule. The driver reduces each value modulo the
 * number of available choices.
 */
struct ChaosCommand
{
  std::uint32_t mKind = 0;
  std::uint32_t mFirst = 0;
  std::uint32_t mSecond = 0;
};

/**
 * Runs a random schedule of faults over a cluster of seven entries in five
 * failure domains. Between two settlements, at most as many entries are lost
 * permanently as the commit rule tolerates: two with kAllReplicas, otherwise
 * one.
 */
class ChaosDriver
{
public:
  explicit ChaosDriver(std::uint64_t aSeed, LedgerOptions aOptions = Options());

  static LedgerOptions Options();

  /** Injects one fault, or advances the time. */
  void Fault(const ChaosCommand& aCommand);
  /** Ends all faults and runs until every shard is served. */
  void Settle();
  /** Returns a live member of the present member list. */
  MemberId Gateway(std::uint32_t aChoice) const;
  /** Returns the number of shards currently served. */
  std::uint64_t Served() const;

  TestCluster& Cluster() { return mCluster; }

private:
  void Lose(MemberId aMember);
  void Replace();
  void Drain(MemberId aMember);
  /**
   * Stops the draining entries that hold nothing any more, which loses no
   * records.
   */
  void EndDrained();
  std::vector<MemberId> Members() const;

  TestCluster mCluster;
  std::set<MemberId> mFrozen;
  std::set<MemberId> mCut;
  std::set<MemberId> mDraining;
  /** Failed members that are to be removed from the member list. */
  std::set<MemberId> mLost;
  int mLossesAllowed;
  int mLossesLeft;
  std::uint32_t mNextDomain = 0;
};

} // namespace peridotspool::ledger
