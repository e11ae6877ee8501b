#pragma once

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>

namespace peridotspool::runtime {

/**
 * Joins two duties' threads: a queue with a bound, for any number of writers
 * and readers. A writer chooses between being turned away when it is full
 * (what may be lost or refused) and waiting (what may not).
 */
template<typename T>
class BoundedRing
{
public:
  explicit BoundedRing(std::size_t aSlots)
    : mSlots(aSlots)
  {
  }

  /** Returns false, and leaves the ring as it was, iff it is full or closed. */
  bool TryPush(T aItem)
  {
    {
      const std::lock_guard lock(mMutex);
      if (mClosed || mItems.size() >= mSlots) {
        return false;
      }
      mItems.push_back(std::move(aItem));
    }
    mFilled.notify_one();
    return true;
  }

  /** Waits for a free slot; returns false iff the ring was closed. */
  bool Push(T aItem)
  {
    {
      std::unique_lock lock(mMutex);
      mFreed.wait(lock, [&] { return mClosed || mItems.size() < mSlots; });
      if (mClosed) {
        return false;
      }
      mItems.push_back(std::move(aItem));
    }
    mFilled.notify_one();
    return true;
  }

  /** Returns the oldest item, or empty after aWait or once closed and empty. */
  std::optional<T> Pop(std::chrono::microseconds aWait)
  {
    std::optional<T> item;
    {
      std::unique_lock lock(mMutex);
      mFilled.wait_for(lock, aWait, [&] { return mClosed || !mItems.empty(); });
      if (mItems.empty()) {
        return std::nullopt;
      }
      item.emplace(std::move(mItems.front()));
      mItems.pop_front();
    }
    mFreed.notify_one();
    return item;
  }

  /** Lets all waiting writers and readers go; what is queued can be read. */
  void Close()
  {
    {
      const std::lock_guard lock(mMutex);
      mClosed = true;
    }
    mFilled.notify_all();
    mFreed.notify_all();
  }

  bool Closed() const
  {
    const std::lock_guard lock(mMutex);
    return mClosed;
  }

private:
  const std::size_t mSlots;
  mutable std::mutex mMutex;
  std::condition_variable mFilled;
  std::condition_variable mFreed;
  std::deque<T> mItems;
  bool mClosed = false;
};

} // namespace peridotspool::runtime
