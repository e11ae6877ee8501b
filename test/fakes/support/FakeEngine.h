#pragma once

#include "fakes/support/Announcer.h"
#include "fakes/support/Answers.h"
#include "fakes/support/EngineEvents.h"
#include "fakes/support/EngineOptions.h"
#include "fakes/support/EngineOrders.h"
#include "fakes/support/EngineStream.h"
#include "fakes/support/PrefixCache.h"
#include "peridotspool/http/HttpServer.h"

#include <csignal>
#include <map>
#include <mutex>

namespace peridotspool::fakes {

/** A model engine's streams and state; Tick makes time pass. */
class FakeEngine
{
public:
  FakeEngine(const EngineOptions& aOptions, http::HttpServer& aServer)
    : mOptions(aOptions)
    , mServer(aServer)
    , mJournal(aOptions.mUpstream.mJournal)
    , mOrders(aOptions.mUpstream.mChecksFencing, aOptions.mUpstream.mModels)
    , mCache(aOptions.mCacheBlocks)
  {
  }

  void OnRequest(http::ExchangeId aExchange, const http::HttpRequest& aRequest)
  {
    const std::lock_guard lock(mMutex);
    const std::string& path = aRequest.mPath;
    const json::object body =
      ParseObject(aRequest.mBody).value_or(json::object());
    if (path == "/engine/generate") {
      Generate(aExchange, body);
    } else if (path == "/engine/resume") {
      Resume(aExchange, body);
    } else if (path == "/engine/cancel") {
      mServer.Respond(aExchange, Cancel(body));
    } else if (path == "/engine/order") {
      mServer.Respond(aExchange, mOrders.Take(body, mJournal));
    } else if (path == "/engine/state") {
      mServer.Respond(aExchange, JsonAnswer(200, mOrders.State()));
    } else if (path == "/engine/load") {
      mServer.Respond(aExchange, LoadAnswer());
    } else if (path == "/engine/cache-events") {
      mServer.Respond(aExchange, CacheEvents(aRequest));
    } else if (path.starts_with("/engine/kv/")) {
      mServer.Respond(aExchange, KvCache(aRequest));
    } else {
      mServer.Respond(aExchange, ErrorAnswer(404, "no such path"));
    }
  }

  void OnGone(http::ExchangeId aExchange)
  {
    const std::lock_guard lock(mMutex);
    for (auto& [name, stream] : mStreams) {
      if (stream.mExchange == aExchange) {
        stream.mExchange = 0;
        stream.mOrphanSinceMs = WallClockMs();
      }
    }
  }

  void Tick()
  {
    const std::lock_guard lock(mMutex);
    const std::int64_t now = WallClockMs();
    StartWaiting(now);
    for (auto at = mStreams.begin(); at != mStreams.end();) {
      EngineStream& stream = at->second;
      MakeTokens(stream, now);
      SendTokens(stream);
      at = IsOver(stream, now) ? mStreams.erase(at) : std::next(at);
    }
  }

  LoadReport Load() const
  {
    const std::lock_guard lock(mMutex);
    return { .mRunning = CountOf(true), .mWaiting = CountOf(false) };
  }

  /** Returns true iff nothing is left to make or to send. */
  bool IsIdle() const
  {
    const std::lock_guard lock(mMutex);
    return std::all_of(mStreams.begin(), mStreams.end(), [](const auto& aItem) {
      return aItem.second.mFinished && aItem.second.mExchange == 0;
    });
  }

  void NoteLeaving()
  {
    const std::lock_guard lock(mMutex);
    mJournal.Add({ { "what", "leaving" } });
  }

private:
  void Generate(http::ExchangeId aExchange, const json::object& aBody)
  {
    EngineStream stream = StreamOf(aBody);
    const std::uint64_t from = stream.mNext;
    if (stream.mName.mRequest.empty() || stream.mMaxTokens == 0) {
      mServer.Respond(aExchange, ErrorAnswer(400, "request or max_tokens"));
    } else if (aBody.contains("prefix_text") &&
               TextOf(aBody, "prefix_text") !=
                 AnswerText(stream.mPrompt, from)) {
      mServer.Respond(aExchange, ErrorAnswer(400, "prefix_text is not mine"));
    } else if (mStreams.contains(stream.mName)) {
      mServer.Respond(aExchange, ErrorAnswer(409, "this attempt exists"));
    } else if (CountOf(false) >= mOptions.mMaxWaiting) {
      mServer.Respond(aExchange, DidNotRunAnswer("queue full"));
    } else if (IsUnlucky(stream.mName.mRequest,
                         stream.mName.mAttempt,
                         mOptions.mUpstream.mFailRate)) {
      mServer.Respond(aExchange, DidNotRunAnswer("unlucky"));
    } else {
      Add(aExchange, std::move(stream));
    }
  }

