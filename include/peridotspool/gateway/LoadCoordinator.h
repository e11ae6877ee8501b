#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/gateway/FailureRate.h"
#include "peridotspool/gateway/LoadMessage.h"
#include "peridotspool/gateway/PrefillQueue.h"
#include "peridotspool/gateway/PrefixCacheModel.h"
#include "peridotspool/gateway/ProvisionalSends.h"
#include "peridotspool/gateway/SharedCapacity.h"
#include "peridotspool/routing/UpstreamSpeed.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>

namespace peridotspool::gateway {

/**
 * Tracks the sends of all entries to the upstreams that this entry coordinates.
 * The state is in memory only. After a loss, the counts of running sends are
 * correct again once the requests in flight at that moment have ended, and the
 * cached prefixes are relearned as they are used.
 *
 * Does no I/O and reads no clock. Not thread-safe.
 */
class LoadCoordinator
{
public:
  /** Sets whether upstreams' speeds are learned; they are not at first. */
  void SetLearnsSpeed(bool aLearns) { mLearnsSpeed = aLearns; }
  void Handle(const SendStartedReport& aReport, TimePoint aNow);
  void Handle(const PrefillDoneReport& aReport, TimePoint aNow);
  void Handle(const SendEndedReport& aReport, TimePoint aNow);
  LoadResponse HandleQuery(const LoadQuery& aQuery, TimePoint aNow) const;
  /**
   * Counts the queried upstreams whose speed is learned as partly sent to, so
   * that entries that query in the same moment spread their sends.
   */
  void ExpectSends(const LoadQuery& aQuery, TimePoint aNow);
  /** Returns the requests of all entries in flight at an upstream. */
  std::size_t Running(const UpstreamName& aUpstream) const;
  /** Returns those of them that were sent at a time or later. */
  std::size_t RunningSince(const UpstreamName& aUpstream,
                           TimePoint aSince) const;
  /** Returns when a send in flight was reported; empty if it isn't known. */
  std::optional<TimePoint> SentAt(const UpstreamName& aUpstream,
                                  std::uint64_t aSendId) const;
  /**
   * Removes sends whose end was never reported, and idle records without sends.
   */
  void RemoveExpired(TimePoint aNow);

  std::size_t RecordCount() const { return mRecords.size(); }

private:
  struct Send
  {
    Duration mPrefillTime{ 0 };
    /** Expected end of its prefill, as planned when it was sent. */
    TimePoint mPrefillDueAt;
    TimePoint mSentAt;
  };
  /** What is kept only where the upstream's speed is learned. */
  struct SpeedRecord
  {
    routing::UpstreamSpeed mSpeed;
    ProvisionalSends mExpectedSends;
    /** End of the last prefill that was reported. */
    TimePoint mLastPrefillDoneAt;
    /** Usual prefill time of the last prompt sent there. */
    Duration mLastPrefillTime{ 0 };
  };
  struct UpstreamRecord
  {
    Incarnation mIncarnation;
    PrefillQueue mPrefillQueue;
    PrefixCacheModel mPrefixes;
    FailureRate mFailures;
    std::unordered_map<std::uint64_t, Send> mSends;
    TimePoint mUsedAt;
    /** Null until a send states whose request it is. */
    std::unique_ptr<SharedCapacity> mShared;
    /** Null until the first observation; see LoadCoordinatorSpeed.cpp. */
    std::unique_ptr<SpeedRecord> mSpeed;
  };

  void LearnPrefill(UpstreamRecord& aRecord,
                    const Send& aSend,
                    const PrefillDoneReport& aReport,
                    TimePoint aNow) const;
  void Learn(UpstreamRecord& aRecord,
             const routing::WorkObservation& aObservation,
             TimePoint aNow) const;
  /** Adds the speed and the expected sends to a response. */
  static void AddSpeed(UpstreamLoad& aLoad,
                       const UpstreamRecord& aRecord,
                       TimePoint aNow);

  std::unordered_map<UpstreamName, UpstreamRecord> mRecords;
  bool mLearnsSpeed = false;
};

} // namespace peridotspool::gateway
