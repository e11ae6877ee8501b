#include "soak/MixedCallers.h"

#include "soak/SoakWire.h"

#include <cstdlib>
#include <random>

namespace peridotspool::soak {

namespace {

constexpr Ms kPause{ 50 };
constexpr Ms kPatience{ 5000 };
/** A caller that is told to return later than this doesn't. */
constexpr Ms kMaxReturn{ 3000 };

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
    const int entry = 1 + static_cast<int>(random() % kMachines);
    const std::string id =
      "m" + std::to_string(aCaller) + "-" + std::to_string(sent);
    const auto wait = Send(id, kind, entry);
    if (wait && *wait <= kMaxReturn && mSending) {
      std::this_thread::sleep_for(*wait);
      Send(id + kReturned, kind, entry);
    }
    std::this_thread::sleep_for(kPause);
  }
}

std::optional<Ms>
MixedCallers::Send(const std::string& aId, Kind aKind, int aEntry)
{
  SeenRequest request{
    .mId = aId, .mKind = aKind, .mMachine = aEntry, .mSentAt = Clock::now()
  };
  const auto answer =
    CallOnce(mPlaces.Own(aEntry),
             kCallerPort,
             RequestText("POST",
                         std::string("/") + NameOf(aKind) + "/x",
                         "Peridotspool-Request-Id: " + aId +
                           "\r\nPeridotspool-Deadline-Ms: 4000\r\n",
                         "body of " + aId),
             kPatience);
  request.mEndedAt = Clock::now();
  const std::string retryAfter = answer ? answer->Field("retry-after") : "";
  if (answer) {
    request.mEnding = Ending::kAnswered;
    request.mStatus = answer->mStatus;
    request.mHasRetryAfter = !retryAfter.empty();
  }
  mRecorder.With(
    [&](Record& aRecord) { aRecord.mRequests.push_back(request); });
  return retryAfter.empty()
           ? std::nullopt
           : std::optional(
               Ms(static_cast<int>(1000 * std::atof(retryAfter.c_str()))));
}

} // namespace peridotspool::soak
