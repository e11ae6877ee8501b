#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/gateway/FailureRate.h"
#include "peridotspool/gateway/LoadMessage.h"
#include "peridotspool/gateway/PrefillQueue.h"
#include "peridotspool/gateway/PrefixCacheModel.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace peridotspool::gateway {

/**
 * The record of the upstreams that this entry is the coordinator of: what all
 * entries have sent there. It lives in cacheTokens only: of one that is lost,
 * what runs is known again once the requests of that moment have ended, and
 * what the engine keeps as soon as it is used.
 *
 * A pure step. Not thread-safe.
 */
class LoadCoordinator
{
public:
  void Handle(const SendStartedReport& aReport, TimePoint aNow);
  void Handle(const PrefillDoneReport& aReport, TimePoint aNow);
  void Handle(const SendEndedReport& aReport, TimePoint aNow);
  LoadResponse HandleQuery(const LoadQuery& aQuery, TimePoint aNow) const;
  /** Drops sends whose end nobody response, and accounts without sends. */
  void RemoveExpired(TimePoint aNow);

  std::size_t RecordCount() const { return mRecords.size(); }

private:
  struct Send
  {
    Duration mPrefillTime{ 0 };
    /** When its prompt will have been read, as expected when it was sent. */
    TimePoint mPrefillDueAt;
    TimePoint mSentAt;
  };
  struct UpstreamRecord
  {
    Incarnation mIncarnation;
    PrefillQueue mPrefillQueue;
    PrefixCacheModel mPrefixes;
    FailureRate mFailures;
    std::unordered_map<std::uint64_t, Send> mSends;
    TimePoint mUsedAt;
  };

  std::unordered_map<UpstreamName, UpstreamRecord> mRecords;
};

} // namespace peridotspool::gateway
