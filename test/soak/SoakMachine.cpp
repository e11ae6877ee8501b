#include "soak/SoakMachine.h"

#include <csignal>
#include <fstream>
#include <sys/resource.h>

namespace peridotspool::soak {

namespace {

const char* const kProgram = PERIDOTSPOOL_BINARY_DIR "/peridotspool-platform";
/** Less than one record of the journal. */
constexpr rlim_t kNoRoom = 16;
/** A program has surely come to its main by then. */
constexpr Ms kUntilMain{ 300 };

std::string
At(const std::string& aHost, std::uint16_t aPort)
{
  return aHost + ":" + std::to_string(aPort);
}

} // namespace

SoakMachine::SoakMachine(const Places& aPlaces,
                         int aNumber,
                         std::filesystem::path aFolder)
  : mPlaces(aPlaces)
  , mNumber(aNumber)
  , mFolder(std::move(aFolder))
{
  std::filesystem::create_directories(mFolder);
}

std::string
SoakMachine::File(const std::string& aName) const
{
  return (mFolder / aName).string();
}

void
SoakMachine::WriteSettings(bool aFirstStart) const
{
  const std::string common =
    "name: m" + std::to_string(mNumber) + "\nregion: r\nfailure_domain: d" +
    std::to_string(mNumber % kDomains) +
    "\nstop_grace: 8s\nlog:\n  file: \"-\"\n" + mMoreSettings;
  std::string seeds;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    seeds += (seed == 1 ? "" : ",") + At(mPlaces.Public(seed), kControlPort);
  }
  seeds = "seeds:\n  addresses: \"" + seeds +
          "\"\n  peer_port: " + std::to_string(kPeerPort) + "\n";
  const std::string own = mPlaces.Own(mNumber);
  const std::string shared = "shared:\n  retry_extra: 1000\n";
  std::ofstream(File("entry.yaml"))
    << common << seeds << shared
    << "listen:\n  peer: " << At(mPlaces.Public(mNumber), kEntryPeerPort)
    << "\n  peer_bind: " << At(own, kEntryPeerPort)
    << "\n  callers: " << At(own, kCallerPort)
    << "\n  ready: " << At(own, kReadyPort) << "\n";
  const bool founds = aFirstStart && mNumber <= kSeeds;
  std::ofstream(File("control.yaml"))
    << common << seeds << "  founding: " << (founds ? "true" : "false") << "\n"
    << shared << "tolerated_losses: 1\ndata_folder: " << File("data")
    << "\nlisten:\n  peer: " << At(mPlaces.Public(mNumber), kPeerPort)
    << "\n  peer_bind: " << At(own, kPeerPort)
    << "\n  operators: " << At(own, kControlPort)
    << "\n  directory: " << At(own, kDirectoryPort)
    << "\nduties:\n  cloud: " << At(mPlaces.Cloud(), kCloudPort)
    << "\n  usage_window: 2s\n  usage_late: 5s\n  lease: 3s\n";
}

std::unique_ptr<test::ChildProcess>
SoakMachine::Start(const std::string& aRole)
{
  mStartedAt = Clock::now();
  return std::make_unique<test::ChildProcess>(
    kProgram,
    std::vector<std::string>{ "--settings", File(aRole + ".yaml"), aRole },
    File(aRole + ".log"));
}

void
SoakMachine::StartEntry()
{
  if (!mEntry) {
    ++mEntryLife;
    mEntryStops = false;
    mEntry = Start("entry");
  }
}

void
SoakMachine::StartControl()
{
  if (HasControl() && !mControl) {
    mControlStops = false;
    mControl = Start("control");
  }
}

void
SoakMachine::StartAll()
{
  StartControl();
  StartEntry();
}

void
SoakMachine::KillEntry()
{
  mEntry.reset();
}

void
SoakMachine::KillControl()
{
  mControl.reset();
}

void
SoakMachine::Signal(int aSignal) const
{
  for (const auto* process : { &mEntry, &mControl }) {
    if (*process) {
      (*process)->Signal(aSignal);
    }
  }
}

void
SoakMachine::Reload() const
{
  if (Clock::now() - mStartedAt > kUntilMain) {
    Signal(SIGHUP);
  }
}

void
SoakMachine::AskToStop()
{
  mEntryStops = true;
  mControlStops = true;
  Signal(SIGTERM);
}

void
SoakMachine::FillDisk(bool aFull) const
{
  if (mControl) {
    const rlimit limit{ .rlim_cur = aFull ? kNoRoom : RLIM_INFINITY,
                        .rlim_max = RLIM_INFINITY };
    ::prlimit(mControl->Pid(), RLIMIT_FSIZE, &limit, nullptr);
  }
}

void
SoakMachine::LoseDisk() const
{
  std::filesystem::remove_all(mFolder / "data");
}

void
SoakMachine::TearTail() const
{
  std::error_code ignored;
  for (const auto& file :
       std::filesystem::directory_iterator(mFolder / "data", ignored)) {
    if (file.path().filename().string().starts_with("journal-")) {
      std::ofstream(file.path(), std::ios::binary | std::ios::app)
        << std::string(13, '\x7f');
    }
  }
}

std::vector<std::string>
SoakMachine::OwnEnds()
{
  std::vector<std::string> ends;
  const auto look = [&](std::unique_ptr<test::ChildProcess>& aProcess,
                        bool aStops,
                        const char* aRole) {
    if (!aProcess || aStops || aProcess->IsRunning()) {
      return;
    }
    const auto code = aProcess->WaitForEnd();
    ends.push_back(std::string(aRole) + " of machine " +
                   std::to_string(mNumber) + " with code " +
                   std::to_string(code.value_or(-1)));
    aProcess.reset();
  };
  look(mEntry, mEntryStops, "entry");
  look(mControl, mControlStops, "control");
  return ends;
}

} // namespace peridotspool::soak
