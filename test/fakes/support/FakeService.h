#pragma once

#include "fakes/support/Announcer.h"
#include "fakes/support/Answers.h"
#include "peridotspool/http/HttpServer.h"

#include <csignal>
#include <map>
#include <mutex>
#include <vector>

namespace peridotspool::fakes {

struct ServiceOptions
{
  UpstreamOptions mUpstream;
  std::size_t mMaxWaiting = 256;
  /** Fault: share of calls that run and then answer 500. */
  double mFailAfterRunRate = 0.0;
  /** Fault: the process kills itself as the call of this number has run. */
  std::int64_t mDieAfter = -1;
  /** Fault: calls from this number on run and are never answered. */
  std::int64_t mSilentAfter = -1;
};

inline void
AddServiceOptions(CLI::App& aApp, ServiceOptions& aOptions)
{
  AddUpstreamOptions(aApp, aOptions.mUpstream);
  aApp.add_option("--max-waiting", aOptions.mMaxWaiting);
  aApp.add_option(
    "--fail-after-run-rate", aOptions.mFailAfterRunRate, "fault: share");
  aApp.add_option("--die-after", aOptions.mDieAfter, "fault: calls");
  aApp.add_option("--silent-after", aOptions.mSilentAfter, "fault: calls");
}

/** A plain service: each call runs as often as it is made, and says so. */
class FakeService
{
public:
  FakeService(const ServiceOptions& aOptions, http::HttpServer& aServer)
    : mOptions(aOptions)
    , mServer(aServer)
    , mJournal(aOptions.mUpstream.mJournal)
  {
  }

  void OnRequest(http::ExchangeId aExchange, const http::HttpRequest& aRequest)
  {
    const std::lock_guard lock(mMutex);
    if (aRequest.mPath == "/service/call") {
      Call(aExchange, aRequest);
    } else if (aRequest.mPath.starts_with("/service/ran/")) {
      const auto ran = mRan.find(aRequest.mPath.substr(13));
      const std::int64_t times = ran == mRan.end() ? 0 : ran->second;
      mServer.Respond(aExchange, JsonAnswer(200, { { "ran", times } }));
    } else {
      mServer.Respond(aExchange, ErrorAnswer(404, "no such path"));
    }
  }

  /** A call goes on without its caller: it may have had its effect. */
  void OnGone(http::ExchangeId) {}

  void Tick()
  {
    const std::lock_guard lock(mMutex);
    const std::int64_t now = WallClockMs();
    std::erase_if(mRunning, [&](const Running& aCall) {
      if (now < aCall.mDoneAtMs) {
        return false;
      }
      End(aCall);
      return true;
    });
    while (!mWaiting.empty() && mRunning.size() < mOptions.mUpstream.mSlots) {
      Begin(std::move(mWaiting.front()), now);
      mWaiting.erase(mWaiting.begin());
    }
  }

  LoadReport Load() const
  {
    const std::lock_guard lock(mMutex);
    return { .mRunning = static_cast<std::uint32_t>(mRunning.size()),
             .mWaiting = static_cast<std::uint32_t>(mWaiting.size()) };
  }

  bool IsIdle() const
  {
    const std::lock_guard lock(mMutex);
    return mRunning.empty() && mWaiting.empty();
  }

  void NoteLeaving()
  {
    const std::lock_guard lock(mMutex);
    mJournal.Add({ { "what", "leaving" } });
  }

private:
  struct Running
  {
    http::ExchangeId mExchange = 0;
    std::string mRequest;
    std::int64_t mAttempt = 0;
    json::value mBody;
    std::int64_t mDoneAtMs = 0;
  };

  void Call(http::ExchangeId aExchange, const http::HttpRequest& aRequest)
  {
    const auto body = ParseObject(aRequest.mBody);
    if (!body || TextOf(*body, "request").empty()) {
      mServer.Respond(aExchange, ErrorAnswer(400, "request"));
      return;
    }
    Running call{ .mExchange = aExchange,
                  .mRequest = TextOf(*body, "request"),
                  .mAttempt = NumberOf(*body, "attempt") };
    if (const json::value* inner = body->if_contains("body")) {
      call.mBody = *inner;
    }
    if (mWaiting.size() >= mOptions.mMaxWaiting) {
      mServer.Respond(aExchange, DidNotRunAnswer("queue full"));
    } else if (IsUnlucky(
                 call.mRequest, call.mAttempt, mOptions.mUpstream.mFailRate)) {
      mServer.Respond(aExchange, DidNotRunAnswer("unlucky"));
    } else {
      mWaiting.push_back(std::move(call));
    }
  }

  void Begin(Running aCall, std::int64_t aNowMs)
  {
    const double work = static_cast<double>(mOptions.mUpstream.mFirstTokenMs) *
                        mOptions.mUpstream.mSlowFactor;
    aCall.mDoneAtMs = aNowMs + static_cast<std::int64_t>(work);
    ++mRan[aCall.mRequest];
    ++mStarted;
    Note("start", aCall);
    mRunning.push_back(std::move(aCall));
  }

  void End(const Running& aCall)
  {
    Note("finish", aCall);
    if (mOptions.mDieAfter >= 0 && mStarted > mOptions.mDieAfter) {
      ::kill(::getpid(), SIGKILL);
    }
    if (mOptions.mSilentAfter >= 0 && mStarted > mOptions.mSilentAfter) {
      return;
    }
    if (IsUnlucky(aCall.mRequest, -1, mOptions.mFailAfterRunRate)) {
      mServer.Respond(aCall.mExchange, ErrorAnswer(500, "failed after it ran"));
      return;
    }
    const std::string text = json::serialize(aCall.mBody);
    mServer.Respond(aCall.mExchange,
                    JsonAnswer(200,
                               { { "request", aCall.mRequest },
                                 { "attempt", aCall.mAttempt },
                                 { "result",
                                   { { "ticket", "T-" + HexOf(HashOf(text)) },
                                     { "runs", mRan[aCall.mRequest] },
                                     { "body", aCall.mBody } } } }));
  }

  void Note(const char* aWhat, const Running& aCall)
  {
    mJournal.Add({ { "what", aWhat },
                   { "request", aCall.mRequest },
                   { "attempt", aCall.mAttempt },
                   { "body_hash", HexOf(HashOf(json::serialize(aCall.mBody))) },
                   { "body", aCall.mBody } });
  }

  const ServiceOptions mOptions;
  http::HttpServer& mServer;
  mutable std::mutex mMutex;
  Journal mJournal;
  std::vector<Running> mWaiting;
  std::vector<Running> mRunning;
  std::map<std::string, std::int64_t> mRan;
  std::int64_t mStarted = 0;
};

} // namespace peridotspool::fakes
