#include "peridotspool/http/CallerExchange.h"

#include "http/JsonFields.h"
#include "peridotspool/base/Overloaded.h"
#include "peridotspool/http/SseWriter.h"

#include <boost/json.hpp>

#include <utility>

namespace peridotspool::http {

namespace json = boost::json;
using ledger::Outcome;
using ledger::OutcomeKind;

namespace {

constexpr std::uint32_t kStatusOk = 200;
constexpr std::uint32_t kStatusGone = 410;
constexpr std::uint32_t kStatusNotFound = 404;
constexpr std::uint32_t kStatusUnavailable = 503;
constexpr const char* kJsonType = "application/json";
constexpr const char* kSseType = "text/event-stream";

/** A reply without a record behind it: status, reason, may it have run? */
struct PlainEnd
{
  std::uint32_t mStatus = kStatusUnavailable;
  const char* mEvent = "failed";
  const char* mReason = "";
  const char* mRan = "maybe";
};

std::optional<PlainEnd>
PlainEndOf(const request::Reply& aReply)
{
  if (std::holds_alternative<request::MovedReply>(aReply)) {
    return PlainEnd{ kStatusUnavailable, "moved", "moved", "maybe" };
  }
  if (std::holds_alternative<request::NoSuchRequestReply>(aReply)) {
    return PlainEnd{ kStatusNotFound, "failed", "no-such-request", "maybe" };
  }
  if (std::holds_alternative<request::StatusUnknownReply>(aReply)) {
    return PlainEnd{ kStatusUnavailable, "failed", "not-confirmed", "maybe" };
  }
  if (std::holds_alternative<request::ConfirmedReply>(aReply)) {
    return PlainEnd{ kStatusOk, "done", "confirmed", "maybe" };
  }
  return std::nullopt;
}

const char*
EventOf(OutcomeKind aKind)
{
  switch (aKind) {
    case OutcomeKind::kAnswered:
      return "done";
    case OutcomeKind::kRefused:
      return "refused";
    case OutcomeKind::kFailed:
      return "failed";
    case OutcomeKind::kUnknown:
      return "unknown";
    case OutcomeKind::kCancelled:
      return "cancelled";
  }
  return "failed";
}

const char*
RanOf(OutcomeKind aKind)
{
  switch (aKind) {
    case OutcomeKind::kAnswered:
      return "yes";
    case OutcomeKind::kRefused:
      return "no";
    default:
      return "maybe";
  }
}

json::object
PathOf(const Outcome& aOutcome, const std::string& aExecutor)
{
  return json::object{ { "entry", aExecutor },
                       { "upstream", aOutcome.mUpstream.Value() },
                       { "attempt", aOutcome.mAttempt.Value() } };
}

std::int64_t
RetryAfterMs(const Outcome& aOutcome)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           aOutcome.mRetryAfter)
    .count();
}

json::object
FailureOf(const Outcome& aOutcome, const std::string& aExecutor)
{
  return json::object{ { "reason", aOutcome.mReason },
                       { "ran", RanOf(aOutcome.mKind) },
                       { "retry_after_ms", RetryAfterMs(aOutcome) },
                       { "path", PathOf(aOutcome, aExecutor) } };
}

json::object
RecordJson(const ledger::RequestRecord& aRecord)
{
  json::object fields{
    { "customer", aRecord.mKey.mCustomer.Value() },
    { "key", aRecord.mKey.mKey },
    { "service", aRecord.mTerms.mService.Value() },
    { "idempotent", aRecord.mTerms.mIdempotent },
    { "priority", aRecord.mTerms.mPriority },
    { "executor_member", aRecord.mExecutor.Value() },
    { "executor_turn", aRecord.mExecutorTurn.Value() },
    { "state", aRecord.mOutcome ? EventOf(aRecord.mOutcome->mKind) : "open" }
  };
  if (aRecord.mIntent) {
    fields["attempt"] = aRecord.mIntent->mAttempt.Value();
    fields["upstream"] = aRecord.mIntent->mUpstream.Value();
    fields["attempt_void"] = aRecord.mIntentVoid;
  }
  if (aRecord.mOutcome) {
    fields["reason"] = aRecord.mOutcome->mReason;
    fields["answer_bytes"] = aRecord.mOutcome->mBody.size();
  }
  return fields;
}

std::uint32_t
StatusOf(const Outcome& aOutcome)
{
  if (aOutcome.mKind == OutcomeKind::kCancelled) {
    return kStatusGone;
  }
  constexpr std::int32_t kFirstError = 400;
  constexpr std::int32_t kLastError = 599;
  const bool usable =
    aOutcome.mStatus >= kFirstError && aOutcome.mStatus <= kLastError;
  return usable ? static_cast<std::uint32_t>(aOutcome.mStatus)
                : kStatusUnavailable;
}

std::string
Event(const char* aName, std::string aId, const json::object& aData)
{
  SseEvent event{ .mName = aName, .mData = json::serialize(aData) };
  if (!aId.empty()) {
    event.mId = std::move(aId);
  }
  return FormatSseEvent(event);
}

