#pragma once

#include "gateway/SlotScheduling.h"
#include "gateway/StreamOrigins.h"
#include "gateway/UpstreamConnectionPool.h"
#include "gateway/UpstreamDialer.h"
#include "http/BeastTypes.h"
#include "peridotspool/base/Time.h"
#include "peridotspool/gateway/CapacityTerms.h"
#include "peridotspool/gateway/CoordinatorMap.h"
#include "peridotspool/gateway/CoordinatorTenure.h"
#include "peridotspool/gateway/HeaderNames.h"
#include "peridotspool/gateway/LoadCoordinator.h"
#include "peridotspool/gateway/PendingLoadQueries.h"
#include "peridotspool/gateway/PlainCallTimes.h"
#include "peridotspool/gateway/QuotaClient.h"
#include "peridotspool/gateway/RouteTable.h"
#include "peridotspool/gateway/SchedulingOptions.h"
#include "peridotspool/gateway/ServiceRetryBudget.h"
#include "peridotspool/gateway/SettingsConfirmation.h"
#include "peridotspool/gateway/ShutdownPolicy.h"
#include "peridotspool/gateway/StartupPolicy.h"
#include "peridotspool/gateway/TunnelPeers.h"
#include "peridotspool/gateway/UpstreamSelector.h"
#include "peridotspool/gateway/UsageCounter.h"
#include "peridotspool/limits/BrittleUpstreams.h"
#include "peridotspool/limits/PermitAllocator.h"
#include "peridotspool/limits/PermitClient.h"
#include "peridotspool/limits/QuotaWaitRoom.h"
#include "peridotspool/limits/ResponseBounds.h"
#include "peridotspool/limits/ResponseBudget.h"
#include "peridotspool/limits/UpstreamLimits.h"
#include "peridotspool/membership/ContactHistory.h"
#include "peridotspool/observe/Counters.h"
#include "peridotspool/observe/Logger.h"
#include "peridotspool/rollout/RolloutGate.h"
#include "peridotspool/routing/CrashDetector.h"
#include "peridotspool/routing/CrashReporter.h"
#include "peridotspool/routing/QuarantineGate.h"
#include "peridotspool/routing/UpstreamPathMonitor.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace peridotspool::gateway {

/** An exchange that waits for load coordinators' responses. */
struct LoadWaiter
{
  /** Receives the load of one upstream. */
  std::function<void(const UpstreamLoad&)> mOnLoad;
  /** Called once all load coordinators have responded. */
  std::function<void()> mResume;
};

/** State that all exchanges of an entry share; used on the relay thread only.
 */
