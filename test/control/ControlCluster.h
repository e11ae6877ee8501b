#pragma once

#include "peridotspool/control/ControlNode.h"
#include "peridotspool/membership/ControlSession.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace peridotspool::control {

/**
 * The faults and delays that the network and the disks add to messages and
 * writes.
 */
struct ClusterFaults
{
  double mLoss = 0.0;
  double mDuplication = 0.0;
  Duration mMinDelay = std::chrono::microseconds(500);
  Duration mMaxDelay = std::chrono::microseconds(1500);
  Duration mMaxSync = std::chrono::milliseconds(4);
};

/** One process of the simulated system: a control replica or an entry. */
struct ClusterProcess
{
  std::string mName;
  Address mAddress;
  bool mRunning = false;
  bool mFrozen = false;
  /**
   * The number of starts, so that events of an earlier incarnation are dropped.
   */
  int mIncarnation = 0;
  /** The process's clock is mOffset + real time * mRate. */
  Duration mOffset{ 0 };
  double mRate = 1.0;
  /** Events that arrived while the process was frozen. */
  std::vector<std::function<void()>> mBacklog;

  // A control replica.
  std::optional<ControlNode> mNode;
  ControlOptions mOptions;
  RestoredState mDisk;
  std::deque<PersistEffect> mUnsynced;

  // An entry.
  std::optional<membership::ControlSession> mSession;
  std::vector<std::pair<Revision, std::string>> mSettingsSeen;
  std::vector<membership::EpochMap> mEpochsSeen;
  bool mWasRemoved = false;
  bool mDrainWanted = false;
};

/**
 * Control replicas and entries in one thread, with a simulated network and
 * simulated disks in memory. Only synced writes survive a crash. The same seed
 * produces the same run.
 */
class ControlCluster
{
public:
  explicit ControlCluster(std::uint64_t aSeed = 1);

  // Setup. The first replica is initialised, the others join through the log.
  void StartControls(int aCount);
  /**
   * Starts aCount replicas: the first aFounders found the system, the others
   * join.
   */
  void StartSeeded(int aCount, int aFounders);
  /** Adds a replica with an empty disk that knows the founders' addresses. */
  void AddSeeded(const std::string& aName);
  void AddEntry(const std::string& aName, const std::string& aDomain);
  std::function<void(ControlOptions&)> mTune;

  // Time.
  void Run(Duration aFor);
  /** Runs until the condition holds; returns false after aTimeout. */
  bool RunUntil(const std::function<bool()>& aCondition,
                Duration aTimeout = std::chrono::seconds(20));
  TimePoint RealNow() const { return mNow; }
  TimePoint LocalNow(const ClusterProcess& aProcess) const;

  // Faults.
  ClusterFaults mFaults;
  void Crash(const std::string& aName);
  void Restart(const std::string& aName);
  /** Crashes the leader; returns true iff another replica leads in time. */
  bool ReplaceLeader();
  /** Restarts all replicas; returns true iff one of them leads in time. */
  bool RestartControls();
  void LoseDisk(const std::string& aName);
  void Freeze(const std::string& aName);
  void Thaw(const std::string& aName);
  /** Partitions these processes from all others, in both directions. */
  void CutOff(const std::set<std::string>& aNames);
  void CutLink(const std::string& aOne, const std::string& aOther);
  void Heal();
  void SetClock(const std::string& aName, Duration aOffset, double aRate);

  // Operators.
  CallId Ask(const std::string& aName, OperatorRequest aRequest);
  std::optional<OperatorResponse> ResponseTo(CallId aCall) const;
  /**
   * Sends a request to the leader until it gets a final response, resending it
   * unchanged.
   */
  OperatorResponse RequestFromLeader(const OperatorRequest& aRequest);
  EditResponse Edit(const std::string& aEdit,
                    std::uint64_t aBase,
                    const std::string& aText);

  // Inspection.
  ClusterProcess& Process(const std::string& aName);
  /**
   * Returns the replica that leads with a valid lease now; an empty name if
   * none.
   */
  std::string Leader() const;
  std::size_t Voters() const;
  bool AllEntriesAt(Revision aRevision) const;
  std::map<std::string, ClusterProcess>& Processes() { return mProcesses; }
  /** All events that the replicas have emitted for their logs. */
  const std::vector<NoticeEffect>& Notices() const { return mNotices; }
  /** The number of messages that entries have sent through each relay. */
  const std::map<std::string, int>& Relayed() const { return mRelayed; }
  /** Encoded bytes of the largest message that a replica has sent to another.
   */
  std::size_t LargestMessage() const { return mLargestMessage; }
  /** Violations found by the checks that run after every step. */
  const std::vector<std::string>& Problems() const { return mProblems; }

private:
  struct Scheduled
  {
    TimePoint mAt;
    std::uint64_t mOrder;
    std::string mProcess;
    int mIncarnation;
    std::function<void()> mAction;
    bool operator<(const Scheduled& aOther) const
    {
      return std::tie(aOther.mAt, aOther.mOrder) < std::tie(mAt, mOrder);
    }
  };

  void Schedule(const std::string& aProcess,
                Duration aAfter,
                std::function<void()> aAction);
  void RunNext();
  void Tick(const std::string& aName);
  void Deliver(const std::string& aFrom,
               const std::string& aTo,
               std::function<void()> aAction);
  std::string NameAt(const Address& aAddress) const;
  void StartControl(ClusterProcess& aProcess);
  void StartEntry(ClusterProcess& aProcess);
  void StepNode(ClusterProcess& aProcess, const ControlEvent& aEvent);
  void StepSession(ClusterProcess& aProcess,
                   const membership::ControlSessionEvent& aEvent);
  void CarryOut(ClusterProcess& aProcess, const ControlEffect& aEffect);
  void CarryOut(ClusterProcess& aProcess,
                const membership::ControlSessionEffect& aEffect);
  void SyncNext(const std::string& aName);
  void CheckAlways();
  void CheckEntry(const ClusterProcess& aProcess);
  void CheckState(const MachineState& aState);

  void MakeSeeded(const std::string& aName);

  std::vector<Address> mFounders;
  std::mt19937_64 mRandom;
  TimePoint mNow;
  std::uint64_t mOrder = 0;
  std::priority_queue<Scheduled> mQueue;
  std::map<std::string, ClusterProcess> mProcesses;
  std::map<membership::EntryNonce, std::string> mNonces;
  std::set<std::string> mCut;
  std::set<std::pair<std::string, std::string>> mCutLinks;
  std::uint64_t mLastNonce = 1000;
  CallId mLastCall;
  std::map<CallId, OperatorResponse> mAnswers;
  std::vector<NoticeEffect> mNotices;
  std::map<std::string, int> mRelayed;
  std::size_t mLargestMessage = 0;
  std::vector<std::string> mProblems;
  std::map<Revision, std::string> mTexts;
  std::map<Revision, TimePoint> mCommittedAt;
  std::map<EpochNumber, membership::EpochMap> mMaps;
};

} // namespace peridotspool::control
