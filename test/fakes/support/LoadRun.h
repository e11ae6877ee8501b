#pragma once

#include "fakes/support/EntryDirectory.h"
#include "fakes/support/LoadOptions.h"
#include "fakes/support/LoadRequest.h"

#include <fstream>
#include <memory>
#include <thread>
#include <vector>

namespace peridotspool::fakes {

/**
 * Sends requests at a rate and follows each to its end, through other entries
 * where one fails, as a caller would.
 */
class LoadRun
{
public:
  explicit LoadRun(const LoadOptions& aOptions)
    : mOptions(aOptions)
    , mIsDirect(!aOptions.mDirect.empty())
    , mClient(
        { .mConnectTimeout = std::chrono::milliseconds(500),
          .mSilenceTimeout = std::chrono::milliseconds(aOptions.mSilenceMs) },
        [this](auto aCall, auto aEvent) { OnEvent(aCall, aEvent); })
  {
    std::getline(std::ifstream(aOptions.mKeyFile) >> std::ws, mKey);
    if (!mIsDirect) {
      std::vector<Address> seeds;
      for (const std::string& entry : aOptions.mEntries) {
        seeds.push_back(ParseAddress(entry).value());
      }
      mEntries = std::make_unique<EntryDirectory>(seeds);
    }
  }

  /** Returns once every request has ended. */
  void Run()
  {
    const auto begin = LoadClock::now();
    while (Step(begin)) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    mClient.Stop();
  }

  const std::vector<std::unique_ptr<LoadRequest>>& Requests() const
  {
    return mRequests;
  }
  std::uint64_t Reattached() const { return mReattached; }
  std::uint64_t Resubmitted() const { return mResubmitted; }
  std::uint64_t Restarted() const { return mRestarted; }

private:
  static constexpr std::chrono::milliseconds kRetryDelay{ 50 };
  static constexpr std::chrono::seconds kDeadlineGrace{ 10 };

  /** Starts what is due; returns true iff there is more to do. */
  bool Step(LoadClock::time_point aBegin)
  {
    const std::lock_guard lock(mMutex);
    const double due =
      std::chrono::duration<double>(LoadClock::now() - aBegin).count() *
      mOptions.mRate;
    while (mRequests.size() < mOptions.mCount &&
           static_cast<double>(mRequests.size()) <= due) {
      Begin(mRequests.size());
    }
    ConnectAgain();
    return mRequests.size() < mOptions.mCount || mOpen > 0;
  }

  void Begin(std::uint64_t aNumber)
  {
    auto request = std::make_unique<LoadRequest>();
    request->mKey = mOptions.mPrefix + "-" + std::to_string(aNumber);
    request->mStreamed = static_cast<double>(HashOf(request->mKey) % 1000) <
                         mOptions.mStreamedShare * 1000.0;
    request->mTurn = aNumber;
    request->mBegin = LoadClock::now();
    request->mTokens = mOptions.mTokens;
    if (request->mStreamed) {
      std::string prompt = "fault log " + request->mKey + ": ";
      prompt.resize(std::max(prompt.size(), mOptions.mPromptBytes), 'x');
      request->mBody = { { "prompt", prompt },
                         { "max_tokens", mOptions.mTokens } };
    } else {
      request->mBody = { { "order", request->mKey }, { "reel", aNumber } };
    }
    ++mOpen;
    Connect(*request);
    mRequests.push_back(std::move(request));
  }

  void Connect(LoadRequest& aRequest)
  {
    aRequest.mCall = ++mLastCall;
    aRequest.mStatus = 0;
    aRequest.mAnswer.clear();
    aRequest.mParser = http::SseParser();
    mByCall[aRequest.mCall] = &aRequest;
    const Address peer = PeerOf(aRequest);
    mClient.Start(aRequest.mCall,
                  peer,
                  mIsDirect             ? DirectRequest(aRequest)
                  : aRequest.mSubmitted ? AttachRequest(aRequest)
                                        : SubmitRequest(aRequest));
  }

  Address PeerOf(const LoadRequest& aRequest) const
  {
    if (!mIsDirect) {
      return mEntries->Entry(aRequest.mTurn);
    }
    return ParseAddress(aRequest.mStreamed ? mOptions.mDirect
                                           : mOptions.mDirectService)
      .value_or(Address{});
  }

