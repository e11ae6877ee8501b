#include "peridotspool/http/OperatorApi.h"

#include "http/ApiError.h"
#include "http/JsonFields.h"
#include "peridotspool/base/Overloaded.h"
#include "peridotspool/http/BearerKey.h"
#include "peridotspool/http/RolloutApi.h"
#include "peridotspool/settings/KeyHash.h"

#include <boost/describe/enum_to_string.hpp>
#include <boost/json.hpp>

#include <charconv>

namespace peridotspool::http {

namespace json = boost::json;

namespace {

constexpr std::string_view kQuarantinePath = "/v1/quarantine";
constexpr std::uint32_t kStatusBadRequest = 400;
constexpr std::uint32_t kStatusConflict = 409;
constexpr std::uint32_t kStatusTooLarge = 413;
constexpr std::uint32_t kStatusMisdirected = 421;
constexpr std::uint32_t kStatusUnprocessable = 422;
constexpr std::uint32_t kStatusUnavailable = 503;
constexpr std::int64_t kMaxWaitMs = 30000;
constexpr std::uint64_t kMaxHistory = 200;

std::optional<std::uint64_t>
QueryNumber(const HttpRequest& aRequest, const std::string& aName)
{
  const auto found = aRequest.mQuery.find(aName);
  if (found == aRequest.mQuery.end()) {
    return std::nullopt;
  }
  std::uint64_t number = 0;
  const std::string& text = found->second;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || stop != end) {
    return std::nullopt;
  }
  return number;
}

Duration
WaitOf(std::uint64_t aMilliseconds)
{
  return std::chrono::milliseconds(std::min<std::int64_t>(
    kMaxWaitMs, static_cast<std::int64_t>(aMilliseconds)));
}

OperatorCommand
ReadEdit(const HttpRequest& aRequest, const std::string& aAuthor)
{
  const auto data = ParseJson(aRequest.mBody);
  const json::object* fields = data ? data->if_object() : nullptr;
  const auto edit =
    fields != nullptr ? TextField(*fields, "edit") : std::nullopt;
  const auto base =
    fields != nullptr ? UnsignedField(*fields, "base") : std::nullopt;
  const auto text =
    fields != nullptr ? TextField(*fields, "text") : std::nullopt;
  if (!edit || edit->empty() || !base || !text) {
    return MakeRefusal(
      kStatusBadRequest,
      "bad-edit",
      R"(expected {"edit": text, "base": number, "text": text})");
  }
  return control::OperatorRequest(
    control::EditRequest{ .mEdit = EditId(*edit),
                          .mBase = Revision(*base),
                          .mText = *text,
                          .mAuthor = aAuthor });
}

OperatorCommand
ReadGet(const HttpRequest& aRequest)
{
  const std::string& path = aRequest.mPath;
  if (path == "/v1/status") {
    return control::OperatorRequest(control::StatusRequest{});
  }
  if (path == "/v1/settings") {
    control::SettingsRequest request;
    if (const auto revision = QueryNumber(aRequest, "revision")) {
      request.mRevision = Revision(*revision);
    }
    return control::OperatorRequest(request);
  }
  if (path == "/v1/settings/history") {
    const auto limit = QueryNumber(aRequest, "limit").value_or(20);
    return control::OperatorRequest(
      control::HistoryRequest{ std::min(limit, kMaxHistory) });
  }
  if (path == "/v1/settings/diff") {
    return control::OperatorRequest(control::DiffRequest{
      Revision(QueryNumber(aRequest, "from").value_or(0)),
      Revision(QueryNumber(aRequest, "to").value_or(0)) });
  }
  if (path == "/v1/settings/in-force") {
    return control::OperatorRequest(control::InForceRequest{
      Revision(QueryNumber(aRequest, "revision").value_or(0)),
      WaitOf(QueryNumber(aRequest, "wait_ms").value_or(0)) });
  }
  return MakeNotFound();
}

OperatorCommand
ReadDrain(const HttpRequest& aRequest)
{
  constexpr std::string_view kPrefix = "/v1/entries/";
  constexpr std::string_view kSuffix = "/drain";
  const std::string& path = aRequest.mPath;
  const bool drain =
    path.size() > kPrefix.size() + kSuffix.size() &&
    path.compare(0, kPrefix.size(), kPrefix) == 0 &&
    path.compare(path.size() - kSuffix.size(), kSuffix.size(), kSuffix) == 0;
  if (!drain) {
    return MakeNotFound();
  }
  return control::OperatorRequest(control::DrainRequest{ EntryName(path.substr(
    kPrefix.size(), path.size() - kPrefix.size() - kSuffix.size())) });
}

OperatorCommand
ReadLift(const std::string& aContent)
{
  const auto content = ReadContentId(aContent);
  if (!content) {
    return MakeRefusal(kStatusBadRequest,
                       "bad-content",
                       "expected the 32 digits that the list shows");
  }
  return control::OperatorRequest(
    control::QuarantineChangeRequest{ { { .mContent = *content } } });
}

HttpResponse
JsonAnswer(const json::object& aBody, std::uint32_t aStatus = 200)
{
  return HttpResponse{ .mStatus = aStatus,
                       .mHeaders = { { "content-type", "application/json" } },
                       .mBody = json::serialize(aBody) };
}

json::array
NamesJson(const std::vector<EntryName>& aNames)
{
  json::array names;
  for (const EntryName& name : aNames) {
    names.emplace_back(name.Value());
  }
  return names;
}

json::object
ReplicaJson(const control::ReplicaStatus& aReplica, ReplicaId aLeader)
{
  return json::object{ { "id", aReplica.mInfo.mId.Value() },
                       { "name", aReplica.mInfo.mName.Value() },
                       { "domain", aReplica.mInfo.mDomain.Value() },
                       { "address", ToText(aReplica.mInfo.mAddress) },
                       { "voter", aReplica.mInfo.mVoter },
                       { "leads", aReplica.mInfo.mId == aLeader },
                       { "match", aReplica.mMatch.Value() } };
}

json::object
EntryJson(const control::EntryStatus& aEntry)
{
  const membership::Member& member = aEntry.mMember;
  const bool active = member.mState == membership::MemberState::kActive;
  const auto silent =
    std::chrono::duration_cast<std::chrono::milliseconds>(aEntry.mSilentFor);
  return json::object{ { "member", member.mId.Value() },
                       { "name", member.mName.Value() },
                       { "domain", member.mDomain.Value() },
                       { "address", ToText(member.mCallerAddress) },
                       { "state", active ? "active" : "draining" },
                       { "revision", aEntry.mInForce.Value() },
                       { "epoch", aEntry.mEpoch.Value() },
                       { "silent_ms", silent.count() } };
}

HttpResponse
Write(const control::EditResponse& aAnswer)
{
  const char* verdict =
    boost::describe::enum_to_string(aAnswer.mVerdict, "unknown");
  std::uint32_t status = 200;
  if (aAnswer.mVerdict == control::EditVerdict::kConflict ||
      aAnswer.mVerdict == control::EditVerdict::kEditIdReused) {
    status = kStatusConflict;
  } else if (aAnswer.mVerdict == control::EditVerdict::kInvalid) {
    status = kStatusUnprocessable;
  }
  return JsonAnswer({ { "verdict", verdict },
                      { "revision", aAnswer.mRevision.Value() },
                      { "winner", aAnswer.mWinner.Value() },
                      { "reason", aAnswer.mReason } },
                    status);
}

HttpResponse
Write(const control::InForceResponse& aAnswer)
{
  return JsonAnswer({ { "revision", aAnswer.mRevision.Value() },
                      { "in_force", aAnswer.mInForce },
                      { "missing", NamesJson(aAnswer.mMissing) } });
}

HttpResponse
Write(const control::SettingsResponse& aAnswer)
{
  return JsonAnswer(
    { { "revision", aAnswer.mRevision.Value() }, { "text", aAnswer.mText } });
}

HttpResponse
Write(const control::HistoryResponse& aAnswer)
{
  json::array changes;
  for (const auto& change : aAnswer.mChanges) {
    changes.push_back(json::object{ { "revision", change.mRevision.Value() },
                                    { "edit", change.mEdit.Value() },
                                    { "author", change.mAuthor } });
  }
  return JsonAnswer({ { "changes", std::move(changes) } });
}

HttpResponse
Write(const control::DiffResponse& aAnswer)
{
  return JsonAnswer(
    { { "from", aAnswer.mFromText }, { "to", aAnswer.mToText } });
}

HttpResponse
Write(const control::DrainResponse& aAnswer)
{
  return JsonAnswer({ { "member", aAnswer.mMember.Value() },
                      { "epoch", aAnswer.mEpoch.Value() } });
}

HttpResponse
Write(const control::StatusResponse& aAnswer)
{
  json::array replicas;
  for (const auto& replica : aAnswer.mReplicas) {
    replicas.push_back(ReplicaJson(replica, aAnswer.mLeader));
  }
  json::array entries;
  for (const auto& entry : aAnswer.mEntries) {
    entries.push_back(EntryJson(entry));
  }
  return JsonAnswer({ { "self", aAnswer.mSelf.Value() },
                      { "leader", aAnswer.mLeader.Value() },
                      { "leads", aAnswer.mLeads },
                      { "term", aAnswer.mTerm.Value() },
                      { "commit", aAnswer.mCommit.Value() },
                      { "revision", aAnswer.mRevision.Value() },
                      { "epoch", aAnswer.mEpoch.Value() },
                      { "replicas", std::move(replicas) },
                      { "entries", std::move(entries) } });
}

HttpResponse
Write(const control::FencingResponse& aAnswer)
{
  return JsonAnswer({ { "fencing", aAnswer.mNumber.Value() } });
}

HttpResponse
Write(const control::DocumentResponse& aAnswer)
{
  return JsonAnswer({ { "version", aAnswer.mNewest },
                      { "revision", aAnswer.mRevision.Value() } });
}

HttpResponse
Write(const control::QuarantineResponse& aAnswer)
{
  json::array contents;
  for (const routing::QuarantineRow& row : aAnswer.mRows) {
    const bool refused =
      row.mChange.mStage == routing::QuarantineStage::kRefused;
    json::array ends;
    for (const routing::CrashRecord& crash : row.mChange.mCrashes) {
      ends.push_back(
        json::object{ { "upstream", crash.mUpstream.Value() },
                      { "incarnation", crash.mIncarnation.Value() },
                      { "seen_by", crash.mSeenBy } });
    }
    contents.push_back(
      json::object{ { "content", ToText(row.mChange.mContent) },
                    { "stage", refused ? "refused" : "one at a time" },
                    { "ends_in_a_row", row.mChange.mCounted },
                    { "ends", std::move(ends) } });
  }
  return JsonAnswer({ { "contents", std::move(contents) } });
}

HttpResponse
Write(const control::RolloutOrderResponse& aAnswer)
{
  return WriteRolloutAnswer(aAnswer);
}

HttpResponse
Write(const control::RolloutsResponse& aAnswer)
{
  return WriteRolloutAnswer(aAnswer);
}

HttpResponse
Write(const control::RefusedResponse& aAnswer)
{
  return MakeErrorResponse(kStatusUnprocessable, "refused", aAnswer.mReason);
}

HttpResponse
Write(const control::OverloadedResponse& aAnswer)
{
  HttpResponse response =
    JsonAnswer({ { "reason", "overloaded" }, { "message", aAnswer.mReason } },
               kStatusUnavailable);
  response.mHeaders["retry-after"] = "1";
  return response;
}

HttpResponse
Write(const control::TooLargeResponse& aAnswer)
{
  return MakeErrorResponse(kStatusTooLarge,
                           "too-large",
                           "the settings have " +
                             std::to_string(aAnswer.mBytes) + " bytes; " +
                             std::to_string(aAnswer.mMost) + " are the most");
}

HttpResponse
WriteElsewhere(const char* aReason,
               std::uint32_t aStatus,
               const std::optional<Address>& aLeader,
               const FindHttpAddress& aFindHttp)
{
  const auto address = aLeader ? aFindHttp(*aLeader) : std::nullopt;
  return JsonAnswer(
    { { "reason", aReason }, { "leader", address ? ToText(*address) : "" } },
    aStatus);
}

} // namespace

