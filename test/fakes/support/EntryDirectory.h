#pragma once

#include "fakes/support/BlockingClient.h"
#include "fakes/support/Json.h"
#include "fakes/support/UpstreamOptions.h"

#include <condition_variable>
#include <thread>
#include <vector>

namespace peridotspool::fakes {

/**
 * The entries to use, asked of the entries themselves and kept for as long as
 * they say. A thread of its own asks again. Thread-safe.
 */
class EntryDirectory
{
public:
  explicit EntryDirectory(std::vector<Address> aSeeds)
    : mSeeds(aSeeds)
    , mEntries(std::move(aSeeds))
  {
    Ask();
    mThread =
      std::jthread([this](const std::stop_token& aStop) { AskAgain(aStop); });
  }

  ~EntryDirectory()
  {
    mThread.request_stop();
    mThread.join();
  }
  EntryDirectory(const EntryDirectory&) = delete;
  EntryDirectory& operator=(const EntryDirectory&) = delete;

  /** Returns the entry for a turn; the next turn gives the next one. */
  Address Entry(std::size_t aTurn) const
  {
    const std::lock_guard lock(mMutex);
    return mEntries[aTurn % mEntries.size()];
  }

private:
  void AskAgain(const std::stop_token& aStop)
  {
    std::unique_lock lock(mWaitMutex);
    while (!mWait.wait_for(
      lock, aStop, mKeep, [&] { return aStop.stop_requested(); })) {
      Ask();
    }
  }

  void Ask()
  {
    std::vector<Address> asked = Known();
    asked.insert(asked.end(), mSeeds.begin(), mSeeds.end());
    for (const Address& entry : asked) {
      const auto answer =
        mClient.Call(entry,
                     { .mMethod = "GET", .mPath = "/v1/entries" },
                     std::chrono::milliseconds(1000));
      if (answer && answer->mStatus == 200 && Take(answer->mBody)) {
        return;
      }
    }
  }

  std::vector<Address> Known() const
  {
    const std::lock_guard lock(mMutex);
    return mEntries;
  }

  bool Take(const std::string& aBody)
  {
    const auto body = ParseObject(aBody);
    const json::value* list = body ? body->if_contains("entries") : nullptr;
    if (list == nullptr || !list->is_array()) {
      return false;
    }
    std::vector<Address> entries;
    for (const json::value& entry : list->as_array()) {
      const auto address =
        entry.is_object() ? ParseAddress(TextOf(entry.as_object(), "address"))
                          : std::nullopt;
      if (address) {
        entries.push_back(*address);
      }
    }
    if (entries.empty()) {
      return false;
    }
    mKeep = std::chrono::milliseconds(
      std::clamp<std::int64_t>(NumberOf(*body, "keep_ms", 1000), 100, 60000));
    const std::lock_guard lock(mMutex);
    mEntries = std::move(entries);
    return true;
  }

  const std::vector<Address> mSeeds;
  mutable std::mutex mMutex;
  std::vector<Address> mEntries;
  std::chrono::milliseconds mKeep{ 1000 };
  BlockingClient mClient;
  std::mutex mWaitMutex;
  std::condition_variable_any mWait;
  std::jthread mThread;
};

} // namespace peridotspool::fakes
