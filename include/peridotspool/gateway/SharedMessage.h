#pragma once

#include "peridotspool/base/Ids.h"
#include "peridotspool/gateway/LoadMessage.h"
#include "peridotspool/gateway/QuotaMessage.h"
#include "peridotspool/rollout/RolloutMessage.h"
#include "peridotspool/routing/CrashReport.h"
#include "peridotspool/routing/Quarantine.h"

#include <boost/describe/class.hpp>
#include <compare>
#include <cstdint>
#include <map>
#include <variant>
#include <vector>

namespace peridotspool::gateway {

/** Requests that upstreams began for each customer in one window. */
struct UsageWindow
{
  /** Begins this many window lengths after the start of 1970. */
  std::uint64_t mNumber = 0;
  std::map<CustomerName, std::uint64_t> mCounts;

  auto operator<=>(const UsageWindow&) const = default;
};
BOOST_DESCRIBE_STRUCT(UsageWindow, (), (mNumber, mCounts))

/** An entry's counts of its last windows; each report replaces the last one. */
struct UsageReport
{
  /** Names one life of the entry's process. */
  std::uint64_t mLife = 0;
  /** The entry's time of day when it sent this, in microseconds. */
  std::int64_t mWallMicros = 0;
  std::vector<UsageWindow> mWindows;
  /** Requests that the entry has at each service's upstreams now. */
  std::map<ServiceName, std::uint64_t> mRunning;
  /** The last change to the quarantine that the entry knows. */
  std::uint64_t mQuarantine = 0;
  /** Contents that it has refused since the last report. */
  std::vector<ContentId> mCameAgain;
  /** The last start or end of a rollout that the entry knows. */
  std::uint64_t mRollouts = 0;
  /** The newest lease that the entry has taken. */
  QuotaLease mQuotaLease;

  auto operator<=>(const UsageReport&) const = default;
};
BOOST_DESCRIBE_STRUCT(UsageReport,
                      (),
                      (mLife,
                       mWallMicros,
                       mWindows,
                       mRunning,
                       mQuarantine,
                       mCameAgain,
                       mRollouts,
                       mQuotaLease))

/** What most processes take for the time of day, when the leader sent this. */
struct CommonTime
{
  std::int64_t mMicros = 0;

  auto operator<=>(const CommonTime&) const = default;
};
BOOST_DESCRIBE_STRUCT(CommonTime, (), (mMicros))

/** Between entries, and between them and the control leader. */
using SharedMessage = std::variant<QuotaAsk,
                                   QuotaGrant,
                                   UsageReport,
                                   CommonTime,
                                   LoadAsk,
                                   LoadTold,
                                   LoadSent,
                                   LoadBegun,
                                   LoadEnded,
                                   routing::CrashReport,
                                   routing::CrashReportAck,
                                   routing::PermitRequest,
                                   routing::PermitResponse,
                                   routing::RunEnded,
                                   routing::QuarantineUpdate,
                                   rollout::RolloutReport,
                                   rollout::RolloutUpdate,
                                   QuotaLease>;

} // namespace peridotspool::gateway