struct GatewayCore
{
  http::net::io_context& mIo;
  HeaderNames mNames;
  UpstreamSelector mSelector;
  ServiceRetryBudget mRetryBudget;
  UpstreamConnectionPool mPool;
  observe::Logger& mLogger;
  observe::Counters& mCounters;
  std::function<TimePoint()> mNow;
  QuotaClient mQuota;
  UsageCounter mUsage;
  /** Sends a message to the leader; drops it if no leader is known. */
  std::function<void(PeerMessage)> mSendToLeader;
  CoordinatorMap mCoordinators;
  /** Tracks the load of the upstreams that this entry coordinates. */
  LoadCoordinator mCoordinator;
  PendingLoadQueries mLoadQueries;
  /** Sends a message to an entry; one to this entry is handled at once. */
  std::function<void(const Address&, PeerMessage)> mSendToEntry;
  /** Id of the last request sent. Starts at a random number, so that ids of
   * this process differ from those of others. */
  std::uint64_t mLastSendId = 0;
  /** Reads the local wall clock in microseconds. */
  std::function<std::int64_t()> mWallClock;
  /** Exchanges that wait for the leader's quota decision, by its tag. */
  std::unordered_map<std::uint64_t,
                     std::function<void(const DeferredQuotaDecision&)>>
    mQuotaWaiters;
  /** Exchanges that wait for load coordinators, by the query's tag. */
  std::unordered_map<std::uint64_t, LoadWaiter> mLoadWaiters;
  StartupPolicy mStartupPolicy;
  /** Functions that resume the exchanges that wait for settings or for an
   * upstream. */
  std::vector<std::function<void()>> mStartupWaiters;
  /** Null until the first settings have been received. */
  std::shared_ptr<const RouteTable> mTable;
  /** Of mTable. */
  SettingsConfirmation mSettingsConfirmation = {};
  /** Asks the control leader at once whether the settings are the newest. */
  std::function<void()> mConfirmSettings = [] {};
  /** The process is stopping; each response closes its connection. */
  bool mStopping = false;
  /** Set once the process is stopping. */
  std::optional<ShutdownPolicy> mShutdownPolicy;
  /** Requests are refused because the process is about to exit. */
  bool mRefusing = false;
  routing::CrashDetector mCrashWitness;
  routing::CrashReporter mCrashReporter;
  routing::QuarantineGate mQuarantineGate;
  /** Exchanges that wait for the quarantine gate, by its tag. */
  std::unordered_map<std::uint64_t, std::function<void(routing::GateOutcome)>>
    mGateWaiters;
  /** Quarantined contents refused since the last report to the leader. */
  std::set<ContentId> mResubmittedContents;
  rollout::RolloutGate mRollouts;
  limits::UpstreamLimits mUpstreamLimits;
  limits::PermitClient mPermitClient{ 0 };
  /** Grants permits for the limited upstreams that this entry coordinates. */
  limits::PermitAllocator mPermitAllocator{ 0 };
  CoordinatorTenure mTenure;
  membership::ContactHistory mContact;
  /** Brittle upstreams as known to this entry. */
  limits::BrittleUpstreams mBrittleUpstreams;
  /** The same for the upstreams that this entry coordinates, with the
   * rejections that all entries report. */
  limits::BrittleUpstreams mCoordinatedBrittle;
  /** Called when an upstream wants no more requests from this entry. */
  std::function<void(const UpstreamName&)> mOnWithdrawn =
    [](const UpstreamName&) {};
  routing::UpstreamPathMonitor mUpstreamPath;
  /** Entries that can relay connections to upstreams. */
  std::shared_ptr<TunnelPeers> mTunnelPeers = std::make_shared<TunnelPeers>(0);
  UpstreamDialer mDialer{ { .mIo = mIo,
                            .mPath = mUpstreamPath,
                            .mPeers = mTunnelPeers,
                            .mLogger = mLogger,
                            .mCounters = mCounters,
                            .mNow = mNow } };
  /** Which version of its service began each stream. */
  StreamOrigins mOrigins{ { .mSendToEntry = mSendToEntry,
                            .mNow = mNow,
                            .mCounters = mCounters,
                            .mUpstreams = mSelector } };
  SchedulingOptions mScheduling;
  /** Used where customers share capacity. */
  CapacityTerms mCapacityTerms = {};
  /** Bounds the requests that wait for their customers' limits. */
  limits::QuotaWaitRoom mQuotaWaitRoom;
  /** Of services whose calls may wait for their customers' limits. */
  PlainCallTimes mPlainCallTimes;
  limits::ResponseBounds mResponseBounds;
  limits::ResponseBudget mResponseBudget{ mResponseBounds.mTotalBytes };
  std::uint64_t mLastHeldTag = 0;
  /** Exchanges whose unfinished responses hold bytes, by their tag. */
  std::unordered_map<std::uint64_t,
                     std::function<void(const limits::BrokenBound&)>>
    mResponseHolders;
  /** Number of the last probe of upstreams; selects which are probed. */
  std::uint64_t mLastProbe = 0;
  /** Exchanges that wait for a permit, by its tag. */
  std::unordered_map<std::uint64_t,
                     std::function<void(const limits::PermitDecision&)>>
    mPermitWaiters;
  /** Null unless capacity is shared; see Slots(). */
  std::unique_ptr<SlotScheduling> mSlots;

  /** Applies a load coordinator's response and resumes the exchange that
   * waited for it, once it was the last one due. */
  void HandleLoadResponse(const LoadResponse& aTold)
  {
    const auto waiter = mLoadWaiters.find(aTold.mTag);
    for (const limits::LimitState& state : aTold.mLimits) {
      ApplyLimitState(state);
    }
    for (const limits::BrittleState& state : aTold.mBrittle) {
      ApplyBrittleState(state);
    }
    for (const UpstreamLoad& line : aTold.mLoads) {
      mSelector.ApplyCoordinatorLoad(line, mNow());
      if (waiter != mLoadWaiters.end()) {
        waiter->second.mOnLoad(line);
      }
    }
    if (mLoadQueries.HandleResponse(aTold) && waiter != mLoadWaiters.end()) {
      const auto resume = std::move(waiter->second.mResume);
      mLoadWaiters.erase(waiter);
      resume();
    }
  }

