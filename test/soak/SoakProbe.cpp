#include "soak/SoakProbe.h"

#include <unistd.h>

namespace peridotspool::soak {

namespace {

constexpr Ms kBeat{ 400 };

std::string
ServiceOf(std::uint64_t aVersion)
{
  return "probe-" + std::to_string(aVersion);
}

} // namespace

SoakProbe::SoakProbe(const Places& aPlaces, int aNumber)
  : mPlaces(aPlaces)
  , mNumber(aNumber)
{
}

SoakProbe::~SoakProbe()
{
  mRunning = false;
  if (mBeating.joinable()) {
    mBeating.join();
    mServing.join();
  }
  ::close(mListening);
}

void
SoakProbe::Start()
{
  mListening = ListenAt(mPlaces.Upstream(mNumber), kUpstreamPort);
  mBeating = std::thread([this] { Beat(); });
  mServing = std::thread([this] { Serve(); });
}

void
SoakProbe::Know(std::uint64_t aVersion)
{
  const std::lock_guard lock(mMutex);
  mVersions.insert(aVersion);
}

void
SoakProbe::Beat()
{
  Announcer announcer(mPlaces);
  const std::string address =
    mPlaces.Upstream(mNumber) + ":" + std::to_string(kUpstreamPort);
  std::uint64_t sequence = 0;
  while (mRunning) {
    ++sequence;
    std::set<std::uint64_t> versions;
    {
      const std::lock_guard lock(mMutex);
      versions = mVersions;
    }
    for (const std::uint64_t version : versions) {
      announcer.Tell(
        "/instances/i-" + ServiceOf(version) + "/heartbeat",
        BeatText(
          ServiceOf(version), address, mNumber % kDomains, "ready", sequence));
    }
    std::this_thread::sleep_for(kBeat);
  }
}

// One request a connection, so that one thread is enough.
void
SoakProbe::Serve()
{
  constexpr std::string_view kPrefix = "i-probe-";
  while (mRunning) {
    auto wire = AcceptOn(mListening, Ms(50));
    const auto request = wire ? wire->ReadRequest(Ms(300)) : std::nullopt;
    if (!request) {
      continue;
    }
    const std::string meant = request->Field("peridotspool-expect-instance");
    const std::string body =
      meant.starts_with(kPrefix) ? meant.substr(kPrefix.size()) : "";
    const std::string id = request->Field("peridotspool-request-id");
    wire->Send("HTTP/1.1 200 OK\r\nPeridotspool-Request-Id: " + id +
               "\r\nPeridotspool-Response-Stamp: probe\r\n"
               "Connection: close\r\nContent-Length: " +
               std::to_string(body.size()) + "\r\n\r\n" + body);
  }
}

std::optional<std::uint64_t>
ProbeEntry(const std::string& aHost, const std::string& aId)
{
  const auto answer =
    CallOnce(aHost,
             kCallerPort,
             RequestText("GET",
                         "/probe/x",
                         "Peridotspool-Request-Id: " + aId +
                           "\r\nPeridotspool-Deadline-Ms: 600\r\n"
                           "Connection: close\r\n",
                         ""),
             Ms(700));
  if (!answer || answer->mStatus != 200 || answer->mBody.empty()) {
    return std::nullopt;
  }
  return std::stoull(answer->mBody);
}

} // namespace peridotspool::soak
