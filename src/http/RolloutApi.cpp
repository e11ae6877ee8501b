#include "peridotspool/http/RolloutApi.h"

#include "http/ApiError.h"
#include "http/JsonFields.h"

#include <boost/json.hpp>

namespace peridotspool::http {

namespace json = boost::json;

namespace {

constexpr std::string_view kRolloutsPath = "/v1/rollouts";
constexpr std::uint32_t kStatusBadRequest = 400;
constexpr std::uint32_t kStatusConflict = 409;
constexpr std::size_t kMaxNameBytes = 64;
/** A year. */
constexpr std::uint64_t kMaxDurationMs = 365ULL * 24 * 3600 * 1000;

const char*
TextOf(rollout::RolloutState aState)
{
  switch (aState) {
    case rollout::RolloutState::kRunning:
      return "running";
    case rollout::RolloutState::kCompleted:
      return "completed";
    case rollout::RolloutState::kRolledBack:
      break;
  }
  return "rolled back";
}

const char*
TextOf(rollout::OrderVerdict aVerdict)
{
  switch (aVerdict) {
    case rollout::OrderVerdict::kStarted:
      return "started";
    case rollout::OrderVerdict::kRepeated:
      return "known already";
    case rollout::OrderVerdict::kBusy:
      return "another version is being rolled out for the service";
    case rollout::OrderVerdict::kInForce:
      break;
  }
  return "the service runs that version already";
}

json::object
RolloutJson(const rollout::Rollout& aRollout)
{
  return json::object{ { "id", aRollout.mId.Value() },
                       { "service", aRollout.mOrder.mService.Value() },
                       { "to", aRollout.mOrder.mTo.Value() },
                       { "state", TextOf(aRollout.mState) },
                       { "ordered_us", aRollout.mOrder.mOrderedMicros },
                       { "duration_ms",
                         std::chrono::duration_cast<std::chrono::milliseconds>(
                           aRollout.mOrder.mDuration)
                           .count() },
                       { "ended_us", aRollout.mEndedMicros },
                       { "reason", aRollout.mReason },
                       { "requests_reserved", aRollout.mReserved } };
}

HttpResponse
JsonAnswer(const json::object& aBody, std::uint32_t aStatus)
{
  return { .mStatus = aStatus,
           .mHeaders = { { "content-type", "application/json" } },
           .mBody = json::serialize(aBody) };
}

OperatorCommand
ReadStart(const HttpRequest& aRequest)
{
  const auto data = ParseJson(aRequest.mBody);
  const json::object* fields = data ? data->if_object() : nullptr;
  const auto service =
    fields != nullptr ? TextField(*fields, "service") : std::nullopt;
  const auto version =
    fields != nullptr ? TextField(*fields, "to") : std::nullopt;
  const auto duration =
    fields != nullptr ? UnsignedField(*fields, "duration_ms") : std::nullopt;
  const bool isGood = service && !service->empty() && version &&
                      !version->empty() && version->size() <= kMaxNameBytes &&
                      duration && *duration > 0 && *duration <= kMaxDurationMs;
  if (!isGood) {
    return MakeRefusal(
      kStatusBadRequest,
      "bad-rollout",
      R"(expected {"service": text, "to": text, "duration_ms": above 0})");
  }
  return control::OperatorRequest(control::RolloutStartRequest{
    { .mService = ServiceName(*service),
      .mTo = VersionName(*version),
      .mDuration = std::chrono::milliseconds(*duration) } });
}

} // namespace

std::optional<OperatorCommand>
ReadRolloutCall(const HttpRequest& aRequest)
{
  const std::string& path = aRequest.mPath;
  if (path == kRolloutsPath && aRequest.mMethod == "POST") {
    return ReadStart(aRequest);
  }
  if (path == kRolloutsPath && aRequest.mMethod == "GET") {
    return control::OperatorRequest(control::RolloutsRequest{});
  }
  const std::string below = std::string(kRolloutsPath) + "/";
  if (!path.starts_with(below) || path.size() == below.size()) {
    return std::nullopt;
  }
  const ServiceName service(path.substr(below.size()));
  if (aRequest.mMethod == "GET") {
    return control::OperatorRequest(control::RolloutsRequest{ service });
  }
  if (aRequest.mMethod == "DELETE") {
    return control::OperatorRequest(control::RolloutAbortRequest{ service });
  }
  return std::nullopt;
}

HttpResponse
WriteRolloutAnswer(const control::RolloutOrderResponse& aAnswer)
{
  const bool isTaken = aAnswer.mVerdict == rollout::OrderVerdict::kStarted ||
                       aAnswer.mVerdict == rollout::OrderVerdict::kRepeated;
  return JsonAnswer({ { "verdict", TextOf(aAnswer.mVerdict) },
                      { "rollout", RolloutJson(aAnswer.mLatest) } },
                    isTaken ? 200 : kStatusConflict);
}

HttpResponse
WriteRolloutAnswer(const control::RolloutsResponse& aAnswer)
{
  json::array rollouts;
  for (const rollout::Rollout& one : aAnswer.mRollouts) {
    rollouts.push_back(RolloutJson(one));
  }
  return JsonAnswer({ { "rollouts", std::move(rollouts) } }, 200);
}

} // namespace peridotspool::http
