#pragma once

#include "peridotspool/base/Address.h"
#include "peridotspool/base/Time.h"
#include "peridotspool/limits/PermitBucket.h"
#include "peridotspool/limits/PermitMessage.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace peridotspool::limits {

/** A response and the entry that it is sent to. */
struct AddressedPermit
{
  Address mTo;
  SendPermitResponse mResponse;
};

/**
 * Grants permits for sends to the limited upstreams that this entry
 * coordinates. A permit is granted to the most urgent request first, and among
 * equal ones to the first; a request that no permit can reach in time is denied
 * at once.
 *
 * The state is in memory only. A coordinator that has just taken over starts
 * without permits and learns the limits from the requests of entries. As these
 * may know an old one, it grants one permit at a time until a response to one
 * has stated the limit.
 *
 * Does no I/O and reads no clock. Not thread-safe.
 */
class PermitAllocator
{
public:
  /** Returns true iff this entry coordinates the upstream at present. */
  using CoordinationCheck =
    std::function<bool(const UpstreamName&, const FailureDomain&)>;

  /** @param aAllocatorId random; identifies this process */
  explicit PermitAllocator(std::uint64_t aAllocatorId);

  /** Returns true iff the upstream's limit is new, changed or ended. */
  bool HandleReport(const LimitReport& aReport, TimePoint aNow);
  /** Accounts for a send of an entry that didn't know the limit. */
  void RecordUnpermitted(const UpstreamName& aUpstream, TimePoint aNow);
  /**
   * Returns the response to the request, and those to others that are due.
   *
   * @param aIsCoordinator this entry coordinates the upstream at present
   */
  std::vector<AddressedPermit> HandleRequest(const Address& aFrom,
                                             const SendPermitRequest& aRequest,
                                             bool aIsCoordinator,
                                             TimePoint aNow);
  void HandleReturn(const Address& aFrom,
                    const SendPermitReturn& aReturn,
                    TimePoint aNow);
  /** Returns responses to queued requests; call at least every 50 ms. */
  std::vector<AddressedPermit> Tick(const CoordinationCheck& aIsCoordinator,
                                    TimePoint aNow);
  /** Returns empty if the upstream has no known limit. */
  std::optional<LimitState> StateOf(const UpstreamName& aUpstream,
                                    const CoordinationCheck& aIsCoordinator,
                                    TimePoint aNow) const;
  /** Returns the limited upstreams that this entry coordinates. */
  std::vector<UpstreamName> Coordinated(
    const CoordinationCheck& aIsCoordinator) const;
  /** Drops the records of upstreams that nobody asks for any more. */
  void RemoveExpired(TimePoint aNow);

  std::size_t RecordCount() const { return mRecords.size(); }

private:
  struct RequestKey
  {
    Address mFrom;
    std::uint64_t mTag = 0;

    auto operator<=>(const RequestKey&) const = default;
  };
  struct Waiting
  {
    RequestKey mKey;
    std::uint32_t mPriority = 0;
    TimePoint mDeadline;
  };
  struct Record
  {
    Record(double aPerSecond, TimePoint aNow)
      : mBucket(aPerSecond, aNow)
    {
    }
    Incarnation mIncarnation;
    FailureDomain mDomain;
    PermitBucket mBucket;
    /** When the upstream last stated the limit, as far as is known. */
    TimePoint mStatedAt = TimePoint::min();
    std::optional<TimePoint> mEndedAt;
    /** The upstream has stated the limit since this entry coordinates it. */
    bool mIsConfirmed = false;
    std::optional<TimePoint> mLastGrantAt;
    TimePoint mUsedAt;
    /** Most urgent first; in order of arrival among equals. */
    std::vector<Waiting> mQueue;
    /** Recent grants that may still be returned. */
    std::map<RequestKey, TimePoint> mGranted;
  };

  Record* FindOrAdd(const UpstreamName& aUpstream,
                    Incarnation aIncarnation,
                    double aPerSecond,
                    TimePoint aNow);
  static bool ApplyLimit(Record& aRecord,
                         double aPerSecond,
                         TimePoint aStatedAt,
                         TimePoint aNow);
  bool ApplyEnd(const LimitReport& aReport, TimePoint aNow);
  static bool IsHeldBack(const Record& aRecord, TimePoint aNow);
  static bool TryTake(Record& aRecord, TimePoint aNow);
  static Duration WaitOf(const Record& aRecord,
                         std::size_t aAhead,
                         TimePoint aNow);
  SendPermitResponse Respond(const UpstreamName& aUpstream,
                             std::uint64_t aTag,
                             PermitOutcome aOutcome,
                             Duration aRetryAfter) const;
  SendPermitResponse Evaluate(Record& aRecord,
                              const Address& aFrom,
                              const SendPermitRequest& aRequest,
                              TimePoint aNow);
  SendPermitResponse Grant(Record& aRecord,
                           const UpstreamName& aUpstream,
                           const RequestKey& aKey,
                           TimePoint aNow) const;
  void GrantQueued(const UpstreamName& aUpstream,
                   Record& aRecord,
                   TimePoint aNow,
                   std::vector<AddressedPermit>& aResponses) const;
  void DenyOverdue(const UpstreamName& aUpstream,
                   Record& aRecord,
                   TimePoint aNow,
                   std::vector<AddressedPermit>& aResponses) const;
  void StopCoordinating(const UpstreamName& aUpstream,
                        Record& aRecord,
                        TimePoint aNow,
                        std::vector<AddressedPermit>& aResponses) const;
  void DenyAll(const UpstreamName& aUpstream,
               Record& aRecord,
               PermitOutcome aOutcome,
               std::vector<AddressedPermit>& aResponses) const;

  std::uint64_t mAllocatorId;
  std::unordered_map<UpstreamName, Record> mRecords;
};

} // namespace peridotspool::limits
