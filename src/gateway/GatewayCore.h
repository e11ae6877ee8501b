#pragma once

#include "gateway/UpstreamPool.h"
#include "http/BeastTypes.h"
#include "peridotspool/base/Time.h"
#include "peridotspool/gateway/HeaderNames.h"
#include "peridotspool/gateway/KeeperMap.h"
#include "peridotspool/gateway/LoadInquiries.h"
#include "peridotspool/gateway/LoadKeeper.h"
#include "peridotspool/gateway/QuotaGate.h"
#include "peridotspool/gateway/RepeatBudget.h"
#include "peridotspool/gateway/RouteTable.h"
#include "peridotspool/gateway/StartPlan.h"
#include "peridotspool/gateway/StopPlan.h"
#include "peridotspool/gateway/UpstreamBoard.h"
#include "peridotspool/gateway/UsageTally.h"
#include "peridotspool/observe/Counters.h"
#include "peridotspool/observe/Logger.h"
#include "peridotspool/rollout/RolloutGate.h"
#include "peridotspool/routing/CrashDetector.h"
#include "peridotspool/routing/CrashReporter.h"
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
struct AskingExchange
{
  /** Takes what a keeper knows of one upstream. */
  std::function<void(const LoadLine&)> mTake;
  std::function<void()> mGoOn;
};

/** What all exchanges of one entry share; lives on the relay thread. */
struct GatewayCore
{
  http::net::io_context& mIo;
  HeaderNames mNames;
  UpstreamBoard mBoard;
  RepeatBudget mBudget;
  UpstreamPool mPool;
  observe::Logger& mLogger;
  observe::Counters& mCounters;
  std::function<TimePoint()> mNow;
  QuotaGate mQuota;
  UsageTally mUsage;
  /** Sends to the leader; dropped where none is known. */
  std::function<void(SharedMessage)> mTellLeader;
  KeeperMap mKeepers;
  /** The upstreams that this entry keeps account of. */
  LoadKeeper mKeeper;
  LoadInquiries mInquiries;
  /** Sends to another entry; what is for this one is taken at once. */
  std::function<void(const Address&, SharedMessage)> mTellEntry;
  /** Distinguishes the sends of this process from those of others. */
  std::uint64_t mLastSend = 0;
  /** The own time of day, in microseconds. */
  std::function<std::int64_t()> mWall;
  /** Exchanges that wait for the leader's word, by the gate's tag. */
  std::unordered_map<std::uint64_t, std::function<void(const QuotaDecided&)>>
    mWaiting;
  /** Exchanges that wait for keepers' word, by the inquiry's tag. */
  std::unordered_map<std::uint64_t, AskingExchange> mAsking;
  StartPlan mStartPlan;
  /** Goes on with the exchanges that wait for settings or an upstream. */
  std::vector<std::function<void()>> mStarting;
  /** Null until the first settings have come. */
  std::shared_ptr<const RouteTable> mTable;
  /** The process was told to stop: answers end their connections. */
  bool mStopping = false;
  /** Set once it was told to. */
  std::optional<StopPlan> mStopPlan;
  /** Requests are refused: the process is about to end. */
  bool mRefusing = false;
  routing::CrashDetector mWitness;
  routing::CrashReporter mCrashes;
  routing::QuarantineGate mGate;
  /** Exchanges that wait at the gate, by its tag. */
  std::unordered_map<std::uint64_t, std::function<void(routing::GateOutcome)>>
    mAtGate;
  /** Contents refused since the last report to the leader. */
  std::set<ContentId> mCameAgain;
  rollout::RolloutGate mRollouts;

  /** A keeper has answered. */
  void TakeTold(const LoadTold& aTold)
  {
    const auto asking = mAsking.find(aTold.mTag);
    for (const LoadLine& line : aTold.mLines) {
      mBoard.TakeKept(line, mNow());
      if (asking != mAsking.end()) {
        asking->second.mTake(line);
      }
    }
    if (mInquiries.Take(aTold) && asking != mAsking.end()) {
      const auto goOn = std::move(asking->second.mGoOn);
      mAsking.erase(asking);
      goOn();
    }
  }

  /** Nobody listens any more where a life of an upstream did. */
  void NoteRefused(const routing::UpstreamIncarnation& aLife);
  void NoteEnded(const routing::UpstreamCrash& aEnded);
  /** A request of a content that isn't run any more was refused. */
  void NoteCameAgain(const ContentId& aContent);
  /** Tells the leader which ends it hasn't heard of. */
  void TellCrashes();
  /** About every 50 ms. */
  void TickGate();
  void TakeTold(const routing::QuarantineUpdate& aTold);
  void Take(const rollout::RolloutUpdate& aUpdate);
  void TakeTurn(const routing::PermitResponse& aAnswer);
  void Decide(const routing::GateDecision& aDecided);
  void CarryOut(const routing::GateActions& aTick);

  /** Something that a starting process lacked has come. */
  void WakeStarting()
  {
    for (const auto& goOn : std::exchange(mStarting, {})) {
      goOn();
    }
  }
};

} // namespace peridotspool::gateway
