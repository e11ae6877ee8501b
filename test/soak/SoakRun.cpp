#include "soak/SoakRun.h"

#include "soak/SoakCaller.h"
#include "soak/SoakCloud.h"
#include "soak/SoakMachine.h"
#include "soak/SoakOperator.h"
#include "soak/SoakProxy.h"
#include "soak/SoakWatcher.h"

#include <algorithm>
#include <csignal>
#include <fstream>

namespace peridotspool::soak {

namespace {

constexpr int kCallers = 16;
constexpr int kUpstreams = 8;
constexpr int kProbeNumber = 9;
constexpr Ms kSlice{ 20 };
constexpr Ms kFirstConfig{ 15000 };
constexpr Ms kMeasured{ 4000 };
constexpr Ms kDelay{ 80 };

/** One run; each member function does one thing to the system. */
class Soak
{
public:
  explicit Soak(const RunOptions& aOptions)
    : mOptions(aOptions)
    , mPlaces{ aOptions.mBlock }
    , mProxy(mPlaces)
    , mCloud(mPlaces, mRecorder)
    , mProbe(mPlaces, kProbeNumber)
    , mWatcher(mPlaces, mRecorder)
    , mOperator(mPlaces, aOptions.mSeed, mProbe, mRecorder)
  {
    for (int number = 1; number <= kMachines; ++number) {
      mMachines.push_back(std::make_unique<SoakMachine>(
        mPlaces, number, aOptions.mFolder / ("m" + std::to_string(number))));
    }
    for (int number = 1; number <= kUpstreams; ++number) {
      mUpstreams.push_back(std::make_unique<SoakUpstream>(
        mPlaces, number, OwnService(number), mRecorder));
    }
  }

  RunReport Run()
  {
    RunReport report;
    report.mPlan = DrawPlan({ .mSeed = mOptions.mSeed,
                              .mFor = mOptions.mFaultsFor,
                              .mUpstreams = kUpstreams });
    if (!Start()) {
      report.mBroken.emplace_back("the system did not start");
      return report;
    }
    std::vector<std::unique_ptr<SoakCaller>> callers;
    for (int number = 1; number <= kCallers; ++number) {
      callers.push_back(
        std::make_unique<SoakCaller>(mPlaces, number, mRecorder));
    }
    mOperator.Start();
    PlayAll(report.mPlan);
    Settle();
    callers.clear();
    const Record record = mRecorder.Take();
    report.mBroken = Check(record);
    Count(record, report);
    return report;
  }

private:
  static std::string OwnService(int aUpstream)
  {
    return NameOf(static_cast<Kind>((aUpstream - 1) % 4));
  }

  SoakMachine& Machine(int aNumber)
  {
    return *mMachines.at(static_cast<std::size_t>(aNumber - 1));
  }
  SoakUpstream& Upstream(int aNumber)
  {
    return *mUpstreams.at(static_cast<std::size_t>(aNumber - 1));
  }

  bool Start()
  {
    if (!mProxy.Start()) {
      return false;
    }
    for (const auto& machine : mMachines) {
      machine->WriteSettings(true);
      machine->StartAll();
    }
    NoteLives();
    for (const auto& upstream : mUpstreams) {
      upstream->Start();
    }
    mProbe.Start();
    if (!mOperator.SendFirst(kFirstConfig)) {
      return false;
    }
    for (const auto& machine : mMachines) {
      machine->WriteSettings(false);
    }
    std::this_thread::sleep_for(Ms(2500));
    return true;
  }

  void NoteLives()
  {
    for (int machine = 1; machine <= kMachines; ++machine) {
      mWatcher.NoteLife(machine, Machine(machine).EntryLife());
    }
  }

