#include "peridotspool/limits/PermitAllocator.h"

#include "peridotspool/limits/PermitTiming.h"

#include <algorithm>

namespace peridotspool::limits {

namespace {

/** Bounds the memory that requests of other processes can allocate here. */
constexpr std::size_t kMaxQueued = 256;
/** By then a permit was used, returned, or has expired. */
constexpr Duration kGrantRetention = 2 * kPermitLifetime;
/** Records that were not used for this long are dropped. */
constexpr Duration kMaxIdleAge = std::chrono::minutes(5);
/** A permit that led to no statement of the limit by then is lost. */
constexpr Duration kConfirmationTimeout = std::chrono::seconds(2);
/** Most responses have arrived by then. */
constexpr Duration kExpectedConfirmation = std::chrono::milliseconds(300);
/** A coordinator is likely to be known or confirmed by then. */
constexpr Duration kNotCoordinatorRetry = std::chrono::milliseconds(300);
/** Bounds the times in messages. */
constexpr Duration kMaxDuration = std::chrono::hours(24);

std::uint32_t
ToMilliseconds(Duration aDuration)
{
  return static_cast<std::uint32_t>(
    std::chrono::ceil<std::chrono::milliseconds>(
      std::clamp(aDuration, Duration(0), kMaxDuration))
      .count());
}

} // namespace

PermitAllocator::PermitAllocator(std::uint64_t aAllocatorId)
  : mAllocatorId(aAllocatorId)
{
}

bool
PermitAllocator::IsHeldBack(const Record& aRecord, TimePoint aNow)
{
  return !aRecord.mIsConfirmed && aRecord.mLastGrantAt &&
         aNow - *aRecord.mLastGrantAt < kConfirmationTimeout;
}

bool
PermitAllocator::TryTake(Record& aRecord, TimePoint aNow)
{
  if (IsHeldBack(aRecord, aNow) || !aRecord.mBucket.TryTake(aNow)) {
    return false;
  }
  aRecord.mLastGrantAt = aNow;
  return true;
}

Duration
PermitAllocator::WaitOf(const Record& aRecord,
                        std::size_t aAhead,
                        TimePoint aNow)
{
  return std::max(aRecord.mBucket.Wait(aAhead, aNow),
                  IsHeldBack(aRecord, aNow) ? kExpectedConfirmation
                                            : Duration(0));
}

SendPermitResponse
PermitAllocator::Respond(const UpstreamName& aUpstream,
                         std::uint64_t aTag,
                         PermitOutcome aOutcome,
                         Duration aRetryAfter) const
{
  return { .mUpstream = aUpstream,
           .mTag = aTag,
           .mOutcome = aOutcome,
           .mRetryAfterMs = ToMilliseconds(aRetryAfter),
           .mReceipt = {} };
}

std::vector<AddressedPermit>
PermitAllocator::HandleRequest(const Address& aFrom,
                               const SendPermitRequest& aRequest,
                               bool aIsCoordinator,
                               TimePoint aNow)
{
  std::vector<AddressedPermit> responses;
  Record* const record = aRequest.mClaim.mPerSecond > 0.0
                           ? FindOrAdd(aRequest.mUpstream,
                                       aRequest.mIncarnation,
                                       aRequest.mClaim.mPerSecond,
                                       aNow)
                           : nullptr;
  if (record == nullptr) {
    responses.push_back({ aFrom,
                          Respond(aRequest.mUpstream,
                                  aRequest.mTag,
                                  PermitOutcome::kNotCoordinator,
                                  kNotCoordinatorRetry) });
    return responses;
  }
  record->mDomain = aRequest.mDomain;
  ApplyLimit(*record,
             aRequest.mClaim.mPerSecond,
             aNow - std::chrono::milliseconds(aRequest.mClaim.mAgeMs),
             aNow);
  if (!aIsCoordinator) {
    StopCoordinating(aRequest.mUpstream, *record, aNow, responses);
    responses.push_back({ aFrom,
                          Respond(aRequest.mUpstream,
                                  aRequest.mTag,
                                  PermitOutcome::kNotCoordinator,
                                  kNotCoordinatorRetry) });
    return responses;
  }
  GrantQueued(aRequest.mUpstream, *record, aNow, responses);
  responses.push_back({ aFrom, Evaluate(*record, aFrom, aRequest, aNow) });
  return responses;
}

SendPermitResponse
PermitAllocator::Evaluate(Record& aRecord,
                          const Address& aFrom,
                          const SendPermitRequest& aRequest,
                          TimePoint aNow)
{
  if (aRecord.mEndedAt) {
    return Respond(aRequest.mUpstream,
                   aRequest.mTag,
                   PermitOutcome::kUnlimited,
                   Duration(0));
  }
  const RequestKey key{ .mFrom = aFrom, .mTag = aRequest.mTag };
  const auto place = std::find_if(
    aRecord.mQueue.begin(), aRecord.mQueue.end(), [&](const Waiting& aOne) {
      return aOne.mPriority > aRequest.mPriority;
    });
  if (place == aRecord.mQueue.begin() && TryTake(aRecord, aNow)) {
    return Grant(aRecord, aRequest.mUpstream, key, aNow);
  }
  const auto ahead = static_cast<std::size_t>(place - aRecord.mQueue.begin());
  const Duration wait = WaitOf(aRecord, ahead, aNow);
  const Duration maxWait = std::min(
    kMaxPermitWait, Duration(std::chrono::milliseconds(aRequest.mMaxWaitMs)));
  if (wait > maxWait || aRecord.mQueue.size() >= kMaxQueued) {
    return Respond(
      aRequest.mUpstream, aRequest.mTag, PermitOutcome::kDenied, wait);
  }
  aRecord.mQueue.insert(place,
                        { .mKey = key,
                          .mPriority = aRequest.mPriority,
                          .mDeadline = aNow + maxWait });
  return Respond(
    aRequest.mUpstream, aRequest.mTag, PermitOutcome::kQueued, wait);
}

SendPermitResponse
PermitAllocator::Grant(Record& aRecord,
                       const UpstreamName& aUpstream,
                       const RequestKey& aKey,
                       TimePoint aNow) const
{
  std::erase_if(aRecord.mGranted, [&](const auto& aPair) {
    return aNow - aPair.second >= kGrantRetention;
  });
  aRecord.mGranted[aKey] = aNow;
  SendPermitResponse response =
    Respond(aUpstream, aKey.mTag, PermitOutcome::kGranted, Duration(0));
  response.mReceipt = { .mAllocatorId = mAllocatorId,
                        .mGrantedAt = aNow.time_since_epoch().count() };
  return response;
}

void
PermitAllocator::GrantQueued(const UpstreamName& aUpstream,
                             Record& aRecord,
                             TimePoint aNow,
                             std::vector<AddressedPermit>& aResponses) const
{
  DenyOverdue(aUpstream, aRecord, aNow, aResponses);
  auto next = aRecord.mQueue.begin();
  while (next != aRecord.mQueue.end() && TryTake(aRecord, aNow)) {
    aResponses.push_back(
      { next->mKey.mFrom, Grant(aRecord, aUpstream, next->mKey, aNow) });
    ++next;
  }
  aRecord.mQueue.erase(aRecord.mQueue.begin(), next);
}

// More urgent requests may have arrived since the request was queued.
void
PermitAllocator::DenyOverdue(const UpstreamName& aUpstream,
                             Record& aRecord,
                             TimePoint aNow,
                             std::vector<AddressedPermit>& aResponses) const
{
  const Duration wait = WaitOf(aRecord, aRecord.mQueue.size(), aNow);
  std::erase_if(aRecord.mQueue, [&](const Waiting& aOne) {
    if (aNow < aOne.mDeadline) {
      return false;
    }
    aResponses.push_back(
      { aOne.mKey.mFrom,
        Respond(aUpstream, aOne.mKey.mTag, PermitOutcome::kDenied, wait) });
    return true;
  });
}

// Another coordinator may grant permits meanwhile. Those that accumulated here
// would add to its own.
void
PermitAllocator::StopCoordinating(
  const UpstreamName& aUpstream,
  Record& aRecord,
  TimePoint aNow,
  std::vector<AddressedPermit>& aResponses) const
{
  aRecord.mBucket.Clear(aNow);
  aRecord.mIsConfirmed = false;
  DenyAll(aUpstream, aRecord, PermitOutcome::kNotCoordinator, aResponses);
}

void
PermitAllocator::DenyAll(const UpstreamName& aUpstream,
                         Record& aRecord,
                         PermitOutcome aOutcome,
                         std::vector<AddressedPermit>& aResponses) const
{
  for (const Waiting& waiting : aRecord.mQueue) {
    aResponses.push_back(
      { waiting.mKey.mFrom,
        Respond(
          aUpstream, waiting.mKey.mTag, aOutcome, kNotCoordinatorRetry) });
  }
  aRecord.mQueue.clear();
}

// A return may arrive twice; only the first puts the permit back.
void
PermitAllocator::HandleReturn(const Address& aFrom,
                              const SendPermitReturn& aReturn,
                              TimePoint aNow)
{
  const auto found = mRecords.find(aReturn.mUpstream);
  if (found == mRecords.end()) {
    return;
  }
  Record& record = found->second;
  const RequestKey key{ .mFrom = aFrom, .mTag = aReturn.mTag };
  std::erase_if(record.mQueue,
                [&](const Waiting& aOne) { return aOne.mKey == key; });
  const auto granted = record.mGranted.find(key);
  if (granted == record.mGranted.end()) {
    return;
  }
  record.mBucket.PutBack(granted->second, aNow);
  record.mGranted.erase(granted);
}

std::vector<AddressedPermit>
PermitAllocator::Tick(const CoordinationCheck& aIsCoordinator, TimePoint aNow)
{
  std::vector<AddressedPermit> responses;
  for (auto& [upstream, record] : mRecords) {
    if (!aIsCoordinator(upstream, record.mDomain)) {
      StopCoordinating(upstream, record, aNow, responses);
    } else if (record.mEndedAt) {
      DenyAll(upstream, record, PermitOutcome::kUnlimited, responses);
    } else {
      GrantQueued(upstream, record, aNow, responses);
    }
  }
  return responses;
}

std::optional<LimitState>
PermitAllocator::StateOf(const UpstreamName& aUpstream,
                         const CoordinationCheck& aIsCoordinator,
                         TimePoint aNow) const
{
  const auto found = mRecords.find(aUpstream);
  if (found == mRecords.end() || found->second.mEndedAt) {
    return std::nullopt;
  }
  const Record& record = found->second;
  const Duration wait = aIsCoordinator(aUpstream, record.mDomain)
                          ? WaitOf(record, record.mQueue.size(), aNow)
                          : kNotCoordinatorRetry;
  return LimitState{
    .mUpstream = aUpstream,
    .mIncarnation = record.mIncarnation,
    .mClaim = { .mPerSecond = record.mBucket.PerSecond(),
                .mAgeMs = ToMilliseconds(aNow - record.mStatedAt) },
    .mWaitMs = ToMilliseconds(wait),
  };
}

std::vector<UpstreamName>
PermitAllocator::Coordinated(const CoordinationCheck& aIsCoordinator) const
{
  std::vector<UpstreamName> upstreams;
  for (const auto& [upstream, record] : mRecords) {
    if (!record.mEndedAt && aIsCoordinator(upstream, record.mDomain)) {
      upstreams.push_back(upstream);
    }
  }
  return upstreams;
}

void
PermitAllocator::RemoveExpired(TimePoint aNow)
{
  std::erase_if(mRecords, [&](const auto& aPair) {
    return aPair.second.mQueue.empty() &&
           aNow - aPair.second.mUsedAt >= kMaxIdleAge;
  });
}

} // namespace peridotspool::limits