OperatorCommand
ReadOperatorRequest(const HttpRequest& aRequest, const KeyHashes& aKeys)
{
  const auto key = BearerKey(aRequest);
  const std::string hash = key ? settings::KeyHash(*key) : std::string();
  std::string author;
  for (const auto& [name, known] : aKeys) {
    if (known == hash && name != kUpstreamKeyName) {
      author = name;
    }
  }
  if (author.empty()) {
    return MakeUnauthorized("operator-key");
  }
  if (auto call = ReadQuarantineCall(aRequest)) {
    return std::move(*call);
  }
  if (auto call = ReadRolloutCall(aRequest)) {
    return std::move(*call);
  }
  if (aRequest.mMethod == "GET") {
    return ReadGet(aRequest);
  }
  if (aRequest.mMethod == "PUT" && aRequest.mPath == "/v1/settings") {
    return ReadEdit(aRequest, author);
  }
  if (aRequest.mMethod == "POST") {
    return ReadDrain(aRequest);
  }
  return MakeNotFound();
}

std::optional<OperatorCommand>
ReadQuarantineCall(const HttpRequest& aRequest)
{
  if (aRequest.mMethod == "GET" && aRequest.mPath == kQuarantinePath) {
    return control::OperatorRequest(control::QuarantineRequest{});
  }
  const std::string below = std::string(kQuarantinePath) + "/";
  if (aRequest.mMethod == "DELETE" && aRequest.mPath.starts_with(below)) {
    return ReadLift(aRequest.mPath.substr(below.size()));
  }
  return std::nullopt;
}

HttpResponse
WriteOperatorAnswer(const control::OperatorResponse& aAnswer,
                    const FindHttpAddress& aFindHttp)
{
  return std::visit(
    Overloaded{ [&](const control::NotLeaderResponse& aOne) {
                 return WriteElsewhere(
                   "not-leader", kStatusMisdirected, aOne.mLeader, aFindHttp);
               },
                [&](const control::UncertainResponse& aOne) {
                  return WriteElsewhere(
                    "uncertain", kStatusUnavailable, aOne.mLeader, aFindHttp);
                },
                [](const auto& aOne) { return Write(aOne); } },
    aAnswer);
}

} // namespace peridotspool::http
