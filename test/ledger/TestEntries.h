#pragma once

#include "ledger/TestCluster.h"

namespace peridotspool::ledger {

/** Entries in four failure domains, settled with every shard served. */
class TestEntries
{
public:
  explicit TestEntries(int aPerDomain = 1, LedgerOptions aOptions = {});

  /** Removes the members from the list, adds as many new ones and publishes. */
  void Replace(const std::vector<MemberId>& aLost);
  /** Runs until every shard is served; throws if that does not happen. */
  void Settle();
  /** Accepts `aCount` orders through the entries in turn; returns the keys. */
  std::vector<RequestKey> AcceptMany(int aCount);
  /** Returns the number of requests that a live entry can still read. */
  int CountReadable(const std::vector<RequestKey>& aKeys);
  /** Returns the sum of a counter over the live entries. */
  std::uint64_t Sum(std::uint64_t LedgerCounters::*aCounter) const;
  /** Returns a live member of the list that is not among `aOthers`. */
  MemberId Other(const std::vector<MemberId>& aOthers) const;

  TestCluster mCluster;
  std::vector<MemberId> mIds;

private:
  int mNextDomain = 0;
  std::string NextDomain();
  /** Returns how many shards the members of the present list serve. */
  std::uint64_t Served() const;
};

} // namespace peridotspool::ledger