std::string
FormatId(AttemptNumber aLineage, std::uint64_t aOffset)
{
  return std::to_string(aLineage.Value()) + "-" + std::to_string(aOffset);
}

void
AddRetryAfter(HttpResponse& aResponse, Duration aAfter)
{
  if (aAfter <= Duration(0)) {
    return;
  }
  // The field counts whole seconds; coming back too early would be refused.
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(aAfter).count();
  aResponse.mHeaders["retry-after"] = std::to_string(seconds);
}

} // namespace

CallerOutput
CallerExchange::Take(const request::Reply& aReply, const std::string& aExecutor)
{
  return mStream ? TakeStreamed(aReply, aExecutor)
                 : TakeWhole(aReply, aExecutor);
}

HttpResponse
CallerExchange::Head(std::uint32_t aStatus, const char* aType) const
{
  return HttpResponse{ .mStatus = aStatus,
                       .mHeaders = { { "content-type", aType },
                                     { "cache-control", "no-store" },
                                     { "idempotency-key", mKey },
                                     { "x-entry", mEntryName } } };
}

CallerOutput
CallerExchange::TakeStreamed(const request::Reply& aReply,
                             const std::string& aExecutor)
{
  CallerOutput output;
  const auto* final = std::get_if<request::FinalReply>(&aReply);
  const auto plain = PlainEndOf(aReply);
  // Nothing has been streamed yet: a failure can still have its own status.
  const bool failedEarly =
    !mHeadSent && (plain || (final != nullptr &&
                             final->mOutcome.mKind != OutcomeKind::kAnswered));
  if (failedEarly) {
    return TakeWhole(aReply, aExecutor);
  }
  if (!mHeadSent) {
    output.mHead = Head(kStatusOk, kSseType);
    mHeadSent = true;
  }
  if (plain) {
    output.mPiece = Event(plain->mEvent,
                          "",
                          { { "reason", plain->mReason },
                            { "ran", plain->mRan },
                            { "retry_after_ms", 0 } });
    output.mEnd = true;
    return output;
  }
  std::visit(
    Overloaded{
      [&](const request::AcceptedReply&) {
        output.mPiece = Event("accepted", "", { { "key", mKey } });
      },
      [&](const request::PieceReply& aPiece) {
        const std::uint64_t end = aPiece.mOffset + aPiece.mText.size();
        output.mPiece =
          Event("token",
                FormatId(aPiece.mLineage, end),
                { { "index", mPieces++ }, { "text", aPiece.mText } });
      },
      [&](const request::RestartReply& aRestart) {
        mPieces = 0;
        output.mPiece =
          Event("restart", FormatId(aRestart.mLineage, 0), json::object());
      },
      [&](const request::FinalReply& aFinal) {
        const Outcome& outcome = aFinal.mOutcome;
        const bool answered = outcome.mKind == OutcomeKind::kAnswered;
        output.mPiece =
          answered
            ? Event("done",
                    "",
                    { { "path", PathOf(outcome, aExecutor) },
                      { "bytes", outcome.mBody.size() } })
            : Event(EventOf(outcome.mKind), "", FailureOf(outcome, aExecutor));
        output.mEnd = true;
      },
      [](const auto&) {} },
    aReply);
  return output;
}

CallerOutput
CallerExchange::TakeWhole(const request::Reply& aReply,
                          const std::string& aExecutor)
{
  CallerOutput output;
  if (const auto plain = PlainEndOf(aReply)) {
    output.mWhole = Head(plain->mStatus, kJsonType);
    output.mWhole->mBody =
      json::serialize(json::object{ { "reason", plain->mReason },
                                    { "ran", plain->mRan },
                                    { "retry_after_ms", 0 } });
    return output;
  }
  if (const auto* shown = std::get_if<request::RecordReply>(&aReply)) {
    output.mWhole = Head(kStatusOk, kJsonType);
    output.mWhole->mBody = json::serialize(RecordJson(shown->mRecord));
    return output;
  }
  const auto* final = std::get_if<request::FinalReply>(&aReply);
  if (final == nullptr) {
    return output;
  }
  const Outcome& outcome = final->mOutcome;
  if (outcome.mKind == OutcomeKind::kAnswered) {
    output.mWhole = Head(kStatusOk, kJsonType);
    // A plain service's result is JSON already; an engine's text is not.
    const auto parsed = ParseJson(outcome.mBody);
    const bool structured =
      parsed && (parsed->is_object() || parsed->is_array());
    output.mWhole->mBody = json::serialize(json::object{
      { "result", structured ? *parsed : json::value(outcome.mBody) },
      { "path", PathOf(outcome, aExecutor) } });
    return output;
  }
  output.mWhole = Head(StatusOf(outcome), kJsonType);
  AddRetryAfter(*output.mWhole, outcome.mRetryAfter);
  output.mWhole->mBody = json::serialize(FailureOf(outcome, aExecutor));
  return output;
}

} // namespace peridotspool::http