  void PlayAll(const std::vector<Fault>& aPlan)
  {
    const Time start = Clock::now();
    std::vector<std::pair<Time, std::function<void()>>> steps;
    for (const Fault& fault : aPlan) {
      steps.emplace_back(start + fault.mAt, [this, fault] { Begin(fault); });
      steps.emplace_back(start + fault.End(), [this, fault] { End(fault); });
    }
    std::stable_sort(
      steps.begin(), steps.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.first < aRight.first;
      });
    for (const auto& [at, step] : steps) {
      WaitUntil(at);
      step();
      NoteLives();
    }
    for (const Fault& fault : aPlan) {
      const Time from = start + fault.mAt;
      mRecorder.With([&](Record& aRecord) {
        aRecord.mSpans.push_back(
          { .mWhat = ToText(fault),
            .mFrom = from,
            .mTo = start + fault.End(),
            .mStoppedMachine =
              fault.mKind == FaultKind::kPlannedStop ? fault.mTarget : 0 });
      });
    }
  }

  void WaitUntil(Time aTime)
  {
    while (Clock::now() < aTime) {
      std::this_thread::sleep_for(
        std::min<Clock::duration>(kSlice, aTime - Clock::now()));
      for (const auto& machine : mMachines) {
        for (const std::string& end : machine->OwnEnds()) {
          mRecorder.With(
            [&](Record& aRecord) { aRecord.mOwnEnds.push_back(end); });
        }
      }
    }
  }

  void Settle()
  {
    const Time calm = Clock::now();
    const Time end = calm + CheckOptions{}.mSettle + kMeasured;
    mRecorder.With([&](Record& aRecord) {
      aRecord.mCalmSince = calm;
      aRecord.mEnd = end;
    });
    WaitUntil(end + Ms(500));
  }

  void Begin(const Fault& aFault)
  {
    const int target = aFault.mTarget;
    switch (aFault.mKind) {
      case FaultKind::kKillEntry:
        Machine(target).KillEntry();
        return;
      case FaultKind::kKillControl:
        Machine(target).KillControl();
        return;
      case FaultKind::kKillMachine:
        Machine(target).KillEntry();
        Machine(target).KillControl();
        return;
      case FaultKind::kKillAll:
        for (const auto& machine : mMachines) {
          machine->KillEntry();
          machine->KillControl();
        }
        return;
      case FaultKind::kFreeze:
        Machine(target).Signal(SIGSTOP);
        return;
      case FaultKind::kPlannedStop:
        Machine(target).AskToStop();
        return;
      case FaultKind::kReload:
        Machine(target).Reload();
        return;
      case FaultKind::kLoseDisk:
        Machine(target).KillControl();
        Machine(target).LoseDisk();
        return;
      case FaultKind::kFullDisk:
        Machine(target).FillDisk(true);
        return;
      case FaultKind::kTornTail:
        Machine(target).KillControl();
        Machine(target).TearTail();
        return;
      default:
        BeginOnLinks(aFault);
    }
  }

  void BeginOnLinks(const Fault& aFault)
  {
    const int target = aFault.mTarget;
    switch (aFault.mKind) {
      case FaultKind::kCutOff:
      case FaultKind::kSplit:
      case FaultKind::kOneWay:
        Hold(aFault, true);
        return;
      case FaultKind::kSilence:
        mProxy.Silence(target);
        return;
      case FaultKind::kResetAll:
        mProxy.ResetAll(target);
        return;
      case FaultKind::kDelay:
        mProxy.Delay(target, kDelay);
        return;
      case FaultKind::kCrashUpstream:
        Upstream(target).Crash();
        return;
      case FaultKind::kReuseAddress:
        Upstream(target).Become(OwnService(target + 1));
        return;
      case FaultKind::kDrain:
        Upstream(target).Drain();
        return;
      default:
        Upstream(target).Misbehave(aFault.mKind);
    }
  }