  EngineStream StreamOf(const json::object& aBody)
  {
    const auto from =
      static_cast<std::uint64_t>(NumberOf(aBody, "resume_from"));
    EngineStream stream;
    stream.mName = { TextOf(aBody, "request"), NumberOf(aBody, "attempt") };
    stream.mPrompt = TextOf(aBody, "prompt");
    stream.mMaxTokens =
      static_cast<std::uint64_t>(NumberOf(aBody, "max_tokens"));
    stream.mPriority = NumberOf(aBody, "priority");
    stream.mNext = from;
    stream.mNextToSend = from;
    return stream;
  }

  void Add(http::ExchangeId aExchange, EngineStream aStream)
  {
    const auto kv = mImportedKv.find(aStream.mName.mRequest);
    const std::uint64_t imported = kv == mImportedKv.end() ? 0 : kv->second;
    aStream.mRecomputedTokens =
      aStream.mNext - std::min(aStream.mNext, imported);
    aStream.mCachedTokens = mCache.Use(aStream.mPrompt, WallClockMs());
    aStream.mOrder = ++mLastOrder;
    Attach(aStream, aExchange, aStream.mNext);
    Note("start", aStream);
    mStreams.emplace(aStream.mName, std::move(aStream));
  }

  void Attach(EngineStream& aStream,
              http::ExchangeId aExchange,
              std::uint64_t aFrom)
  {
    aStream.mExchange = aExchange;
    aStream.mNextToSend = aFrom;
    mServer.BeginStream(
      aExchange, { .mHeaders = { { "content-type", "text/event-stream" } } });
  }

  void Resume(http::ExchangeId aExchange, const json::object& aBody)
  {
    const AttemptName name{ TextOf(aBody, "request"),
                            NumberOf(aBody, "attempt") };
    const auto found = mStreams.find(name);
    const auto from = static_cast<std::uint64_t>(NumberOf(aBody, "from"));
    if (found == mStreams.end() || from > found->second.mNext) {
      mServer.Respond(aExchange, ErrorAnswer(404, "no such stream"));
      return;
    }
    EngineStream& stream = found->second;
    if (stream.mExchange != 0) {
      mServer.EndStream(stream.mExchange);
    }
    stream.mFirstConnection = false;
    Attach(stream, aExchange, from);
    Note("resume", stream);
  }

  http::HttpResponse Cancel(const json::object& aBody)
  {
    const auto found =
      mStreams.find({ TextOf(aBody, "request"), NumberOf(aBody, "attempt") });
    if (found == mStreams.end()) {
      return ErrorAnswer(404, "no such stream");
    }
    if (found->second.mExchange != 0) {
      mServer.EndStream(found->second.mExchange);
    }
    Note("cancel", found->second);
    mStreams.erase(found);
    return JsonAnswer(200, { { "cancelled", true } });
  }

  http::HttpResponse LoadAnswer()
  {
    return JsonAnswer(200,
                      { { "running", CountOf(true) },
                        { "waiting", CountOf(false) },
                        { "sequence", ++mLoadSequence } });
  }

  http::HttpResponse CacheEvents(const http::HttpRequest& aRequest) const
  {
    const auto after = aRequest.mQuery.find("after");
    const std::uint64_t sequence =
      after == aRequest.mQuery.end()
        ? 0
        : std::strtoull(after->second.c_str(), nullptr, 10);
    json::array events;
    for (const CacheEvent& event : mCache.EventsAfter(
           sequence, WallClockMs() - mOptions.mCacheEventDelayMs)) {
      events.push_back({ { "sequence", event.mSequence },
                         { "kind", event.mStored ? "stored" : "evicted" },
                         { "block", HexOf(event.mBlock) },
                         { "tokens", PrefixCache::kTokensPerBlock } });
    }
    return JsonAnswer(200, { { "events", events } });
  }

  http::HttpResponse KvCache(const http::HttpRequest& aRequest)
  {
    const std::string request = aRequest.mPath.substr(11);
    if (aRequest.mMethod == "PUT") {
      const auto body = ParseObject(aRequest.mBody);
      if (!body) {
        return ErrorAnswer(400, "not a KV cache");
      }
      mImportedKv[request] =
        static_cast<std::uint64_t>(NumberOf(*body, "tokens"));
      return JsonAnswer(200, { { "tokens", mImportedKv[request] } });
    }
    const EngineStream* newest = nullptr;
    for (const auto& [name, stream] : mStreams) {
      newest = name.mRequest == request ? &stream : newest;
    }
    if (newest == nullptr) {
      return ErrorAnswer(404, "no KV cache of this request");
    }
    return JsonAnswer(200,
                      { { "request", request },
                        { "prompt_hash", HexOf(HashOf(newest->mPrompt)) },
                        { "tokens", newest->mNext } });
  }

  std::uint32_t CountOf(bool aRunning) const
  {
    return static_cast<std::uint32_t>(
      std::count_if(mStreams.begin(), mStreams.end(), [&](const auto& aItem) {
        return !aItem.second.mFinished && aItem.second.mRunning == aRunning;
      }));
  }

