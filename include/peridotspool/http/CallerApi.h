#pragma once

#include "peridotspool/http/HttpMessage.h"
#include "peridotspool/http/HttpServer.h"
#include "peridotspool/ledger/RequestRecord.h"
#include "peridotspool/request/Event.h"
#include "peridotspool/routing/UpstreamReport.h"
#include "peridotspool/settings/SettingsTree.h"

#include <map>
#include <string>
#include <variant>

namespace peridotspool::http {

/** Names with the hashes of their keys: operators, and "upstream". */
using KeyHashes = std::map<std::string, std::string>;

/** The reserved name whose key upstreams announce themselves with. */
inline constexpr std::string_view kUpstreamKeyName = "upstream";

/** `GET /v1/entries`. */
struct DirectoryCommand
{
  Region mRegion;
};

/** `POST /v1/services/{service}/requests`. */
struct SubmitCommand
{
  RequestKey mKey;
  ledger::RequestTerms mTerms;
  Duration mRemaining{ 0 };
  /** True iff the caller wants Server-Sent Events. */
  bool mStream = false;
  /** True iff the caller named no key and one was made for it. */
  bool mKeyIsNew = false;
};

/** `GET /v1/requests/{key}`. */
struct AttachCommand
{
  RequestKey mKey;
  AttemptNumber mLineage;
  std::uint64_t mOffset = 0;
  bool mStream = false;
};

/** `DELETE /v1/requests/{key}`. */
struct CancelCommand
{
  RequestKey mKey;
};

/** `POST /v1/requests/{key}/ack`. */
struct AcknowledgeCommand
{
  RequestKey mKey;
};

/** `POST /v1/upstreams`. */
struct AnnounceCommand
{
  routing::UpstreamAnnouncement mAnnouncement;
};

/** `GET /v1/status`, for operators. */
struct StatusCommand
{};

/** `GET /v1/explain/{customer}/{key}`, for operators. */
struct ExplainCommand
{
  RequestKey mKey;
};

/** `GET /v1/records/{customer}/{key}`, for operators. */
struct ShowCommand
{
  RequestKey mKey;
};

/** `POST /v1/drain`, for operators. */
struct DrainCommand
{};

/** `GET /metrics`. */
struct MetricsCommand
{};

/** The request is answered at once, and did nothing. */
struct RefusedCommand
{
  HttpResponse mResponse;
  /** A short name for the counter of refusals. */
  std::string mReason;
};

using CallerCommand = std::variant<DirectoryCommand,
                                   SubmitCommand,
                                   AttachCommand,
                                   CancelCommand,
                                   AcknowledgeCommand,
                                   AnnounceCommand,
                                   StatusCommand,
                                   ExplainCommand,
                                   ShowCommand,
                                   DrainCommand,
                                   MetricsCommand,
                                   RefusedCommand>;

/** What reading a request needs to know. */
struct CallerApiContext
{
  /** Null before the first settings are in force. */
  const settings::SettingsTree* mSettings = nullptr;
  /** The settings were lately confirmed to be the newest. Others refuse no
   * request for good. */
  bool mSettingsFresh = true;
  const KeyHashes* mKeys = nullptr;
  /** For a request that names no key of its own. */
  std::string mFreshKey;
};

/**
 * Reads a request to an entry's HTTP address: authenticates it, checks it and
 * gives it its type. Pure.
 */
CallerCommand
ReadCallerRequest(const HttpRequest& aRequest,
                  const CallerApiContext& aContext);

} // namespace peridotspool::http