  void End(const Fault& aFault)
  {
    const int target = aFault.mTarget;
    switch (aFault.mKind) {
      case FaultKind::kKillEntry:
      case FaultKind::kKillControl:
      case FaultKind::kKillMachine:
      case FaultKind::kLoseDisk:
      case FaultKind::kTornTail:
        Machine(target).StartAll();
        return;
      case FaultKind::kKillAll:
        for (const auto& machine : mMachines) {
          machine->StartAll();
        }
        return;
      case FaultKind::kFreeze:
        Machine(target).Signal(SIGCONT);
        return;
      case FaultKind::kPlannedStop:
        Machine(target).KillEntry();
        Machine(target).KillControl();
        Machine(target).StartAll();
        return;
      case FaultKind::kFullDisk:
        Machine(target).FillDisk(false);
        return;
      case FaultKind::kCutOff:
      case FaultKind::kSplit:
      case FaultKind::kOneWay:
        Hold(aFault, false);
        return;
      case FaultKind::kDelay:
        mProxy.Delay(target, Ms(0));
        return;
      case FaultKind::kCrashUpstream:
        Upstream(target).Start();
        return;
      case FaultKind::kReuseAddress:
        Upstream(target).Become(OwnService(target));
        return;
      case FaultKind::kDrain:
        Upstream(target).Crash();
        Upstream(target).Start();
        return;
      case FaultKind::kReload:
      case FaultKind::kSilence:
      case FaultKind::kResetAll:
        return;
      default:
        Upstream(target).Misbehave(std::nullopt);
    }
  }

  /** A machine from all others, one half from the other, or one direction. */
  void Hold(const Fault& aFault, bool aHolds)
  {
    for (int from = 1; from <= kMachines; ++from) {
      for (int to = 1; to <= kMachines; ++to) {
        const bool cut = aFault.mKind == FaultKind::kCutOff
                           ? (from == aFault.mTarget) != (to == aFault.mTarget)
                         : aFault.mKind == FaultKind::kOneWay
                           ? from == aFault.mTarget && to != from
                           : (from <= 2) != (to <= 2);
        if (cut) {
          mProxy.Hold(from, to, aHolds);
        }
      }
    }
  }

  static void Count(const Record& aRecord, RunReport& aReport)
  {
    aReport.mRequests = aRecord.mRequests.size();
    aReport.mChanges = aRecord.mChanges.size();
    aReport.mServed = static_cast<std::size_t>(std::count_if(
      aRecord.mRequests.begin(),
      aRecord.mRequests.end(),
      [](const SeenRequest& aOne) {
        return aOne.mEnding == Ending::kAnswered && aOne.mStatus == 200;
      }));
  }

  const RunOptions mOptions;
  const Places mPlaces;
  Recorder mRecorder;
  SoakProxy mProxy;
  SoakCloud mCloud;
  SoakProbe mProbe;
  std::vector<std::unique_ptr<SoakMachine>> mMachines;
  std::vector<std::unique_ptr<SoakUpstream>> mUpstreams;
  SoakWatcher mWatcher;
  SoakOperator mOperator;
};

} // namespace

RunReport
RunSoak(const RunOptions& aOptions)
{
  std::filesystem::remove_all(aOptions.mFolder);
  std::filesystem::create_directories(aOptions.mFolder);
  RunReport report = Soak(aOptions).Run();
  if (report.mBroken.empty()) {
    std::filesystem::remove_all(aOptions.mFolder);
  } else {
    std::ofstream(aOptions.mFolder / "report.txt") << ToText(report);
  }
  return report;
}

std::string
ToText(const RunReport& aReport)
{
  std::string text = std::to_string(aReport.mRequests) + " requests, " +
                     std::to_string(aReport.mServed) + " served, " +
                     std::to_string(aReport.mChanges) + " changes\n";
  for (const Fault& fault : aReport.mPlan) {
    text += "  " + ToText(fault) + "\n";
  }
  for (const std::string& broken : aReport.mBroken) {
    text += "BROKEN: " + broken + "\n";
  }
  return text;
}

} // namespace peridotspool::soak
