#pragma once

#include "peridotspool/http/HttpClient.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace peridotspool::fakes {

/** Calls an HTTP peer and waits for its whole answer. Thread-safe. */
class BlockingClient
{
public:
  BlockingClient()
    : mClient(
        { .mConnectTimeout = std::chrono::milliseconds(500) },
        [this](auto aCall, auto aEvent) { OnEvent(aCall, std::move(aEvent)); })
  {
  }

  /** Returns the answer, or empty if none came whole. */
  std::optional<http::HttpResponse> Call(
    const Address& aPeer,
    http::HttpRequest aRequest,
    std::chrono::milliseconds aPatience = std::chrono::seconds(5))
  {
    std::unique_lock lock(mMutex);
    const http::ClientCallId call = ++mLastCall;
    mOpen[call];
    lock.unlock();
    mClient.Start(call, aPeer, std::move(aRequest), aPatience);
    lock.lock();
    mChanged.wait(lock, [&] { return mOpen[call].mEnded; });
    auto node = mOpen.extract(call);
    return node.mapped().mWhole ? std::optional(node.mapped().mResponse)
                                : std::nullopt;
  }

private:
  struct Open
  {
    http::HttpResponse mResponse;
    bool mWhole = false;
    bool mEnded = false;
  };

  void OnEvent(http::ClientCallId aCall, http::CallEvent aEvent)
  {
    const std::lock_guard lock(mMutex);
    Open& open = mOpen[aCall];
    if (auto* head = std::get_if<http::CallHead>(&aEvent)) {
      open.mResponse.mStatus = head->mStatus;
      open.mResponse.mHeaders = std::move(head->mHeaders);
    } else if (auto* piece = std::get_if<http::CallPiece>(&aEvent)) {
      open.mResponse.mBody += piece->mBytes;
    } else {
      open.mWhole = std::holds_alternative<http::CallDone>(aEvent);
      open.mEnded = true;
      mChanged.notify_all();
    }
  }

  std::mutex mMutex;
  std::condition_variable mChanged;
  std::map<http::ClientCallId, Open> mOpen;
  http::ClientCallId mLastCall = 0;
  http::HttpClient mClient;
};

} // namespace peridotspool::fakes
