#pragma once

#include "gateway/UpstreamPool.h"
#include "http/BeastTypes.h"
#include "peridotspool/base/Time.h"
#include "peridotspool/gateway/HeaderNames.h"
#include "peridotspool/gateway/QuotaGate.h"
#include "peridotspool/gateway/ReadingTeller.h"
#include "peridotspool/gateway/RepeatBudget.h"
#include "peridotspool/gateway/RouteTable.h"
#include "peridotspool/gateway/StartPlan.h"
#include "peridotspool/gateway/StopPlan.h"
#include "peridotspool/gateway/UpstreamBoard.h"
#include "peridotspool/gateway/UsageTally.h"
#include "peridotspool/observe/Counters.h"
#include "peridotspool/observe/Logger.h"

#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace peridotspool::gateway {

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
  ReadingTeller mTeller;
  /** Sends to the other entries that are known. */
  std::function<void(const ReadingNews&)> mTellPeers;
  /** The own time of day, in microseconds. */
  std::function<std::int64_t()> mWall;
  /** Exchanges that wait for the leader's word, by the gate's tag. */
  std::unordered_map<std::uint64_t, std::function<void(const QuotaDecided&)>>
    mWaiting;
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

  /** Something that a starting process lacked has come. */
  void WakeStarting()
  {
    for (const auto& goOn : std::exchange(mStarting, {})) {
      goOn();
    }
  }
};

} // namespace peridotspool::gateway
