#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/routing/SendAccount.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace peridotspool::routing {

/**
 * Counts what each customer used of one upstream lately, by virtual token
 * counters: tokens divided by the customer's weight, halved every few seconds.
 * A customer that was idle starts one quantum behind the active customer that
 * was served the least, so it has no stored credit.
 *
 * Does no I/O and reads no clock. Not thread-safe.
 */
class CustomerShares
{
public:
  /** Charges a send's expected tokens to its customer. */
  void Start(const SendAccount& aAccount, TimePoint aNow);
  /** Corrects the charge of a send that has ended to the tokens it used. */
  void End(const SendAccount& aAccount,
           std::uint64_t aUsedTokens,
           TimePoint aStartedAt,
           TimePoint aNow);
  /**
   * Returns what the customer used lately, in percent of its share among the
   * customers with sends in flight; a single large request doesn't count.
   */
  std::uint32_t Percent(const SendAccount& aAccount, TimePoint aNow) const;

  std::size_t CustomerCount() const { return mCounters.size(); }

private:
  struct Counter
  {
    /** Tokens divided by the weight, as of mDecayedAt. */
    double mVirtual = 0.0;
    double mWeight = 1.0;
    /** Charged for sends in flight. */
    double mTokensInFlight = 0.0;
    /** Sends in flight. */
    std::uint32_t mRunning = 0;
  };

  void DecayTo(TimePoint aNow);
  void MakeRoom();
  double FloorFor(double aWeight) const;

  std::unordered_map<CustomerName, Counter> mCounters;
  TimePoint mDecayedAt;
};

} // namespace peridotspool::routing
