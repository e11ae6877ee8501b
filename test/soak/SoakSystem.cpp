#include "soak/SoakSystem.h"

#include "support/TestRoot.h"

#include <unistd.h>

namespace peridotspool::soak {

namespace {

constexpr int kProbeNumber = 9;
constexpr Ms kFirstConfig{ 15000 };

} // namespace

SoakSystem::SoakSystem(int aBlock, const std::string& aName)
  : mPlaces{ aBlock }
  , mFolder(test::TestRoot() /
            ("peridotspool-" + aName + "-" + std::to_string(::getpid()) + "-" +
             std::to_string(aBlock)))
  , mProxy(mPlaces)
  , mProbe(mPlaces, kProbeNumber)
  , mOperator(mPlaces, 1, mProbe, mRecorder)
{
  std::filesystem::remove_all(mFolder);
  for (int number = 1; number <= kMachines; ++number) {
    mMachines.push_back(std::make_unique<SoakMachine>(
      mPlaces, number, mFolder / ("m" + std::to_string(number))));
  }
}

SoakSystem::~SoakSystem()
{
  if (mDropsLogs) {
    std::filesystem::remove_all(mFolder);
  }
}

bool
SoakSystem::Start()
{
  if (!mProxy.Start()) {
    return false;
  }
  for (const auto& machine : mMachines) {
    machine->WriteSettings(true);
    machine->StartAll();
  }
  mProbe.Start();
  if (!mOperator.SendFirst(kFirstConfig)) {
    return false;
  }
  for (const auto& machine : mMachines) {
    machine->WriteSettings(false);
  }
  return true;
}

} // namespace peridotspool::soak
