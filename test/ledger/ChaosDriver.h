#pragma once

#include "ledger/TestCluster.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace peridotspool::ledger {

/** One step of a random schedule; the driver takes it modulo what exists. */
struct ChaosCommand
{
  std::uint32_t mKind = 0;
  std::uint32_t mFirst = 0;
  std::uint32_t mSecond = 0;
};

/**
 * Runs a random schedule of faults over a cluster of seven entries in five
 * failure domains. Between two settlements at most as many entries are lost for
 * good as the commit rule survives: two with all replicas, else one.
 */
class ChaosDriver
{
public:
  explicit ChaosDriver(std::uint64_t aSeed, LedgerOptions aOptions = Options());

  static LedgerOptions Options();

  /** Does one fault, or lets some time pass. */
  void Fault(const ChaosCommand& aCommand);
  /** Ends all faults and runs until each shard is served. */
  void Settle();
  /** Returns some live member that the present member list names. */
  MemberId Gateway(std::uint32_t aChoice) const;
  /** Returns how many shards are served now. */
  std::uint64_t Served() const;

  TestCluster& Cluster() { return mCluster; }

private:
  void Lose(MemberId aMember);
  void Replace();
  void Drain(MemberId aMember);
  /** Ends the draining entries that hold nothing more: that is no loss. */
  void EndDrained();
  std::vector<MemberId> Members() const;

  TestCluster mCluster;
  std::set<MemberId> mFrozen;
  std::set<MemberId> mCut;
  std::set<MemberId> mDraining;
  /** Members that are out of order and will be taken off the list. */
  std::set<MemberId> mLost;
  int mLossesAllowed;
  int mLossesLeft;
  std::uint32_t mNextDomain = 0;
};

} // namespace peridotspool::ledger
