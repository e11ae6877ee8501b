#include "peridotspool/routing/CustomerShares.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace peridotspool::routing {

namespace {

/** Long enough for a customer to have sent several large prompts to one engine,
 * and short enough that a burst is forgotten soon after it ended. */
constexpr double kHalfLifeSeconds = 10.0;
/** One large prompt with its answer; a single request puts no customer over its
 * share. */
constexpr double kQuantumTokens = 20000.0;
/** Less is not worth a counter. */
constexpr double kNegligibleTokens = 100.0;
/** Bounds what one message may charge. */
constexpr std::uint64_t kMaxSendTokens = 10000000;
/** Bounds the memory that messages of other processes can allocate here. */
constexpr std::size_t kMaxCustomers = 64;
constexpr double kMaxPercent = 10000.0;

double
TokensOf(std::uint64_t aTokens)
{
  return static_cast<double>(std::min(aTokens, kMaxSendTokens));
}

double
WeightOf(const SendAccount& aAccount)
{
  return std::isfinite(aAccount.mWeight) && aAccount.mWeight > 0.0
           ? aAccount.mWeight
           : 1.0;
}

double
DecayFactor(TimePoint aFrom, TimePoint aTo)
{
  const double seconds =
    std::max(0.0, std::chrono::duration<double>(aTo - aFrom).count());
  return std::exp2(-seconds / kHalfLifeSeconds);
}

} // namespace

void
CustomerShares::DecayTo(TimePoint aNow)
{
  const double factor = DecayFactor(mDecayedAt, aNow);
  mDecayedAt = std::max(mDecayedAt, aNow);
  for (auto& [name, counter] : mCounters) {
    counter.mVirtual *= factor;
  }
  std::erase_if(mCounters, [](const auto& aPair) {
    const Counter& counter = aPair.second;
    return counter.mRunning == 0 &&
           counter.mVirtual * counter.mWeight < kNegligibleTokens;
  });
}

// The customer that used the least loses the least by being forgotten.
void
CustomerShares::MakeRoom()
{
  if (mCounters.size() < kMaxCustomers) {
    return;
  }
  const auto tokens = [](const auto& aPair) {
    return aPair.second.mVirtual * aPair.second.mWeight;
  };
  mCounters.erase(std::min_element(mCounters.begin(),
                                   mCounters.end(),
                                   [&](const auto& aOne, const auto& aTwo) {
                                     return tokens(aOne) < tokens(aTwo);
                                   }));
}

// Returns the least value of the counter of a customer that becomes active.
// What others have in flight is not counted, or else a customer with many
// waiting requests would look no different from one that sends its first.
double
CustomerShares::FloorFor(double aWeight) const
{
  double least = std::numeric_limits<double>::infinity();
  for (const auto& [name, counter] : mCounters) {
    if (counter.mRunning > 0) {
      const double served =
        counter.mVirtual - counter.mTokensInFlight / counter.mWeight;
      least = std::min(least, served);
    }
  }
  return std::isfinite(least) ? std::max(0.0, least - kQuantumTokens / aWeight)
                              : 0.0;
}

void
CustomerShares::Start(const SendAccount& aAccount, TimePoint aNow)
{
  DecayTo(aNow);
  const double weight = WeightOf(aAccount);
  auto found = mCounters.find(aAccount.mCustomer);
  if (found == mCounters.end()) {
    MakeRoom();
    found = mCounters.try_emplace(aAccount.mCustomer).first;
  }
  Counter& counter = found->second;
  if (counter.mRunning == 0) {
    counter.mVirtual = std::max(counter.mVirtual, FloorFor(weight));
  }
  counter.mWeight = weight;
  counter.mVirtual += TokensOf(aAccount.mTokens) / weight;
  counter.mTokensInFlight += TokensOf(aAccount.mTokens);
  ++counter.mRunning;
}

void
CustomerShares::End(const SendAccount& aAccount,
                    std::uint64_t aUsedTokens,
                    TimePoint aStartedAt,
                    TimePoint aNow)
{
  DecayTo(aNow);
  const auto found = mCounters.find(aAccount.mCustomer);
  if (found == mCounters.end()) {
    return;
  }
  Counter& counter = found->second;
  counter.mRunning -= counter.mRunning > 0 ? 1 : 0;
  counter.mTokensInFlight =
    counter.mRunning == 0
      ? 0.0
      : std::max(0.0, counter.mTokensInFlight - TokensOf(aAccount.mTokens));
  const double correction =
    (TokensOf(aUsedTokens) - TokensOf(aAccount.mTokens)) / WeightOf(aAccount);
  counter.mVirtual = std::max(
    0.0, counter.mVirtual + correction * DecayFactor(aStartedAt, aNow));
}

std::uint32_t
CustomerShares::Percent(const SendAccount& aAccount, TimePoint aNow) const
{
  const auto own = mCounters.find(aAccount.mCustomer);
  if (own == mCounters.end()) {
    return 0;
  }
  double weights = 0.0;
  double tokens = 0.0;
  for (const auto& [name, counter] : mCounters) {
    if (counter.mRunning > 0 || name == aAccount.mCustomer) {
      weights += counter.mWeight;
      tokens += counter.mVirtual * counter.mWeight;
    }
  }
  const double factor = DecayFactor(mDecayedAt, aNow);
  const double used = own->second.mVirtual * own->second.mWeight * factor;
  const double share = own->second.mWeight / weights * tokens * factor;
  if (share <= 0.0 || used <= kQuantumTokens) {
    return 0;
  }
  return static_cast<std::uint32_t>(
    std::min(kMaxPercent, 100.0 * (used - kQuantumTokens) / share));
}

} // namespace peridotspool::routing
