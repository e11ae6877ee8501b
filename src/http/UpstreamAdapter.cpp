#include "peridotspool/http/UpstreamAdapter.h"

#include "http/JsonFields.h"
#include "peridotspool/base/Overloaded.h"
#include "peridotspool/http/RetryAfterField.h"

#include <boost/json.hpp>

#include <string_view>

namespace peridotspool::http {

namespace json = boost::json;

namespace {

constexpr std::uint32_t kStatusOk = 200;
constexpr std::uint32_t kStatusNotFound = 404;
constexpr std::string_view kDidNotRunField = "x-did-not-run";
constexpr std::int64_t kDefaultMaxTokens = 256;

HttpRequest
MakePost(std::string aPath, const json::object& aBody)
{
  return HttpRequest{ .mMethod = "POST",
                      .mPath = std::move(aPath),
                      .mHeaders = { { "content-type", "application/json" } },
                      .mBody = json::serialize(aBody) };
}

json::object
RequestFields(const std::string& aRequest, AttemptNumber aAttempt)
{
  return json::object{ { "request", aRequest },
                       { "attempt", aAttempt.Value() } };
}

HttpRequest
MakeGenerate(const request::StartUpstreamEffect& aStart,
             const request::GenerateMode& aMode)
{
  json::object body = RequestFields(aStart.mRequest, aStart.mAttempt);
  const json::value asked = ParseJson(aStart.mBody).value_or(json::value());
  const json::object* fields = asked.if_object();
  const bool hasPrompt = fields != nullptr && fields->contains("prompt");
  body["prompt"] = hasPrompt ? fields->at("prompt") : asked;
  body["max_tokens"] =
    fields == nullptr
      ? kDefaultMaxTokens
      : IntegerField(*fields, "max_tokens").value_or(kDefaultMaxTokens);
  body["priority"] = aStart.mPriority;
  if (aMode.mFromIndex > 0) {
    body["resume_from"] = aMode.mFromIndex;
    body["prefix_text"] = aMode.mPrefix;
  }
  return MakePost("/engine/generate", body);
}

HttpRequest
MakeResume(const request::StartUpstreamEffect& aStart,
           const request::ResumeMode& aMode)
{
  json::object body = RequestFields(aStart.mRequest, aStart.mAttempt);
  body["from"] = aMode.mFromIndex;
  return MakePost("/engine/resume", body);
}

HttpRequest
MakeServiceCall(const request::StartUpstreamEffect& aStart)
{
  json::object body = RequestFields(aStart.mRequest, aStart.mAttempt);
  body["body"] = ParseJson(aStart.mBody).value_or(json::value());
  return MakePost("/service/call", body);
}

request::UpstreamRefused
MakeRefused(std::uint32_t aStatus, const HeaderFields& aHeaders)
{
  return request::UpstreamRefused{
    .mStatus = aStatus,
    .mDidNotRun = aHeaders.count(std::string(kDidNotRunField)) > 0,
    .mNoSuchStream = aStatus == kStatusNotFound,
    .mRetryAfter = RetryAfterOf(aHeaders),
  };
}

request::UpstreamBroken
MakeBroken(const CallFailed& aFailed)
{
  return request::UpstreamBroken{ .mReason = aFailed.mReason,
                                  .mMayHaveRun = aFailed.mMayHaveBeenSent,
                                  .mTimedOut = aFailed.mTimedOut };
}

std::optional<request::UpstreamOutcome>
ReadEngineEvent(const SseEvent& aEvent)
{
  const auto data = ParseJson(aEvent.mData);
  const json::object* fields = data ? data->if_object() : nullptr;
  if (fields == nullptr) {
    return request::UpstreamBroken{ .mReason = "engine sent no JSON" };
  }
  const std::string name = TextField(*fields, "request").value_or("");
  const AttemptNumber attempt(UnsignedField(*fields, "attempt").value_or(0));
  if (aEvent.mName == "token") {
    return request::UpstreamPiece{
      .mRequest = name,
      .mAttempt = attempt,
      .mIndex = UnsignedField(*fields, "index").value_or(0),
      .mText = TextField(*fields, "text").value_or(""),
    };
  }
  if (aEvent.mName == "done") {
    return request::UpstreamDone{
      .mRequest = name,
      .mAttempt = attempt,
      .mTokens = UnsignedField(*fields, "tokens").value_or(0),
      .mCachedTokens = UnsignedField(*fields, "cached_tokens").value_or(0),
      .mRecomputedTokens =
        UnsignedField(*fields, "recomputed_tokens").value_or(0),
    };
  }
  return std::nullopt;
}

request::UpstreamOutcome
ReadServiceAnswer(const std::string& aBody)
{
  const auto data = ParseJson(aBody);
  const json::object* fields = data ? data->if_object() : nullptr;
  if (fields == nullptr || !fields->contains("result")) {
    return request::UpstreamBroken{ .mReason = "service sent no result" };
  }
  return request::UpstreamDone{
    .mRequest = TextField(*fields, "request").value_or(""),
    .mAttempt = AttemptNumber(UnsignedField(*fields, "attempt").value_or(0)),
    .mResult = json::serialize(fields->at("result")),
  };
}

} // namespace

HttpRequest
MakeUpstreamRequest(const request::StartUpstreamEffect& aStart)
{
  if (aStart.mKind == routing::UpstreamKind::kPlainService) {
    return MakeServiceCall(aStart);
  }
  return std::visit(Overloaded{ [&](const request::GenerateMode& aMode) {
                                 return MakeGenerate(aStart, aMode);
                               },
                                [&](const request::ResumeMode& aMode) {
                                  return MakeResume(aStart, aMode);
                                } },
                    aStart.mMode);
}

HttpRequest
MakeCancelRequest(const request::CancelUpstreamEffect& aCancel)
{
  return MakePost("/engine/cancel",
                  RequestFields(aCancel.mRequest, aCancel.mAttempt));
}

std::vector<request::UpstreamOutcome>
EngineAnswerReader::Take(const CallEvent& aEvent)
{
  std::vector<request::UpstreamOutcome> outcomes;
  if (mEnded) {
    return outcomes;
  }
  const auto end = [&](request::UpstreamOutcome aOutcome) {
    mEnded = true;
    outcomes.push_back(std::move(aOutcome));
  };
  std::visit(
    Overloaded{ [&](const CallHead& aHead) {
                 mStatus = aHead.mStatus;
                 mHeaders = aHead.mHeaders;
               },
                [&](const CallPiece& aPiece) {
                  if (mStatus == kStatusOk) {
                    TakePiece(aPiece.mBytes, outcomes);
                  }
                },
                [&](const CallDone&) {
                  if (mStatus == kStatusOk) {
                    end(request::UpstreamBroken{ .mReason =
                                                   "stream ended early" });
                  } else {
                    end(MakeRefused(mStatus, mHeaders));
                  }
                },
                [&](const CallFailed& aFailed) { end(MakeBroken(aFailed)); } },
    aEvent);
  return outcomes;
}

void
EngineAnswerReader::TakePiece(const std::string& aBytes,
                              std::vector<request::UpstreamOutcome>& aOutcomes)
{
  LastReason reason;
  const auto events = mParser.Feed(aBytes, reason);
  if (!events) {
    mEnded = true;
    aOutcomes.emplace_back(request::UpstreamBroken{ .mReason = reason.Text() });
    return;
  }
  for (const SseEvent& event : *events) {
    auto outcome = ReadEngineEvent(event);
    if (!outcome || mEnded) {
      continue;
    }
    mEnded = !std::holds_alternative<request::UpstreamPiece>(*outcome);
    aOutcomes.push_back(std::move(*outcome));
  }
  if (!mEnded && mParser.IncompleteBytes() > 0) {
    aOutcomes.emplace_back(
      request::UpstreamHeld{ .mBytes = mParser.IncompleteBytes() });
  }
}

std::vector<request::UpstreamOutcome>
ServiceAnswerReader::Take(const CallEvent& aEvent)
{
  std::vector<request::UpstreamOutcome> outcomes;
  std::visit(Overloaded{ [&](const CallHead& aHead) {
                          mStatus = aHead.mStatus;
                          mHeaders = aHead.mHeaders;
                        },
                         [&](const CallPiece& aPiece) {
                           if (mStatus == kStatusOk) {
                             mBody += aPiece.mBytes;
                             outcomes.emplace_back(
                               request::UpstreamHeld{ .mBytes = mBody.size() });
                           }
                         },
                         [&](const CallDone&) {
                           if (mStatus == kStatusOk) {
                             outcomes.push_back(ReadServiceAnswer(mBody));
                           } else {
                             outcomes.emplace_back(
                               MakeRefused(mStatus, mHeaders));
                           }
                         },
                         [&](const CallFailed& aFailed) {
                           outcomes.emplace_back(MakeBroken(aFailed));
                         } },
             aEvent);
  return outcomes;
}

AnswerReader
MakeAnswerReader(routing::UpstreamKind aKind)
{
  if (aKind == routing::UpstreamKind::kPlainService) {
    return ServiceAnswerReader();
  }
  return EngineAnswerReader();
}

} // namespace peridotspool::http
