#include "soak/SteadyCallers.h"

#include "soak/SoakWire.h"

#include <algorithm>
#include <random>
#include <utility>

namespace peridotspool::soak {

namespace {

/** Between two requests of a caller. */
constexpr Ms kPause{ 80 };
constexpr Ms kPatience{ 5000 };
constexpr Ms kDeadline{ 2000 };
/** A refusal that comes later was held back. */
constexpr Ms kAtOnce = kDeadline / 2;

} // namespace

SteadyCallers::SteadyCallers(const Places& aPlaces,
                             std::string aService,
                             int aCount)
  : mPlaces(aPlaces)
  , mService(std::move(aService))
{
  for (int number = 0; number < aCount; ++number) {
    mThreads.emplace_back([this, number] { Repeat(number); });
  }
}

SteadyCallers::~SteadyCallers()
{
  mSending = false;
  for (std::thread& thread : mThreads) {
    thread.join();
  }
}

std::size_t
SteadyCallers::Unserved(Time aFrom) const
{
  const std::lock_guard lock(mMutex);
  return static_cast<std::size_t>(std::count_if(
    mUnserved.begin(), mUnserved.end(), [&](Time aAt) { return aAt > aFrom; }));
}

std::size_t
SteadyCallers::RefusedLate() const
{
  const std::lock_guard lock(mMutex);
  return mRefusedLate;
}

void
SteadyCallers::Repeat(int aCaller)
{
  std::mt19937_64 random(static_cast<std::uint64_t>(aCaller));
  for (int sent = 0; mSending; ++sent) {
    const int entry = 1 + static_cast<int>(random() % kMachines);
    const Time at = Clock::now();
    const auto answer = CallOnce(
      mPlaces.Own(entry),
      kCallerPort,
      RequestText("GET",
                  "/" + mService + "/x",
                  "Peridotspool-Request-Id: r" + std::to_string(aCaller) + "-" +
                    std::to_string(sent) + "\r\nPeridotspool-Deadline-Ms: " +
                    std::to_string(kDeadline.count()) + "\r\n",
                  ""),
      kPatience);
    if (!answer || answer->mStatus != 200) {
      const bool isLate =
        answer && answer->mStatus == 503 && Clock::now() - at > kAtOnce;
      const std::lock_guard lock(mMutex);
      mUnserved.push_back(at);
      mRefusedLate += isLate ? 1 : 0;
    }
    std::this_thread::sleep_for(kPause);
  }
}

} // namespace peridotspool::soak
