#pragma once

#include "fakes/support/Json.h"
#include "fakes/support/Tokens.h"
#include "peridotspool/http/HttpClient.h"
#include "peridotspool/http/SseParser.h"

#include <chrono>
#include <string>

namespace peridotspool::fakes {

using LoadClock = std::chrono::steady_clock;

/** What went wrong with an answer, each kind counted. */
struct AnswerFaults
{
  std::uint64_t mDoubled = 0;
  std::uint64_t mCrossed = 0;
  std::uint64_t mMissing = 0;
};

/** One request as its caller sees it. */
struct LoadRequest
{
  std::string mKey;
  bool mStreamed = true;
  json::object mBody;
  std::uint64_t mTokens = 0;
  /** Rises with each connection, which goes to the next entry. */
  std::size_t mTurn = 0;
  bool mSubmitted = false;
  bool mAccepted = false;
  http::ClientCallId mCall = 0;
  std::uint32_t mStatus = 0;
  std::string mAnswer;
  http::SseParser mParser;
  std::uint64_t mNextIndex = 0;
  AnswerFaults mFaults;
  LoadClock::time_point mBegin;
  LoadClock::time_point mFirstToken;
  LoadClock::time_point mEnd;
  /** When to connect again; meaningful without a call. */
  LoadClock::time_point mRetryAt;
  /** Empty until the end: whole, refused, failed, unknown, cancelled, lost. */
  std::string mOutcome;
  std::string mReason;
};

/** Checks one token event against what it must be. */
inline void
TakeToken(LoadRequest& aRequest, const json::object& aData)
{
  const auto index = static_cast<std::uint64_t>(NumberOf(aData, "index", -1));
  if (index < aRequest.mNextIndex) {
    ++aRequest.mFaults.mDoubled;
    return;
  }
  if (index > aRequest.mNextIndex) {
    ++aRequest.mFaults.mMissing;
  }
  if (TextOf(aData, "text") !=
      TokenText(TextOf(aRequest.mBody, "prompt"), index)) {
    ++aRequest.mFaults.mCrossed;
  }
  if (index == 0) {
    aRequest.mFirstToken = LoadClock::now();
  }
  aRequest.mNextIndex = index + 1;
}

/** Checks a service's result against what it must be. */
inline void
TakeResult(LoadRequest& aRequest, const json::object& aAnswer)
{
  const json::value* value = aAnswer.if_contains("result");
  const json::object result = value != nullptr && value->is_object()
                                ? value->as_object()
                                : json::object();
  const std::string ticket =
    "T-" + HexOf(HashOf(json::serialize(aRequest.mBody)));
  if (TextOf(result, "ticket") != ticket) {
    ++aRequest.mFaults.mCrossed;
  }
  if (NumberOf(result, "runs") > 1) {
    ++aRequest.mFaults.mDoubled;
  }
}

} // namespace peridotspool::fakes
