#pragma once

/**
 * The upstreams' protocols, one adapter each; docs/INTERFACES.md has them
 * written down. Another wire towards engines or services replaces one of them.
 */

#include "peridotspool/http/HttpClient.h"
#include "peridotspool/http/HttpMessage.h"
#include "peridotspool/http/SseParser.h"
#include "peridotspool/request/Effect.h"
#include "peridotspool/request/UpstreamEvent.h"

#include <variant>
#include <vector>

namespace peridotspool::http {

/** Returns the call that starts (or resumes) an attempt at an upstream. */
HttpRequest
MakeUpstreamRequest(const request::StartUpstreamEffect& aStart);

/** Returns the call that tells an engine to stop an attempt. */
HttpRequest
MakeCancelRequest(const request::CancelUpstreamEffect& aCancel);

/**
 * Reads a model engine's stream of events. Once it has given an outcome that
 * ends the call it gives no more.
 */
class EngineAnswerReader
{
public:
  std::vector<request::UpstreamOutcome> Take(const CallEvent& aEvent);

private:
  void TakePiece(const std::string& aBytes,
                 std::vector<request::UpstreamOutcome>& aOutcomes);

  std::uint32_t mStatus = 0;
  HeaderFields mHeaders;
  SseParser mParser;
  bool mEnded = false;
};

/** Reads a plain service's whole answer. */
class ServiceAnswerReader
{
public:
  std::vector<request::UpstreamOutcome> Take(const CallEvent& aEvent);

private:
  std::uint32_t mStatus = 0;
  HeaderFields mHeaders;
  std::string mBody;
};

using AnswerReader = std::variant<EngineAnswerReader, ServiceAnswerReader>;

/** Returns the reader of an upstream's kind. */
AnswerReader
MakeAnswerReader(routing::UpstreamKind aKind);

} // namespace peridotspool::http
