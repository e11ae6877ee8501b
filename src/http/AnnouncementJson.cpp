#include "http/AnnouncementJson.h"

#include "http/JsonFields.h"

#include <algorithm>
#include <limits>

namespace peridotspool::http {

namespace json = boost::json;
using routing::UpstreamAnnouncement;
using routing::UpstreamKind;
using routing::UpstreamState;

namespace {

constexpr std::size_t kMaxNameBytes = 128;
constexpr std::size_t kMaxModels = 64;
/** A lease longer than this would keep a lost leaving notice unnoticed. */
constexpr std::int64_t kMaxLeaseMs = 2000;

Duration
MillisecondsField(const json::object& aFields, std::string_view aName)
{
  const auto count = UnsignedField(aFields, aName).value_or(0);
  constexpr std::uint64_t kMost = 3600000;
  return std::chrono::milliseconds(std::min(count, kMost));
}

std::uint32_t
CountField(const json::object& aFields, std::string_view aName)
{
  const std::uint64_t most = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(
    std::min(UnsignedField(aFields, aName).value_or(0), most));
}

bool
ReadName(const json::object& aFields,
         std::string_view aName,
         std::string& aValue,
         LastReason& aReason)
{
  const auto text = TextField(aFields, aName);
  if (!text || text->empty() || text->size() > kMaxNameBytes) {
    aReason.Set("\"" + std::string(aName) + "\" must be a text of 1 to " +
                std::to_string(kMaxNameBytes) + " bytes");
    return false;
  }
  aValue = *text;
  return true;
}

bool
ReadAddress(const json::object& aFields, Address& aAddress, LastReason& aReason)
{
  const auto text = TextField(aFields, "address").value_or("");
  const auto colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0) {
    aReason.Set("\"address\" must be \"IP:port\"");
    return false;
  }
  const int port = std::atoi(text.c_str() + colon + 1);
  if (port <= 0 || port > std::numeric_limits<std::uint16_t>::max()) {
    aReason.Set("\"address\" has no valid port");
    return false;
  }
  aAddress = Address{ .mHost = text.substr(0, colon),
                      .mPort = static_cast<std::uint16_t>(port) };
  return true;
}

bool
ReadKindAndState(const json::object& aFields,
                 UpstreamAnnouncement& aAnnouncement,
                 LastReason& aReason)
{
  const std::string kind = TextField(aFields, "kind").value_or("");
  const std::string state = TextField(aFields, "state").value_or("serving");
  if (kind != "model-engine" && kind != "plain-service") {
    aReason.Set("\"kind\" must be \"model-engine\" or "
                "\"plain-service\"");
    return false;
  }
  if (state != "serving" && state != "leaving") {
    aReason.Set("\"state\" must be \"serving\" or \"leaving\"");
    return false;
  }
  aAnnouncement.mKind = kind == "model-engine" ? UpstreamKind::kModelEngine
                                               : UpstreamKind::kPlainService;
  aAnnouncement.mState =
    state == "leaving" ? UpstreamState::kLeaving : UpstreamState::kServing;
  return true;
}

bool
ReadIdentity(const json::object& aFields,
             UpstreamAnnouncement& aAnnouncement,
             LastReason& aReason)
{
  std::string name;
  std::string service;
  std::string domain;
  if (!ReadName(aFields, "name", name, aReason) ||
      !ReadName(aFields, "service", service, aReason) ||
      !ReadName(aFields, "domain", domain, aReason)) {
    return false;
  }
  aAnnouncement.mName = UpstreamName(name);
  aAnnouncement.mService = ServiceName(service);
  aAnnouncement.mDomain = FailureDomain(domain);
  aAnnouncement.mIncarnation =
    Incarnation(UnsignedField(aFields, "incarnation").value_or(0));
  aAnnouncement.mSequence = UnsignedField(aFields, "sequence").value_or(0);
  const std::string version = TextField(aFields, "version").value_or("");
  if (version.size() > kMaxNameBytes) {
    aReason.Set("\"version\" must have at most 128 bytes");
    return false;
  }
  aAnnouncement.mVersion = VersionName(version);
  if (!aAnnouncement.mIncarnation.IsSet() || aAnnouncement.mSequence == 0) {
    aReason.Set("\"incarnation\" and \"sequence\" must be above 0");
    return false;
  }
  return true;
}

void
ReadLoad(const json::object& aFields, UpstreamAnnouncement& aAnnouncement)
{
  aAnnouncement.mSlots = std::max(1U, CountField(aFields, "slots"));
  aAnnouncement.mPriceMicrosPerHour =
    UnsignedField(aFields, "price_micros_per_hour").value_or(0);
  aAnnouncement.mReclaimable =
    BoolField(aFields, "reclaimable").value_or(false);
  aAnnouncement.mChecksFencing =
    BoolField(aFields, "checks_fencing").value_or(false);
  aAnnouncement.mRunning = CountField(aFields, "running");
  aAnnouncement.mWaiting = CountField(aFields, "waiting");
  aAnnouncement.mFirstToken = MillisecondsField(aFields, "first_token_ms");
  aAnnouncement.mTokenGap = MillisecondsField(aFields, "token_gap_ms");
  aAnnouncement.mLease =
    std::min<Duration>(MillisecondsField(aFields, "lease_ms"),
                       std::chrono::milliseconds(kMaxLeaseMs));
}

bool
ReadModels(const json::object& aFields,
           UpstreamAnnouncement& aAnnouncement,
           LastReason& aReason)
{
  const json::value* models = aFields.if_contains("models");
  if (models == nullptr) {
    return true;
  }
  if (!models->is_array() || models->get_array().size() > kMaxModels) {
    aReason.Set("\"models\" must be a list of at most 64 names");
    return false;
  }
  for (const json::value& model : models->get_array()) {
    if (!model.is_string() || model.get_string().size() > kMaxNameBytes) {
      aReason.Set("\"models\" must hold texts of at most 128 bytes");
      return false;
    }
    aAnnouncement.mModels.emplace_back(model.get_string());
  }
  return true;
}

std::int64_t
Milliseconds(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration)
    .count();
}

} // namespace

