#include "peridotspool/http/CallerApi.h"

#include "http/AnnouncementJson.h"
#include "http/ApiError.h"
#include "http/JsonFields.h"
#include "peridotspool/http/BearerKey.h"
#include "peridotspool/settings/KeyHash.h"

#include <charconv>
#include <optional>
#include <vector>

namespace peridotspool::http {

namespace {

constexpr std::size_t kMaxKeyBytes = 128;

std::vector<std::string>
SplitPath(const std::string& aPath)
{
  std::vector<std::string> parts;
  std::size_t from = 1;
  while (from <= aPath.size()) {
    const std::size_t slash = std::min(aPath.find('/', from), aPath.size());
    parts.push_back(aPath.substr(from, slash - from));
    from = slash + 1;
  }
  return parts;
}

std::optional<std::string>
HeaderOf(const HttpRequest& aRequest, const std::string& aName)
{
  const auto found = aRequest.mHeaders.find(aName);
  if (found == aRequest.mHeaders.end()) {
    return std::nullopt;
  }
  return found->second;
}

template<typename Number>
std::optional<Number>
ParseNumber(const std::string& aText)
{
  Number number{};
  const char* end = aText.data() + aText.size();
  const auto [stop, error] = std::from_chars(aText.data(), end, number);
  if (error != std::errc() || stop != end || aText.empty()) {
    return std::nullopt;
  }
  return number;
}

bool
WantsStream(const HttpRequest& aRequest)
{
  return HeaderOf(aRequest, "accept").value_or("").find("text/event-stream") !=
         std::string::npos;
}

bool
IsGoodKey(const std::string& aKey)
{
  if (aKey.empty() || aKey.size() > kMaxKeyBytes) {
    return false;
  }
  for (const char letter : aKey) {
    if (letter <= ' ' || letter > '~' || letter == '/') {
      return false;
    }
  }
  return true;
}

RefusedCommand
BadRequest(std::string aReason, const std::string& aText)
{
  constexpr std::uint32_t kStatusBadRequest = 400;
  return MakeRefusal(kStatusBadRequest, std::move(aReason), aText);
}

/** Reads one request; each function below takes a part of its checks. */
class Reader
{
public:
  Reader(const HttpRequest& aRequest, const CallerApiContext& aContext)
    : mRequest(aRequest)
    , mContext(aContext)
    , mPath(SplitPath(aRequest.mPath))
  {
  }

  CallerCommand Read()
  {
    if (Is("GET", { "v1", "entries" })) {
      const auto region = mRequest.mQuery.find("region");
      return DirectoryCommand{ region == mRequest.mQuery.end()
                                 ? Region()
                                 : Region(region->second) };
    }
    if (Is("GET", { "metrics" })) {
      return MetricsCommand{};
    }
    if (Is("POST", { "v1", "upstreams" })) {
      return ReadAnnouncement();
    }
    if (mPath.size() >= 2 && mPath[0] == "v1" &&
        (mPath[1] == "services" || mPath[1] == "requests")) {
      return ReadCustomerRequest();
    }
    return ReadOperatorRequest();
  }

private:
  bool Is(std::string_view aMethod, const std::vector<std::string>& aPath) const
  {
    return mRequest.mMethod == aMethod && mPath == aPath;
  }

  /** Returns the name whose key the request bears, if any. */
  std::optional<std::string> KeyName() const
  {
    const auto key = BearerKey(mRequest);
    if (!key || mContext.mKeys == nullptr) {
      return std::nullopt;
    }
    const std::string hash = settings::KeyHash(*key);
    for (const auto& [name, known] : *mContext.mKeys) {
      if (known == hash) {
        return name;
      }
    }
    return std::nullopt;
  }

  CallerCommand ReadAnnouncement() const
  {
    if (KeyName() != std::optional<std::string>(kUpstreamKeyName)) {
      return MakeUnauthorized("upstream-key");
    }
    LastReason reason;
    const auto announcement = ReadAnnouncementJson(mRequest.mBody, reason);
    if (!announcement) {
      return BadRequest("bad-announcement", reason.Text());
    }
    return AnnounceCommand{ *announcement };
  }

  CallerCommand ReadOperatorRequest() const
  {
    const bool status = Is("GET", { "v1", "status" });
    const bool drain = Is("POST", { "v1", "drain" });
    const bool byKey =
      mRequest.mMethod == "GET" && mPath.size() == 4 && mPath[0] == "v1";
    const bool explain = byKey && mPath[1] == "explain";
    const bool show = byKey && mPath[1] == "records";
    if (!status && !drain && !explain && !show) {
      return MakeNotFound();
    }
    const auto name = KeyName();
    if (!name || *name == kUpstreamKeyName) {
      return MakeUnauthorized("operator-key");
    }
    if (status) {
      return StatusCommand{};
    }
    if (drain) {
      return DrainCommand{};
    }
    const RequestKey key{ CustomerName(mPath[2]), mPath[3] };
    if (show) {
      return ShowCommand{ key };
    }
    return ExplainCommand{ key };
  }

  // A replacement of the settings that has been acknowledged may allow the
  // request.
  RefusedCommand RefuseBySettings(RefusedCommand aRefusal) const
  {
    return mContext.mSettingsFresh ? std::move(aRefusal)
                                   : MakeUnavailable("settings-not-confirmed");
  }

