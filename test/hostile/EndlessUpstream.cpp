#include "hostile/EndlessUpstream.h"

#include <sys/socket.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace peridotspool::hostile {

using soak::Ms;

namespace {

constexpr Ms kBeat{ 300 };
constexpr Ms kPatience{ 100 };
constexpr std::size_t kBlockBytes = std::size_t{ 64 } << 10;

/** Many pieces in a row, so that small ones are sent together. */
std::string
BlockOf(const std::string& aPiece)
{
  std::string block;
  while (block.size() < kBlockBytes) {
    block += aPiece;
  }
  return block;
}

} // namespace

EndlessUpstream::EndlessUpstream(const soak::Places& aPlaces,
                                 int aNumber,
                                 std::string aService,
                                 EndlessAnswer aAnswer)
  : mPlaces(aPlaces)
  , mNumber(aNumber)
  , mService(std::move(aService))
  , mAnswer(std::move(aAnswer))
  , mListening(soak::ListenAt(aPlaces.Upstream(aNumber), soak::kUpstreamPort))
{
  mAccepting = std::thread([this] { Accept(); });
  mBeating = std::thread([this] { Beat(); });
}

EndlessUpstream::~EndlessUpstream()
{
  mRunning = false;
  ::shutdown(mListening, SHUT_RDWR);
  mAccepting.join();
  mBeating.join();
  ::close(mListening);
}

void
EndlessUpstream::Beat()
{
  soak::Announcer announcer(mPlaces);
  const std::string address =
    mPlaces.Upstream(mNumber) + ":" + std::to_string(soak::kUpstreamPort);
  for (std::uint64_t sequence = 1; mRunning; ++sequence) {
    announcer.Tell(
      "/instances/endless-" + std::to_string(mNumber) + "/heartbeat",
      soak::BeatText(
        mService, address, mNumber % soak::kDomains, "ready", sequence));
    std::this_thread::sleep_for(kBeat);
  }
}

void
EndlessUpstream::Accept()
{
  std::vector<std::thread> sessions;
  while (mRunning) {
    if (auto wire = soak::AcceptOn(mListening, kPatience)) {
      sessions.emplace_back(
        [this, held = std::move(*wire)]() mutable { Serve(held); });
    }
  }
  for (std::thread& session : sessions) {
    session.join();
  }
}

void
EndlessUpstream::Serve(soak::Wire& aWire)
{
  std::optional<soak::HttpText> request;
  while (mRunning && !request) {
    request = aWire.ReadRequest(kPatience);
  }
  if (!request) {
    return;
  }
  ++mRequests;
  std::string head = mAnswer.mHead;
  const std::size_t place = head.find("{id}");
  if (place != std::string::npos) {
    head.replace(place, 4, request->Field("peridotspool-request-id"));
  }
  const std::string block = BlockOf(mAnswer.mPiece);
  bool goesOn = aWire.Send(head);
  while (mRunning && goesOn) {
    goesOn = aWire.Send(block);
  }
}

} // namespace peridotspool::hostile
