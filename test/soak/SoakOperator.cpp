#include "soak/SoakOperator.h"

#include <boost/json.hpp>

namespace peridotspool::soak {

namespace {

constexpr Ms kPause{ 250 };
/** A change without a clear answer is given up after this long. */
constexpr Ms kPatience{ 8000 };
/** The probes' services are announced this long before they are needed. */
constexpr Ms kAnnounce{ 700 };

std::string
RouteText(Kind aKind)
{
  constexpr const char* kKinds[] = {
    "idempotent", "non_idempotent", "streaming", "streaming"
  };
  const std::string name = NameOf(aKind);
  return R"({"name":"r-)" + name + R"(","host":")" + kHost +
         R"(","path_prefix":"/)" + name + R"(/","kind":")" +
         kKinds[static_cast<int>(aKind)] + R"(","timeout_ms":)" +
         (IsStream(aKind) ? "4000" : "2000") +
         R"(,"target_latency_ms":300,"priority":1,"service":")" + name +
         R"(","max_attempts":3,"public":true,"sticky":false,"resumable":)" +
         (aKind == Kind::kResume ? "true" : "false") + "},";
}

std::string
ServiceText(const std::string& aName)
{
  return R"({"name":")" + aName +
         R"(","health_path":"/healthz","max_conns":100,"protocol":"h1","tls":false})";
}

} // namespace

std::string
ConfigText(std::uint64_t aVersion)
{
  const std::string probe = "probe-" + std::to_string(aVersion);
  std::string routes;
  std::string services;
  for (const Kind kind :
       { Kind::kSafe, Kind::kOnce, Kind::kStream, Kind::kResume }) {
    routes += RouteText(kind);
    services += ServiceText(NameOf(kind)) + ",";
  }
  return R"({"version":)" + std::to_string(aVersion) + R"(,"routes":[)" +
         routes + R"({"name":"r-probe","host":")" + kHost +
         R"(","path_prefix":"/probe/","kind":"idempotent","timeout_ms":600,)" +
         R"("target_latency_ms":300,"priority":1,"service":")" + probe +
         R"(","max_attempts":1,"public":true,"sticky":false,"resumable":false}],)" +
         R"("services":[)" + services + ServiceText(probe) +
         R"(],"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,)" +
         R"("header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[]})";
}

SoakOperator::SoakOperator(const Places& aPlaces,
                           std::uint64_t aSeed,
                           SoakProbe& aProbe,
                           Recorder& aRecorder)
  : mPlaces(aPlaces)
  , mRandom(aSeed)
  , mProbe(aProbe)
  , mRecorder(aRecorder)
{
}

SoakOperator::~SoakOperator()
{
  mRunning = false;
  if (mThread.joinable()) {
    mThread.join();
  }
}

bool
SoakOperator::SendFirst(Ms aPatience)
{
  mProbe.Know(mVersion);
  SeenChange change{ .mVersion = mVersion, .mSentAt = Clock::now() };
  const auto status = Send(ConfigText(mVersion), aPatience);
  change.mAckedAt = Clock::now();
  mRecorder.With([&](Record& aRecord) { aRecord.mChanges.push_back(change); });
  return status == 200U;
}

void
SoakOperator::Start()
{
  mThread = std::thread([this] { Run(); });
}

void
SoakOperator::Run()
{
  while (mRunning) {
    const auto what = mRandom() % 8;
    if (what == 0) {
      ChangeInvalid();
    } else if (what <= 2) {
      Change();
      // Five changes in a row may fill the calm at the end, in which something
      // has to be read back.
      ReadBack();
    } else {
      ReadBack();
    }
    std::this_thread::sleep_for(kPause);
  }
}

// Follows the way to the leader; where nobody says no or yes, the same is sent
// again to another replica.
std::optional<unsigned>
SoakOperator::Send(const std::string& aText, Ms aPatience)
{
  const std::string request = RequestText(
    "POST", "/config/replace", "Content-Type: application/json\r\n", aText);
  const Time deadline = Clock::now() + aPatience;
  while (Clock::now() < deadline) {
    const auto answer =
      Call(static_cast<int>(mRandom() % kControls) + 1, request);
    if (answer && (answer->mStatus == 200 || answer->mStatus / 100 == 4)) {
      return answer->mStatus;
    }
    std::this_thread::sleep_for(Ms(100));
  }
  return std::nullopt;
}

std::optional<HttpText>
SoakOperator::Call(int aMachine, const std::string& aRequest)
{
  auto answer = CallOnce(mPlaces.Own(aMachine), kControlPort, aRequest);
  for (int hops = 0; answer && answer->mStatus == 307 && hops < 2; ++hops) {
    // http://HOST:PORT/path; the leader is known by its public address.
    const std::string there = answer->Field("location").substr(7);
    const std::string host = there.substr(0, there.find(':'));
    const int machine = std::stoi(host.substr(host.rfind('.') + 1));
    answer = CallOnce(mPlaces.Own(machine), kControlPort, aRequest);
  }
  return answer;
}

void
SoakOperator::Change()
{
  mVersion += 1 + mRandom() % 3;
  mProbe.Know(mVersion);
  std::this_thread::sleep_for(kAnnounce);
  SeenChange change{ .mVersion = mVersion, .mSentAt = Clock::now() };
  const auto status = Send(ConfigText(mVersion), kPatience);
  if (status == 200U) {
    change.mAckedAt = Clock::now();
  }
  change.mRefused = status && *status != 200;
  mRecorder.With([&](Record& aRecord) { aRecord.mChanges.push_back(change); });
}

void
SoakOperator::ChangeInvalid()
{
  // A version far above all others: were it taken, nothing could follow it.
  SeenChange change{ .mVersion = 1000000 + mRandom() % 1000,
                     .mValid = false,
                     .mSentAt = Clock::now() };
  std::string text = ConfigText(change.mVersion);
  switch (mRandom() % 3) {
    case 0:
      text.resize(text.size() / 2);
      break;
    case 1:
      text.replace(
        text.find("\"service\":\"once\""), 16, "\"service\":\"none\"");
      break;
    default:
      text.replace(text.find("\"timeout_ms\":2000"), 17, "\"timeout_ms\":0");
      break;
  }
  const auto status = Send(text, Ms(1500));
  if (status == 200U) {
    change.mAckedAt = Clock::now();
  }
  mRecorder.With([&](Record& aRecord) { aRecord.mChanges.push_back(change); });
}

void
SoakOperator::ReadBack()
{
  SeenVersion seen{ .mMachine = static_cast<int>(mRandom() % kControls) + 1,
                    .mSentAt = Clock::now() };
  const auto answer =
    Call(seen.mMachine, RequestText("GET", "/config/read", "", ""));
  if (!answer || answer->mStatus != 200) {
    return;
  }
  seen.mAnsweredAt = Clock::now();
  boost::system::error_code error;
  const auto body = boost::json::parse(answer->mBody, error);
  seen.mVersion =
    error ? 0 : body.as_object().at("version").to_number<std::uint64_t>();
  mRecorder.With([&](Record& aRecord) { aRecord.mRead.push_back(seen); });
}

} // namespace peridotspool::soak
