#pragma once

#include "fakes/support/Journal.h"
#include "fakes/support/UpstreamOptions.h"
#include "peridotspool/http/HttpClient.h"

#include <condition_variable>
#include <fstream>
#include <functional>
#include <mutex>
#include <thread>

namespace peridotspool::fakes {

/** What an upstream reports of its load. */
struct LoadReport
{
  std::uint32_t mRunning = 0;
  std::uint32_t mWaiting = 0;
};

/**
 * Announces an upstream to one entry that answers, on a thread of its own, and
 * goes on to the next entry when one does not.
 */
class Announcer
{
public:
  Announcer(const UpstreamOptions& aOptions,
            std::string aKind,
            Address aSelf,
            std::function<LoadReport()> aLoad)
    : mOptions(aOptions)
    , mKind(std::move(aKind))
    , mSelf(aOptions.mAnnounceAs.empty() ? ToText(aSelf) : aOptions.mAnnounceAs)
    , mLoad(std::move(aLoad))
    , mClient({ .mConnectTimeout = std::chrono::milliseconds(300),
                .mSilenceTimeout = std::chrono::milliseconds(500) },
              [this](auto aCall, auto aEvent) { OnEvent(aCall, aEvent); })
  {
    for (const std::string& entry : aOptions.mAnnounceTo) {
      if (const auto address = ParseAddress(entry)) {
        mEntries.push_back(*address);
      }
    }
    std::getline(std::ifstream(aOptions.mKeyFile) >> std::ws, mKey);
    mIncarnation =
      aOptions.mIncarnation != 0 ? aOptions.mIncarnation : WallClockMs();
    mThread = std::thread([this] { Run(); });
  }

  ~Announcer()
  {
    {
      const std::lock_guard lock(mMutex);
      mStopped = true;
    }
    mWake.notify_all();
    mThread.join();
    mClient.Stop();
  }
  Announcer(const Announcer&) = delete;
  Announcer& operator=(const Announcer&) = delete;

  /** From now on announces that the upstream is leaving, at once first. */
  void Leave()
  {
    {
      const std::lock_guard lock(mMutex);
      mLeaving = true;
      mDueNow = true;
    }
    mWake.notify_all();
  }

private:
  void Run()
  {
    std::unique_lock lock(mMutex);
    while (!mStopped && !mEntries.empty()) {
      mDueNow = false;
      AnnounceOnce(lock);
      mWake.wait_for(lock, std::chrono::milliseconds(mOptions.mRenewMs), [&] {
        return mStopped || mDueNow;
      });
    }
  }

  /** Tries each entry once, from the one that answered last. */
  void AnnounceOnce(std::unique_lock<std::mutex>& aLock)
  {
    for (std::size_t tried = 0; tried < mEntries.size() && !mStopped; ++tried) {
      const http::ClientCallId call = ++mCall;
      mEnded = false;
      mAccepted = false;
      http::HttpRequest request = Request();
      const Address entry = mEntries[mEntry];
      aLock.unlock();
      mClient.Start(call, entry, std::move(request));
      aLock.lock();
      mWake.wait(aLock, [&] { return mEnded; });
      if (mAccepted) {
        return;
      }
      mEntry = (mEntry + 1) % mEntries.size();
    }
  }

  http::HttpRequest Request()
  {
    const LoadReport load = mLoad();
    json::object body{ { "name", mOptions.mName },
                       { "incarnation", mIncarnation },
                       { "sequence", ++mSequence },
                       { "service", mOptions.mService },
                       { "kind", mKind },
                       { "state", mLeaving ? "leaving" : "serving" },
                       { "domain", mOptions.mDomain },
                       { "address", mSelf },
                       { "slots", mOptions.mSlots },
                       { "price_micros_per_hour",
                         mOptions.mPriceMicrosPerHour },
                       { "reclaimable", mOptions.mReclaimable },
                       { "checks_fencing", mOptions.mChecksFencing },
                       { "running", load.mRunning },
                       { "waiting", load.mWaiting },
                       { "first_token_ms", mOptions.mFirstTokenMs },
                       { "token_gap_ms", mOptions.mTokenMs },
                       { "models", json::value_from(mOptions.mModels) },
                       { "lease_ms", mOptions.mLeaseMs } };
    return { .mMethod = "POST",
             .mPath = "/v1/upstreams",
             .mHeaders = { { "authorization", "Bearer " + mKey },
                           { "content-type", "application/json" } },
             .mBody = json::serialize(body) };
  }

  void OnEvent(http::ClientCallId aCall, const http::CallEvent& aEvent)
  {
    const std::lock_guard lock(mMutex);
    if (aCall != mCall) {
      return;
    }
    if (const auto* head = std::get_if<http::CallHead>(&aEvent)) {
      mAccepted = head->mStatus / 100 == 2;
      return;
    }
    if (std::holds_alternative<http::CallPiece>(aEvent)) {
      return;
    }
    mAccepted = mAccepted && std::holds_alternative<http::CallDone>(aEvent);
    mEnded = true;
    mWake.notify_all();
  }

  const UpstreamOptions mOptions;
  const std::string mKind;
  const std::string mSelf;
  const std::function<LoadReport()> mLoad;
  std::vector<Address> mEntries;
  std::string mKey;
  std::int64_t mIncarnation = 0;
  std::mutex mMutex;
  std::condition_variable mWake;
  bool mStopped = false;
  bool mLeaving = false;
  bool mDueNow = false;
  bool mEnded = false;
  bool mAccepted = false;
  std::uint64_t mSequence = 0;
  std::size_t mEntry = 0;
  http::ClientCallId mCall = 0;
  http::HttpClient mClient;
  std::thread mThread;
};

} // namespace peridotspool::fakes