  http::HeaderFields CommonHeaders(const LoadRequest& aRequest) const
  {
    return { { "authorization", "Bearer " + mKey },
             { "accept",
               aRequest.mStreamed ? "text/event-stream"
                                  : "application/json" } };
  }

  http::HttpRequest SubmitRequest(LoadRequest& aRequest) const
  {
    http::HttpRequest request;
    request.mMethod = "POST";
    request.mPath =
      "/v1/services/" +
      (aRequest.mStreamed ? mOptions.mService : mOptions.mPlainService) +
      "/requests";
    request.mHeaders = CommonHeaders(aRequest);
    request.mHeaders["idempotency-key"] = aRequest.mKey;
    request.mHeaders["x-deadline-ms"] = std::to_string(mOptions.mDeadlineMs);
    request.mHeaders["x-idempotent"] = aRequest.mStreamed ? "true" : "false";
    request.mHeaders["content-type"] = "application/json";
    request.mBody = json::serialize(aRequest.mBody);
    return request;
  }

  http::HttpRequest AttachRequest(LoadRequest& aRequest) const
  {
    http::HttpRequest request;
    request.mMethod = "GET";
    request.mPath = "/v1/requests/" + aRequest.mKey;
    request.mHeaders = CommonHeaders(aRequest);
    if (!aRequest.mLastId.empty()) {
      request.mHeaders["last-event-id"] = aRequest.mLastId;
    }
    return request;
  }

  static http::HttpRequest DirectRequest(const LoadRequest& aRequest)
  {
    json::object body = aRequest.mStreamed
                          ? aRequest.mBody
                          : json::object{ { "body", aRequest.mBody } };
    body["request"] = aRequest.mKey;
    body["attempt"] = 1;
    return { .mMethod = "POST",
             .mPath = aRequest.mStreamed ? "/engine/generate" : "/service/call",
             .mBody = json::serialize(body) };
  }

  void OnEvent(http::ClientCallId aCall, const http::CallEvent& aEvent)
  {
    const std::lock_guard lock(mMutex);
    const auto found = mByCall.find(aCall);
    if (found == mByCall.end() || found->second->mCall != aCall) {
      return;
    }
    LoadRequest& request = *found->second;
    if (const auto* head = std::get_if<http::CallHead>(&aEvent)) {
      request.mStatus = head->mStatus;
    } else if (const auto* piece = std::get_if<http::CallPiece>(&aEvent)) {
      OnPiece(request, piece->mBytes);
    } else {
      mByCall.erase(found);
      OnConnectionEnd(request, std::holds_alternative<http::CallDone>(aEvent));
    }
  }

  void OnPiece(LoadRequest& aRequest, const std::string& aBytes)
  {
    if (!aRequest.mStreamed || aRequest.mStatus != 200) {
      aRequest.mAnswer += aBytes;
      return;
    }
    LastReason reason;
    const auto events = aRequest.mParser.Feed(aBytes, reason);
    for (const http::SseEvent& event : events.value_or(NoEvents())) {
      if (aRequest.mOutcome.empty()) {
        OnSseEvent(aRequest, event);
      }
    }
  }

  static std::vector<http::SseEvent> NoEvents() { return {}; }

  void OnSseEvent(LoadRequest& aRequest, const http::SseEvent& aEvent)
  {
    const json::object data =
      ParseObject(aEvent.mData).value_or(json::object());
    if (aEvent.mName == "accepted") {
      aRequest.mAccepted = true;
      aRequest.mSubmitted = true;
    } else if (aEvent.mName == "token" && mIsDirect) {
      TakeDirectToken(aRequest, data);
    } else if (aEvent.mName == "token") {
      TakeToken(aRequest, aEvent);
    } else if (aEvent.mName == "restart") {
      // What came before is void: the answer begins anew.
      ++mRestarted;
      aRequest.mText.clear();
      aRequest.mLastId = aEvent.mId.value_or("");
    } else if (aEvent.mName == "done") {
      TakeStreamEnd(aRequest);
      End(aRequest, "whole", "");
    } else if (aEvent.mName != "moved" && aEvent.mName != "message" &&
               !IsToAskAgain(TextOf(data, "reason"))) {
      End(aRequest, aEvent.mName, TextOf(data, "reason"));
    }
  }

