#pragma once

#include "fakes/support/EngineStream.h"
#include "fakes/support/Json.h"
#include "fakes/support/Tokens.h"
#include "peridotspool/http/SseWriter.h"

namespace peridotspool::fakes {

inline std::string
TokenEvent(const AttemptName& aName,
           const std::string& aPrompt,
           std::uint64_t aIndex)
{
  const json::object data{ { "request", aName.mRequest },
                           { "attempt", aName.mAttempt },
                           { "index", aIndex },
                           { "text", TokenText(aPrompt, aIndex) } };
  return http::FormatSseEvent(
    { .mName = "token", .mData = json::serialize(data) });
}

inline std::string
DoneEvent(const EngineStream& aStream)
{
  const json::object data{ { "request", aStream.mName.mRequest },
                           { "attempt", aStream.mName.mAttempt },
                           { "tokens", aStream.mNext },
                           { "cached_tokens", aStream.mCachedTokens },
                           { "recomputed_tokens", aStream.mRecomputedTokens } };
  return http::FormatSseEvent(
    { .mName = "done", .mData = json::serialize(data) });
}

} // namespace peridotspool::fakes
