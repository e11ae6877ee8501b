#pragma once

#include "gateway/UpstreamConnectionPool.h"
#include "http/BeastTypes.h"
#include "peridotspool/base/Time.h"
#include "peridotspool/gateway/HeaderNames.h"
#include "peridotspool/gateway/KeeperMap.h"
#include "peridotspool/gateway/LoadInquiries.h"
#include "peridotspool/gateway/LoadKeeper.h"
#include "peridotspool/gateway/QuotaGate.h"
#include "peridotspool/gateway/RepeatBudget.h"
#include "peridotspool/gateway/RouteTable.h"
#include "peridotspool/gateway/ShutdownPolicy.h"
#include "peridotspool/gateway/StartupPolicy.h"
#include "peridotspool/gateway/UpstreamBoard.h"
#include "peridotspool/gateway/UsageTally.h"
#include "peridotspool/observe/Counters.h"
#include "peridotspool/observe/Logger.h"
#include "peridotspool/rollout/RolloutGate.h"
#include "peridotspool/routing/CrashReporter.h"
#include "peridotspool/routing/CrashWitness.h"
#include "peridotspool/routing/QuarantineGate.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace peridotspool::gateway {

/** How an exchange goes on that waits for keepers' word. */
struct LoadWaiter
{
  /** Takes what a keeper knows of one upstream. */
  std::function<void(const LoadLine&)> mOnLoad;
  std::function<void()> mResume;
};

/** What all exchanges of one entry share; lives on the relay thread. */
struct GatewayCore
{
  http::net::io_context& mIo;
  HeaderNames mNames;
  UpstreamBoard mBoard;
  RepeatBudget mBudget;
  UpstreamConnectionPool mPool;
  observe::Logger& mLogger;
  observe::Counters& mCounters;
  std::function<TimePoint()> mNow;
  QuotaGate mQuota;
  UsageTally mUsage;
  /** Sends to the leader; dropped where none is known. */
  std::function<void(SharedMessage)> mSendToLeader;
  KeeperMap mKeepers;
  /** The upstreams that this entry keeps account of. */
  LoadKeeper mCoordinator;
  LoadInquiries mLoadQueries;
  /** Sends to another entry; what is for this one is taken at once. */
  std::function<void(const Address&, SharedMessage)> mSendToEntry;
  /** Distinguishes the sends of this process from those of others. */
  std::uint64_t mLastSendId = 0;
  /** The own time of day, in microseconds. */
  std::function<std::int64_t()> mWallClock;
  /** Exchanges that wait for the leader's word, by the gate's tag. */
  std::unordered_map<std::uint64_t, std::function<void(const QuotaDecided&)>>
    mQuotaWaiters;
  /** Exchanges that wait for keepers' word, by the inquiry's tag. */
  std::unordered_map<std::uint64_t, LoadWaiter> mLoadWaiters;
  StartupPolicy mStartupPolicy;
  /** Goes on with the exchanges that wait for settings or an upstream. */
  std::vector<std::function<void()>> mStartupWaiters;
  /** Null until the first settings have come. */
  std::shared_ptr<const RouteTable> mTable;
  /** The process was told to stop: answers end their connections. */
  bool mStopping = false;
  /** Set once it was told to. */
  std::optional<ShutdownPolicy> mShutdownPolicy;
  /** Requests are refused: the process is about to end. */
  bool mRefusing = false;
  routing::CrashWitness mWitness;
  routing::CrashReporter mCrashes;
  routing::QuarantineGate mGate;
  /** Exchanges that wait at the gate, by its tag. */
  std::unordered_map<std::uint64_t, std::function<void(routing::GateOutcome)>>
    mGateWaiters;
  /** Contents refused since the last report to the leader. */
  std::set<ContentId> mCameAgain;
  rollout::RolloutGate mRollouts;

  /** A keeper has answered. */
  void HandleLoadResponse(const LoadTold& aTold)
  {
    const auto asking = mLoadWaiters.find(aTold.mTag);
    for (const LoadLine& line : aTold.mLines) {
      mBoard.TakeKept(line, mNow());
      if (asking != mLoadWaiters.end()) {
        asking->second.mOnLoad(line);
      }
    }
    if (mLoadQueries.Take(aTold) && asking != mLoadWaiters.end()) {
      const auto goOn = std::move(asking->second.mResume);
      mLoadWaiters.erase(asking);
      goOn();
    }
  }

  /** Nobody listens any more where a life of an upstream did. */
  void OnConnectionRefused(const routing::UpstreamLife& aLife);
  void OnUpstreamEnded(const routing::EndedLife& aEnded);
  /** A request of a content that isn't run any more was refused. */
  void RecordResubmitted(const ContentId& aContent);
  /** Tells the leader which ends it hasn't heard of. */
  void ReportCrashes();
  /** About every 50 ms. */
  void TickGate();
  void HandleQuarantineUpdate(const routing::QuarantineTold& aTold);
  void HandleRolloutUpdate(const rollout::RolloutUpdate& aUpdate);
  void HandlePermitResponse(const routing::TurnAnswer& aAnswer);
  void HandleGateDecision(const routing::GateDecided& aDecided);
  void ApplyGateTick(const routing::GateTick& aTick);

  /** Something that a starting process lacked has come. */
  void ResumeStartupWaiters()
  {
    for (const auto& goOn : std::exchange(mStartupWaiters, {})) {
      goOn();
    }
  }
};

} // namespace peridotspool::gateway