  /** The entry could not tell how the request stands; another may. */
  static bool IsToAskAgain(const std::string& aReason)
  {
    return aReason == "moved" || aReason == "not-confirmed" ||
           aReason == "no-such-request";
  }

  static void TakeDirectToken(LoadRequest& aRequest, const json::object& aData)
  {
    if (aRequest.mText.empty()) {
      aRequest.mFirstToken = LoadClock::now();
    }
    aRequest.mText += TextOf(aData, "text");
  }

  void OnConnectionEnd(LoadRequest& aRequest, bool aWhole)
  {
    if (!aRequest.mOutcome.empty()) {
      return;
    }
    const bool isStream = aRequest.mStreamed && aRequest.mStatus == 200;
    if (!aWhole || isStream || aRequest.mStatus == 202) {
      Later(aRequest);
    } else if (aRequest.mStatus == 404 && aRequest.mSubmitted && !mIsDirect) {
      // The entry does not know it: it was not accepted, or is being moved.
      aRequest.mSubmitted = false;
      ++mResubmitted;
      Later(aRequest);
    } else if (aRequest.mStatus != 200 &&
               IsToAskAgain(
                 TextOf(ParseObject(aRequest.mAnswer).value_or(json::object()),
                        "reason"))) {
      Later(aRequest);
    } else {
      OnWholeAnswer(aRequest);
    }
  }

  void OnWholeAnswer(LoadRequest& aRequest)
  {
    const json::object answer =
      ParseObject(aRequest.mAnswer).value_or(json::object());
    if (aRequest.mStatus == 200) {
      TakeResult(aRequest, answer);
      End(aRequest, "whole", "");
      return;
    }
    const std::string ran = TextOf(answer, "ran");
    End(aRequest,
        ran == "no"      ? "refused"
        : ran == "maybe" ? "unknown"
                         : "failed",
        std::to_string(aRequest.mStatus) + " " + TextOf(answer, "reason"));
  }

  void Later(LoadRequest& aRequest)
  {
    if (mIsDirect) {
      End(aRequest, "failed", "connection");
      return;
    }
    aRequest.mCall = 0;
    ++aRequest.mTurn;
    aRequest.mRetryAt = LoadClock::now() + kRetryDelay;
  }

  void ConnectAgain()
  {
    const auto now = LoadClock::now();
    const auto patience =
      std::chrono::milliseconds(mOptions.mDeadlineMs) + kDeadlineGrace;
    for (const auto& request : mRequests) {
      if (!request->mOutcome.empty()) {
        continue;
      }
      if (now > request->mBegin + patience) {
        End(*request, request->mAccepted ? "lost" : "failed", "no end came");
      } else if (request->mCall == 0 && now >= request->mRetryAt) {
        ++mReattached;
        Connect(*request);
      }
    }
  }

  void End(LoadRequest& aRequest,
           const std::string& aOutcome,
           const std::string& aReason)
  {
    --mOpen;
    aRequest.mEnd = LoadClock::now();
    aRequest.mOutcome = aOutcome;
    aRequest.mReason = aReason;
    if (aOutcome == "whole" && !mIsDirect && !mOptions.mNoAck) {
      mClient.Start(++mLastCall,
                    PeerOf(aRequest),
                    { .mMethod = "POST",
                      .mPath = "/v1/requests/" + aRequest.mKey + "/ack",
                      .mHeaders = CommonHeaders(aRequest) });
    }
  }

  const LoadOptions mOptions;
  const bool mIsDirect;
  std::string mKey;
  std::unique_ptr<EntryDirectory> mEntries;
  std::mutex mMutex;
  std::vector<std::unique_ptr<LoadRequest>> mRequests;
  std::map<http::ClientCallId, LoadRequest*> mByCall;
  http::ClientCallId mLastCall = 0;
  std::size_t mOpen = 0;
  std::uint64_t mReattached = 0;
  std::uint64_t mResubmitted = 0;
  std::uint64_t mRestarted = 0;
  http::HttpClient mClient;
};

} // namespace peridotspool::fakes
