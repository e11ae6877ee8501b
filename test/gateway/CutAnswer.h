#pragma once

#include "gateway/GatewayFixture.h"
#include "peridotspool/gateway/BodyFraming.h"

#include <cstddef>
#include <string>

namespace peridotspool::gateway {

/** A kind of answer, and how its upstream ends the connection. */
struct AnswerKind
{
  /** A route of the fixture: "safe", "once", "stream" or "prompt". */
  std::string mRoute;
  BodyFraming mFraming = BodyFraming::kLength;
  Script::Then mThen = Script::Then::kClose;

  bool IsStream() const { return mRoute == "stream" || mRoute == "prompt"; }
  /** An answer that is lost is asked for again. */
  bool IsRetryable() const { return mRoute == "safe" || mRoute == "stream"; }
};

std::string
ToText(const AnswerKind& aKind);

/** Returns the complete body. */
std::string
WholeBody(const AnswerKind& aKind);

/** Returns the answer, "{id}" in place of the request's id. A stream begins
 * after the event that the request names, if it names one. */
std::string
AnswerBytes(const AnswerKind& aKind, const std::string& aRequest = {});

/** Returns true iff the first bytes of the answer prove that it is complete. */
bool
ProvesComplete(const AnswerKind& aKind, std::size_t aBytes);

/** Returns the body that the first bytes of the answer carry. */
std::string
BodyOf(const AnswerKind& aKind, std::size_t aBytes);

/** An answer as its caller sees it. */
struct SeenAnswer
{
  std::string mStatus;
  std::string mBody;
  /** False if the connection ended within the answer. */
  bool mComplete = false;
};

/** Reads bytes of one response, framed by a length or in chunks. */
SeenAnswer
ParseAnswer(const std::string& aBytes);

} // namespace peridotspool::gateway
