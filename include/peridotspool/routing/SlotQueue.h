#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/routing/SlotQueueOptions.h"
#include "peridotspool/routing/WaitingSend.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace peridotspool::routing {

/**
 * The sends that wait for slots of one upstream. Those that can still start in
 * time are served before those that can't; then by priority, by the customers'
 * virtual times (start-time fair queueing) and by latest start. While higher
 * priorities wait, each lower one keeps a share of the starts.
 *
 * A customer without waiting sends keeps no claim but a quantum: it starts at
 * most four sends before the virtual time of those that are served when it
 * returns.
 *
 * Does no I/O and reads no clock. Not thread-safe.
 */
class SlotQueue
{
public:
  explicit SlotQueue(SlotQueueOptions aOptions);
  SlotQueue(SlotQueue&&) = default;
  SlotQueue(const SlotQueue&) = delete;

  /** Returns true iff the customer may have one more send in the queue. */
  bool HasRoomFor(const CustomerName& aCustomer) const;
  /**
   * Adds a send. Returns the send that the full queue has no room for: the last
   * one in order, which may be the added one.
   */
  std::optional<WaitingSend> Push(WaitingSend aSend, TimePoint aNow);
  /** Removes and returns the next send to start; empty iff none waits. */
  std::optional<WaitingSend> Pop(TimePoint aNow);
  /** Returns false iff the send doesn't wait. */
  bool Remove(const Address& aEntry, std::uint64_t aTag);
  /** Removes the sends of an entry. */
  void RemoveEntry(const Address& aEntry);
  bool Contains(const Address& aEntry, std::uint64_t aTag) const;
  /** Returns the waiting sends, each with the expected number of starts up to
   * and including its own, the next one first. */
  std::vector<std::pair<WaitingSend, double>> Expected(TimePoint aNow) const;
  /** Returns the expected starts up to that of a send that would be added. */
  double ExpectedStarts(const WaitingSend& aSend, TimePoint aNow) const;
  /** Returns the same for a send that can't start in time any more. */
  double ExpectedLateStarts(TimePoint aNow) const;
  std::vector<WaitingSend> TakeAll();

  std::size_t Size() const { return mWaiting.size(); }
  std::size_t AccountCount() const { return mAccounts.size(); }

private:
  static constexpr std::size_t kPriorities = 10;
  using AccountKey = std::pair<std::uint32_t, CustomerName>;
  /** A customer's sends of one priority. */
  struct Account
  {
    /** Virtual time at which its last started send is paid for. */
    double mFinish = 0.0;
    std::size_t mWaiting = 0;
  };
  struct Item
  {
    WaitingSend mSend;
    Account* mAccount = nullptr;
    std::uint64_t mNumber = 0;
  };
  struct Place
  {
    bool mIsLate = false;
    std::uint32_t mPriority = 0;
    double mStartTag = 0.0;
    TimePoint mLatestStart;
    std::uint64_t mNumber = 0;
    const WaitingSend* mSend = nullptr;
    /** Null for a customer without waiting sends. */
    const Account* mAccount = nullptr;

    auto operator<=>(const Place&) const = default;
  };

  void Erase(std::size_t aIndex);
  void PruneAccounts(std::uint32_t aPriority);
  double StartTag(const Account* aAccount, const WaitingSend& aSend) const;
  Place PlaceOf(const Item& aItem, TimePoint aNow) const;
  std::optional<std::uint32_t> TakeReservedStart();
  void RecordLateShare(bool aIsLate, TimePoint aNow);
  double ReservedShare(std::size_t aPriorities) const;
  std::vector<Place> ProjectedOrder(std::vector<Place> aPlaces) const;
  std::vector<double> StartsOf(const std::vector<Place>& aOrder) const;

  SlotQueueOptions mOptions;
  std::vector<Item> mWaiting;
  std::map<AccountKey, Account> mAccounts;
  std::array<double, kPriorities> mVirtualTimes{};
  /** Reserved starts that are due to each priority. */
  std::array<double, kPriorities> mReserved{};
  /** Of the starts while late sends waited, the share that they had. */
  double mLateShare = 1.0;
  std::uint64_t mLastNumber = 0;
};

} // namespace peridotspool::routing