  /** Responds to a load query, as the coordinator of the upstreams. */
  void HandleLoadQuery(const Address& aFrom, const LoadQuery& aQuery);
  void HandleSendStarted(const SendStartedReport& aReport);
  void HandleSendEnded(const SendEndedReport& aReport);
  void HandleLimitReport(const limits::LimitReport& aReport);
  /** Handles an entry's report that an upstream has stated to be brittle. */
  void HandleBrittleReport(const limits::BrittleState& aState);
  void HandleSendPermitRequest(const Address& aFrom,
                               const limits::SendPermitRequest& aRequest);
  void HandleSendPermitResponse(const Address& aFrom,
                                const limits::SendPermitResponse& aResponse);
  void HandleSendPermitReturn(const Address& aFrom,
                              const limits::SendPermitReturn& aReturn);
  /** Grants queued permits and decides overdue ones; called every 50 ms. */
  void TickPermits();
  /** Returns the scheduling of slots; null if the settings switch it off. */
  SlotScheduling* Slots();
  void HandleSlotRequest(const Address& aFrom,
                         const routing::SlotRequest& aRequest);
  void HandleSlotResponse(const Address& aFrom,
                          const routing::SlotResponse& aResponse);
  void HandleSlotReturn(const Address& aFrom,
                        const routing::SlotReturn& aReturn);
  /** Expires slots and waits; called every 50 ms. */
  void TickSlots();
  /** Decides the waits of this entry that have ended. */
  void EndSlotWaits();
  void DecideSlot(const routing::SlotDecision& aDecision);
  void SendSlots(std::vector<routing::AddressedSlot> aSlots);
  routing::SlotCapacityLookup MakeSlotLookup();
  /** Adds granted slots and waiting sends to the load of their upstreams. */
  void AddSlotClaims(LoadResponse& aResponse);
  void RecordSlotStarted(const SendStartedReport& aReport);
  /** Returns what the slots need of a report; before its send is removed. */
  SlotEnd MakeSlotEnd(const SendEndedReport& aReport);
  void RecordSlotEnded(const SlotEnd& aEnd);
  void ApplyLimitState(const limits::LimitState& aState);
  /** Applies that an upstream is brittle, as it or its coordinator states.
   * Returns true iff that was not known. */
  bool ApplyBrittleState(const limits::BrittleState& aState);
  /** Records that an upstream wants no requests from this entry for a time.
   * @param aSource who received the response; for the log */
  void RecordRest(const UpstreamName& aUpstream,
                  Incarnation aIncarnation,
                  Duration aRest,
                  const char* aSource);
  /** Records that an upstream leaves, as its response states. */
  void RecordLeaving(const UpstreamName& aUpstream,
                     Incarnation aIncarnation,
                     const char* aSource);
  /** Handles the report of an entry whose connection this one relays. */
  void HandleWithdrawalReport(const limits::WithdrawalReport& aReport);
  /** Logs a limit that has changed, and updates what depends on it. */
  void OnLimitChanged(const UpstreamName& aUpstream, const char* aSource);
  /** Decides on a send to a brittle upstream, as its coordinator. */
  limits::SendPermitResponse PermitBrittle(
    const limits::SendPermitRequest& aRequest);
  void SendPermits(const std::vector<limits::AddressedPermit>& aPermits);
  void DecidePermit(const limits::PermitDecision& aDecision);
  limits::PermitAllocator::CoordinationCheck MakeCoordinationCheck();
  /** Ends responses until the budget suffices for the others.
   * @param aUpstream whose response has grown */
  void EnforceResponseBudget(const UpstreamName& aUpstream);
  /** Returns the limited upstreams that this entry coordinates, by service. */
  std::map<ServiceName, LimitedUpstreams> LimitedByService();

  /** Finds out whether a partition has begun or ended; called every 50 ms. */
  void TickUpstreamPath();
  /** Applies the beginning or the end of a partition. */
  void OnUpstreamPathChanged();
  /** Returns true iff an open connection to an upstream can be expected to
   * work. */
  bool IsUsable(const UpstreamConnection& aConnection) const;
  /** Sets the other entries that accept tunnels. */
  void SetTunnelPeers(const std::vector<Coordinator>& aPeers,
                      const FailureDomain& aOwnDomain);

  /** A connection to the address of an upstream's incarnation was refused. */
  void OnConnectionRefused(const routing::UpstreamIncarnation& aLife);
  /** A connection to the address of an upstream's incarnation was accepted. */
  void OnUpstreamAlive(const routing::UpstreamIncarnation& aLife);
  /** Logs and reports the end of an upstream's incarnation. */
  void OnUpstreamEnded(const routing::UpstreamCrash& aEnded);
  /** Records that a request with a quarantined content was refused. */
  void RecordResubmitted(const ContentId& aContent);
  /** Reports crashes to the leader that it has not confirmed yet. */
  void ReportCrashes();
  /** Advances the quarantine gate and crash reports; called every 50 ms. */
  void TickQuarantine();
  void HandleQuarantineUpdate(const routing::QuarantineUpdate& aTold);
  void HandleRolloutUpdate(const rollout::RolloutUpdate& aUpdate);
  void HandlePermitResponse(const routing::PermitResponse& aAnswer);
  void HandleGateDecision(const routing::GateDecision& aDecided);
  void ApplyGateTick(const routing::GateActions& aTick);

  /** Resumes exchanges that wait for startup; called when settings or upstreams
   * have been received. */
  void ResumeStartupWaiters()
  {
    for (const auto& resume : std::exchange(mStartupWaiters, {})) {
      resume();
    }
  }
};

} // namespace peridotspool::gateway