  CallerCommand ReadCustomerRequest() const
  {
    if (mContext.mSettings == nullptr) {
      return MakeUnavailable("no-settings");
    }
    const auto key = BearerKey(mRequest);
    const auto customer =
      key ? mContext.mSettings->CustomerOfKeyHash(settings::KeyHash(*key))
          : std::nullopt;
    if (!customer) {
      return RefuseBySettings(MakeUnauthorized("customer-key"));
    }
    const bool submit = mRequest.mMethod == "POST" && mPath.size() == 4 &&
                        mPath[1] == "services" && mPath[3] == "requests";
    if (submit) {
      return ReadSubmit(*customer, ServiceName(mPath[2]));
    }
    if (mPath[1] != "requests" || mPath.size() < 3 || !IsGoodKey(mPath[2])) {
      return MakeNotFound();
    }
    return ReadByKey(RequestKey{ *customer, mPath[2] });
  }

  CallerCommand ReadByKey(const RequestKey& aKey) const
  {
    if (mRequest.mMethod == "GET" && mPath.size() == 3) {
      return ReadAttach(aKey);
    }
    if (mRequest.mMethod == "DELETE" && mPath.size() == 3) {
      return CancelCommand{ aKey };
    }
    const bool acknowledge =
      mRequest.mMethod == "POST" && mPath.size() == 4 && mPath[3] == "ack";
    if (acknowledge) {
      return AcknowledgeCommand{ aKey };
    }
    return MakeNotFound();
  }

  CallerCommand ReadAttach(const RequestKey& aKey) const
  {
    AttachCommand command{ .mKey = aKey, .mStream = WantsStream(mRequest) };
    const auto last = HeaderOf(mRequest, "last-event-id");
    if (!last || last->empty()) {
      return command;
    }
    // An event's id is "<lineage>-<bytes>".
    const auto dash = last->find('-');
    const auto lineage =
      ParseNumber<std::uint64_t>(last->substr(0, std::min(dash, last->size())));
    const auto offset = dash == std::string::npos
                          ? std::nullopt
                          : ParseNumber<std::uint64_t>(last->substr(dash + 1));
    if (!lineage || !offset) {
      return BadRequest("bad-last-event-id",
                        "Last-Event-ID is not an id of ours: " + *last);
    }
    command.mLineage = AttemptNumber(*lineage);
    command.mOffset = *offset;
    return command;
  }

  CallerCommand ReadSubmit(const CustomerName& aCustomer,
                           const ServiceName& aService) const
  {
    const auto* rules = mContext.mSettings->Effective(aCustomer, aService);
    if (rules == nullptr) {
      return RefuseBySettings(MakeNotFound());
    }
    const std::string name =
      HeaderOf(mRequest, "idempotency-key").value_or(mContext.mFreshKey);
    if (!IsGoodKey(name)) {
      return BadRequest("bad-idempotency-key",
                        "Idempotency-Key must be 1 to 128 visible letters "
                        "without '/'");
    }
    if (!ParseJson(mRequest.mBody)) {
      return BadRequest("bad-body", "the body is not JSON");
    }
    SubmitCommand command{
      .mKey = RequestKey{ aCustomer, name },
      .mTerms = ledger::RequestTerms{ .mService = aService,
                                      .mBody = mRequest.mBody,
                                      .mIdempotent = rules->mIdempotent,
                                      .mPriority = rules->mPriority },
      .mRemaining = rules->mDeadlineDefault,
      .mStream = WantsStream(mRequest),
      .mKeyIsNew = !HeaderOf(mRequest, "idempotency-key").has_value(),
    };
    if (auto refused = ReadTerms(*rules, command)) {
      return *refused;
    }
    return command;
  }

  std::optional<RefusedCommand> ReadTerms(
    const settings::EffectiveService& aRules,
    SubmitCommand& aCommand) const
  {
    if (const auto text = HeaderOf(mRequest, "x-deadline-ms")) {
      const auto milliseconds = ParseNumber<std::int64_t>(*text);
      const auto most = std::chrono::duration_cast<std::chrono::milliseconds>(
        aRules.mDeadlineMax);
      if (!milliseconds || *milliseconds <= 0 || *milliseconds > most.count()) {
        return BadRequest("bad-deadline",
                          "x-deadline-ms must be 1 to " +
                            std::to_string(most.count()));
      }
      aCommand.mRemaining = std::chrono::milliseconds(*milliseconds);
    }
    if (const auto text = HeaderOf(mRequest, "x-idempotent")) {
      if (*text != "true" && *text != "false") {
        return BadRequest("bad-idempotent",
                          "x-idempotent must be true or false");
      }
      aCommand.mTerms.mIdempotent = *text == "true";
    }
    if (const auto text = HeaderOf(mRequest, "x-priority")) {
      const auto priority = mContext.mSettings->Priority(*text);
      if (!priority) {
        return BadRequest("bad-priority", "no such priority: " + *text);
      }
      aCommand.mTerms.mPriority = *priority;
    }
    return std::nullopt;
  }

  const HttpRequest& mRequest;
  const CallerApiContext& mContext;
  std::vector<std::string> mPath;
};

} // namespace

CallerCommand
ReadCallerRequest(const HttpRequest& aRequest, const CallerApiContext& aContext)
{
  return Reader(aRequest, aContext).Read();
}

} // namespace peridotspool::http
