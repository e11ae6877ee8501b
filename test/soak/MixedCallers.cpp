#include "soak/MixedCallers.h"

#include "soak/SoakWire.h"

#include <random>

namespace peridotspool::soak {

namespace {

constexpr Ms kPause{ 50 };
constexpr Ms kPatience{ 5000 };

} // namespace

MixedCallers::MixedCallers(const Places& aPlaces,
                           int aCount,
                           std::uint64_t aSeed,
                           Recorder& aRecorder)
  : mPlaces(aPlaces)
  , mSeed(aSeed)
  , mRecorder(aRecorder)
{
  for (int number = 0; number < aCount; ++number) {
    mThreads.emplace_back([this, number] { Repeat(number); });
  }
}

MixedCallers::~MixedCallers()
{
  mSending = false;
  for (std::thread& thread : mThreads) {
    thread.join();
  }
}

void
MixedCallers::Repeat(int aCaller)
{
  std::mt19937_64 random(mSeed * 1000 + static_cast<std::uint64_t>(aCaller));
  for (int sent = 0; mSending; ++sent) {
    const Kind kind = static_cast<Kind>(random() % 4);
    SeenRequest request{ .mId = "m" + std::to_string(aCaller) + "-" +
                                std::to_string(sent),
                         .mKind = kind,
                         .mMachine = 1 + static_cast<int>(random() % kMachines),
                         .mSentAt = Clock::now() };
    const auto answer =
      CallOnce(mPlaces.Own(request.mMachine),
               kCallerPort,
               RequestText("POST",
                           std::string("/") + NameOf(kind) + "/x",
                           "Peridotspool-Request-Id: " + request.mId +
                             "\r\nPeridotspool-Deadline-Ms: 4000\r\n",
                           "body of " + request.mId),
               kPatience);
    request.mEndedAt = Clock::now();
    if (answer) {
      request.mEnding = Ending::kAnswered;
      request.mStatus = answer->mStatus;
      request.mHasRetryAfter = !answer->Field("retry-after").empty();
    }
    mRecorder.With(
      [&](Record& aRecord) { aRecord.mRequests.push_back(request); });
    std::this_thread::sleep_for(kPause);
  }
}

} // namespace peridotspool::soak
