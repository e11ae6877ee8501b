#pragma once

#include "peridotspool/base/Ids.h"
#include "peridotspool/gateway/LoadMessage.h"
#include "peridotspool/gateway/QuotaMessage.h"
#include "peridotspool/limits/PermitMessage.h"
#include "peridotspool/limits/WithdrawalMessage.h"
#include "peridotspool/rollout/RolloutMessage.h"
#include "peridotspool/routing/CrashReport.h"
#include "peridotspool/routing/Quarantine.h"
#include "peridotspool/routing/SlotMessage.h"
#include "peridotspool/streams/OriginMessage.h"
#include "peridotspool/streams/VersionMessage.h"

#include <boost/describe/class.hpp>
#include <compare>
#include <cstdint>
#include <map>
#include <variant>
#include <vector>

namespace peridotspool::gateway {

/** Requests that upstreams started to execute in one window, by customer. */
struct UsageWindow
{
  /** The window starts this many window lengths after the Unix epoch. */
  std::uint64_t mNumber = 0;
  std::map<CustomerName, std::uint64_t> mCounts;

  auto operator<=>(const UsageWindow&) const = default;
};
BOOST_DESCRIBE_STRUCT(UsageWindow, (), (mNumber, mCounts))

/** Upstreams with a rate limit that one entry coordinates, by service. */
struct LimitedUpstreams
{
  std::uint64_t mCount = 0;
  /** Requests of all entries in flight at them. */
  std::uint64_t mRunning = 0;

  auto operator<=>(const LimitedUpstreams&) const = default;
};
BOOST_DESCRIBE_STRUCT(LimitedUpstreams, (), (mCount, mRunning))

/** An entry's status and recent counts; replaces its previous report. */
struct UsageReport
{
  /** Identifies one incarnation of the entry's process. */
  std::uint64_t mEntryIncarnation = 0;
  /** The entry's wall clock when it sent this, in microseconds. */
  std::int64_t mWallMicros = 0;
  std::vector<UsageWindow> mWindows;
  /** Requests that the entry has running at each service's upstreams. */
  std::map<ServiceName, std::uint64_t> mRunning;
  /** Number of the last quarantine change that the entry knows. */
  std::uint64_t mQuarantine = 0;
  /** Quarantined contents that the entry refused since its last report. */
  std::vector<ContentId> mResubmittedContents;
  /** Number of the last start or end of a rollout that the entry knows. */
  std::uint64_t mRollouts = 0;
  /** The newest lease that the entry holds. */
  QuotaLease mQuotaLease;
  std::map<ServiceName, LimitedUpstreams> mLimited;

  auto operator<=>(const UsageReport&) const = default;
};
BOOST_DESCRIBE_STRUCT(UsageReport,
                      (),
                      (mEntryIncarnation,
                       mWallMicros,
                       mWindows,
                       mRunning,
                       mQuarantine,
                       mResubmittedContents,
                       mRollouts,
                       mQuotaLease,
                       mLimited))

/** The median of the processes' wall clocks when the leader sent this. */
struct MedianTime
{
  std::int64_t mMicros = 0;

  auto operator<=>(const MedianTime&) const = default;
};
BOOST_DESCRIBE_STRUCT(MedianTime, (), (mMicros))

/** Messages between entries, and between entries and the control leader. */
using PeerMessage = std::variant<QuotaRequest,
                                 QuotaResponse,
                                 UsageReport,
                                 MedianTime,
                                 LoadQuery,
                                 LoadResponse,
                                 SendStartedReport,
                                 PrefillDoneReport,
                                 SendEndedReport,
                                 routing::CrashReport,
                                 routing::CrashReportAck,
                                 routing::PermitRequest,
                                 routing::PermitResponse,
                                 routing::RunEnded,
                                 routing::QuarantineUpdate,
                                 rollout::RolloutReport,
                                 rollout::RolloutUpdate,
                                 QuotaLease,
                                 limits::LimitReport,
                                 limits::SendPermitRequest,
                                 limits::SendPermitResponse,
                                 limits::SendPermitReturn,
                                 limits::BrittleState,
                                 streams::OriginWrite,
                                 streams::OriginAck,
                                 streams::OriginQuery,
                                 streams::OriginResponse,
                                 limits::WithdrawalReport,
                                 routing::SlotRequest,
                                 routing::SlotResponse,
                                 routing::SlotReturn,
                                 streams::VersionQuery,
                                 streams::VersionResponse>;

} // namespace peridotspool::gateway
