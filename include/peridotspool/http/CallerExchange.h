#pragma once

#include "peridotspool/http/HttpMessage.h"
#include "peridotspool/request/Effect.h"

#include <optional>
#include <string>

namespace peridotspool::http {

/** What goes to a caller's connection next. */
struct CallerOutput
{
  /** Begin a chunked response with this head. */
  std::optional<HttpResponse> mHead;
  /** Send these bytes of the chunked response. */
  std::string mPiece;
  /** End the chunked response. */
  bool mEnd = false;
  /** Send this whole response instead. */
  std::optional<HttpResponse> mWhole;
};

/**
 * One caller's exchange: turns the replies of the core into Server-Sent Events
 * or into one JSON answer, as the caller asked for.
 */
class CallerExchange
{
public:
  CallerExchange(bool aStream, std::string aKey, std::string aEntryName)
    : mStream(aStream)
    , mKey(std::move(aKey))
    , mEntryName(std::move(aEntryName))
  {
  }

  /** aExecutor is the name of the entry that ran the request. */
  CallerOutput Take(const request::Reply& aReply, const std::string& aExecutor);

private:
  CallerOutput TakeStreamed(const request::Reply& aReply,
                            const std::string& aExecutor);
  CallerOutput TakeWhole(const request::Reply& aReply,
                         const std::string& aExecutor);
  HttpResponse Head(std::uint32_t aStatus, const char* aType) const;

  bool mStream;
  std::string mKey;
  std::string mEntryName;
  bool mHeadSent = false;
  std::uint64_t mPieces = 0;
};

} // namespace peridotspool::http