  void StartWaiting(std::int64_t aNowMs)
  {
    while (CountOf(true) < mOptions.mUpstream.mSlots) {
      EngineStream* next = nullptr;
      for (auto& [name, stream] : mStreams) {
        if (!stream.mRunning && !stream.mFinished &&
            (next == nullptr || GoesBefore(stream, *next))) {
          next = &stream;
        }
      }
      if (next == nullptr) {
        return;
      }
      next->mRunning = true;
      next->mNextTokenAtMs = aNowMs + Slowed(mOptions.mUpstream.mFirstTokenMs);
    }
  }

  static bool GoesBefore(const EngineStream& aOne, const EngineStream& aOther)
  {
    return aOne.mPriority != aOther.mPriority
             ? aOne.mPriority > aOther.mPriority
             : aOne.mOrder < aOther.mOrder;
  }

  std::int64_t Slowed(std::int64_t aMs) const
  {
    return static_cast<std::int64_t>(static_cast<double>(aMs) *
                                     mOptions.mUpstream.mSlowFactor);
  }

  void MakeTokens(EngineStream& aStream, std::int64_t aNowMs)
  {
    while (aStream.mRunning && !aStream.mFinished &&
           aNowMs >= aStream.mNextTokenAtMs) {
      if (aStream.mNext < aStream.mMaxTokens) {
        ++aStream.mNext;
        ++mTokensMade;
        DieIfTold();
        aStream.mNextTokenAtMs += Slowed(mOptions.mUpstream.mTokenMs);
      }
      if (aStream.mNext >= aStream.mMaxTokens) {
        aStream.mFinished = true;
        aStream.mOrphanSinceMs = aNowMs;
        Note("finish", aStream);
      }
    }
  }

  void DieIfTold() const
  {
    if (mOptions.mDieAfter >= 0 && mTokensMade > mOptions.mDieAfter) {
      ::kill(::getpid(), SIGKILL);
    }
  }

  void SendTokens(EngineStream& aStream)
  {
    if (aStream.mExchange == 0 || IsSilent(aStream)) {
      return;
    }
    std::string bytes;
    while (aStream.mNextToSend < aStream.mNext && !IsSilent(aStream)) {
      bytes += Crossed(aStream);
      bytes += TokenEvent(aStream.mName, aStream.mPrompt, aStream.mNextToSend);
      ++aStream.mNextToSend;
    }
    if (!bytes.empty()) {
      mServer.SendPiece(aStream.mExchange, bytes);
    }
    if (aStream.mFinished && aStream.mNextToSend == aStream.mNext &&
        !IsSilent(aStream)) {
      mServer.SendPiece(aStream.mExchange, DoneEvent(aStream));
      mServer.EndStream(aStream.mExchange);
      aStream.mExchange = 0;
    }
  }

  bool IsSilent(const EngineStream& aStream) const
  {
    return mOptions.mSilentAfter >= 0 && aStream.mFirstConnection &&
           aStream.mNextToSend >=
             static_cast<std::uint64_t>(mOptions.mSilentAfter);
  }

  /** Pieces that belong to another request and to another attempt. */
  std::string Crossed(EngineStream& aStream) const
  {
    if (!mOptions.mCrossAnswers || aStream.mCrossed) {
      return {};
    }
    aStream.mCrossed = true;
    const AttemptName other{ "crossed-" + aStream.mName.mRequest,
                             aStream.mName.mAttempt };
    const AttemptName late{ aStream.mName.mRequest,
                            aStream.mName.mAttempt + 1000 };
    return TokenEvent(other, "another prompt", aStream.mNextToSend) +
           TokenEvent(late, "another prompt", aStream.mNextToSend);
  }

  /** A stream without a connection lives on for the grace, finished or not. */
  bool IsOver(const EngineStream& aStream, std::int64_t aNowMs)
  {
    if (aStream.mExchange != 0 ||
        aNowMs < aStream.mOrphanSinceMs + mOptions.mOrphanGraceMs) {
      return false;
    }
    if (!aStream.mFinished) {
      Note("orphan-dropped", aStream);
    }
    return true;
  }

  void Note(const char* aWhat, const EngineStream& aStream)
  {
    mJournal.Add({ { "what", aWhat },
                   { "request", aStream.mName.mRequest },
                   { "attempt", aStream.mName.mAttempt },
                   { "prompt_hash", HexOf(HashOf(aStream.mPrompt)) },
                   { "tokens", aStream.mNext },
                   { "recomputed_tokens", aStream.mRecomputedTokens } });
  }

  const EngineOptions mOptions;
  http::HttpServer& mServer;
  mutable std::mutex mMutex;
  Journal mJournal;
  EngineOrders mOrders;
  PrefixCache mCache;
  std::map<AttemptName, EngineStream> mStreams;
  std::map<std::string, std::uint64_t> mImportedKv;
  std::uint64_t mLastOrder = 0;
  std::uint64_t mLoadSequence = 0;
  std::int64_t mTokensMade = 0;
};

} // namespace peridotspool::fakes