std::optional<UpstreamAnnouncement>
ReadAnnouncementJson(const std::string& aBody, LastReason& aReason)
{
  const auto data = ParseJson(aBody);
  const json::object* fields = data ? data->if_object() : nullptr;
  if (fields == nullptr) {
    aReason.Set("the body must be a JSON object");
    return std::nullopt;
  }
  UpstreamAnnouncement announcement;
  if (!ReadIdentity(*fields, announcement, aReason) ||
      !ReadKindAndState(*fields, announcement, aReason) ||
      !ReadAddress(*fields, announcement.mAddress, aReason) ||
      !ReadModels(*fields, announcement, aReason)) {
    return std::nullopt;
  }
  ReadLoad(*fields, announcement);
  if (announcement.mLease <= Duration(0)) {
    aReason.Set("\"lease_ms\" must be above 0");
    return std::nullopt;
  }
  return announcement;
}

json::object
WriteAnnouncementJson(const UpstreamAnnouncement& aAnnouncement)
{
  const bool engine = aAnnouncement.mKind == UpstreamKind::kModelEngine;
  const bool leaving = aAnnouncement.mState == UpstreamState::kLeaving;
  return json::object{
    { "name", aAnnouncement.mName.Value() },
    { "incarnation", aAnnouncement.mIncarnation.Value() },
    { "sequence", aAnnouncement.mSequence },
    { "service", aAnnouncement.mService.Value() },
    { "domain", aAnnouncement.mDomain.Value() },
    { "version", aAnnouncement.mVersion.Value() },
    { "kind", engine ? "model-engine" : "plain-service" },
    { "state", leaving ? "leaving" : "serving" },
    { "address", ToText(aAnnouncement.mAddress) },
    { "slots", aAnnouncement.mSlots },
    { "running", aAnnouncement.mRunning },
    { "waiting", aAnnouncement.mWaiting },
    { "price_micros_per_hour", aAnnouncement.mPriceMicrosPerHour },
    { "reclaimable", aAnnouncement.mReclaimable },
    { "checks_fencing", aAnnouncement.mChecksFencing },
    { "first_token_ms", Milliseconds(aAnnouncement.mFirstToken) },
    { "token_gap_ms", Milliseconds(aAnnouncement.mTokenGap) },
    { "lease_ms", Milliseconds(aAnnouncement.mLease) },
  };
}

} // namespace peridotspool::http
