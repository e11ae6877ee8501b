#pragma once

#include "fakes/support/Json.h"
#include "fakes/support/Tokens.h"
#include "peridotspool/http/HttpClient.h"
#include "peridotspool/http/SseParser.h"

#include <chrono>
#include <cstdlib>
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
  /** The streamed answer so far, and the id of its last event. */
  std::string mText;
  std::string mLastId;
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

/**
 * Checks one token event against what it must be. Its id is
 * "<lineage>-<bytes>", the bytes of the answer up to its end.
 */
inline void
TakeToken(LoadRequest& aRequest, const http::SseEvent& aEvent)
{
  const std::string text =
    TextOf(ParseObject(aEvent.mData).value_or(json::object()), "text");
  const std::string id = aEvent.mId.value_or("");
  const std::uint64_t end =
    std::strtoull(id.substr(id.find('-') + 1).c_str(), nullptr, 10);
  if (end < aRequest.mText.size() + text.size()) {
    ++aRequest.mFaults.mDoubled;
    return;
  }
  if (end > aRequest.mText.size() + text.size()) {
    ++aRequest.mFaults.mMissing;
  }
  if (aRequest.mText.empty()) {
    aRequest.mFirstToken = LoadClock::now();
  }
  aRequest.mText += text;
  aRequest.mLastId = id;
}

/** Checks a whole streamed answer, byte for byte. */
inline void
TakeStreamEnd(LoadRequest& aRequest)
{
  const std::string expected =
    AnswerText(TextOf(aRequest.mBody, "prompt"), aRequest.mTokens);
  if (aRequest.mText == expected) {
    return;
  }
  if (expected.starts_with(aRequest.mText)) {
    ++aRequest.mFaults.mMissing;
  } else {
    ++aRequest.mFaults.mCrossed;
  }
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
