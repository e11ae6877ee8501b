#include "soak/SoakWatcher.h"

namespace peridotspool::soak {

namespace {

constexpr Ms kPause{ 150 };

} // namespace

SoakWatcher::SoakWatcher(const Places& aPlaces, Recorder& aRecorder)
  : mPlaces(aPlaces)
  , mRecorder(aRecorder)
{
  for (int machine = 1; machine <= kMachines; ++machine) {
    mThreads.emplace_back([this, machine] { Run(machine); });
  }
}

SoakWatcher::~SoakWatcher()
{
  mRunning = false;
  for (std::thread& thread : mThreads) {
    thread.join();
  }
}

void
SoakWatcher::NoteLife(int aMachine, int aLife)
{
  mLives.at(static_cast<std::size_t>(aMachine)) = aLife;
}

// What is answered while the process is replaced belongs to no life.
void
SoakWatcher::Run(int aMachine)
{
  const auto& life = mLives.at(static_cast<std::size_t>(aMachine));
  for (int number = 1; mRunning; ++number) {
    SeenVersion seen{ .mMachine = aMachine,
                      .mLife = life,
                      .mSentAt = Clock::now() };
    const auto version =
      ProbeEntry(mPlaces.Own(aMachine),
                 "p" + std::to_string(aMachine) + "-" + std::to_string(number));
    if (version && seen.mLife == life) {
      seen.mAnsweredAt = Clock::now();
      seen.mVersion = *version;
      mRecorder.With(
        [&](Record& aRecord) { aRecord.mInForce.push_back(seen); });
    }
    std::this_thread::sleep_for(kPause);
  }
}

} // namespace peridotspool::soak
