#include "soak/SoakCloud.h"

#include <unistd.h>

namespace peridotspool::soak {

SoakCloud::SoakCloud(const Places& aPlaces, Recorder& aRecorder)
  : mRecorder(aRecorder)
  , mListening(ListenAt(aPlaces.Cloud(), kCloudPort))
  , mThread([this] { Serve(); })
{
}

SoakCloud::~SoakCloud()
{
  mRunning = false;
  mThread.join();
  ::close(mListening);
}

void
SoakCloud::Serve()
{
  while (mRunning) {
    auto wire = AcceptOn(mListening, Ms(50));
    const auto request = wire ? wire->ReadRequest(Ms(300)) : std::nullopt;
    if (!request) {
      continue;
    }
    const std::string fence = request->Field("peridotspool-fence-token");
    mRecorder.With([&](Record& aRecord) {
      aRecord.mDuties.push_back(
        { .mHolder = request->Field("peridotspool-duty-holder"),
          .mFence = fence.empty() ? 0 : std::stoull(fence),
          .mPath = request->mTarget,
          .mBody = request->mBody,
          .mAt = Clock::now() });
    });
    wire->Send("HTTP/1.1 200 OK\r\nConnection: close\r\n"
               "Content-Length: 0\r\n\r\n");
  }
}

} // namespace peridotspool::soak
