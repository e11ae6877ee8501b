#include "peridotspool/limits/WithdrawnUpstreams.h"

#include <xxhash.h>

#include <algorithm>

namespace peridotspool::limits {

namespace {

/** Bounds the memory that upstreams can allocate here. */
constexpr std::size_t kMaxRecords = 16384;
/** Entries end a rest within this part of it after its end. */
constexpr int kSpreadDivisor = 4;
constexpr Duration kMaxSpread = std::chrono::seconds(2);
constexpr std::uint64_t kSpreadSteps = 1024;
/** An upstream without a request for so long after its rest is used like any
 * other. */
constexpr Duration kMaxTrial = std::chrono::seconds(10);
/** An upstream that leaves is gone by then. */
constexpr Duration kMaxLeaving = std::chrono::hours(24);

} // namespace

const WithdrawnUpstreams::Record*
WithdrawnUpstreams::Find(const UpstreamName& aUpstream,
                         Incarnation aIncarnation) const
{
  const auto found = mRecords.find(aUpstream);
  return found != mRecords.end() && found->second.mIncarnation == aIncarnation
           ? &found->second
           : nullptr;
}

WithdrawnUpstreams::Record*
WithdrawnUpstreams::Find(const UpstreamName& aUpstream,
                         Incarnation aIncarnation)
{
  const auto found = mRecords.find(aUpstream);
  return found != mRecords.end() && found->second.mIncarnation == aIncarnation
           ? &found->second
           : nullptr;
}

WithdrawnUpstreams::Record*
WithdrawnUpstreams::Touch(const UpstreamName& aUpstream,
                          Incarnation aIncarnation,
                          TimePoint aNow)
{
  const auto found = mRecords.find(aUpstream);
  if (found == mRecords.end() && mRecords.size() >= kMaxRecords) {
    return nullptr;
  }
  Record& record =
    found == mRecords.end()
      ? mRecords.try_emplace(aUpstream, Record{ .mIncarnation = aIncarnation })
          .first->second
      : found->second;
  if (aIncarnation < record.mIncarnation) {
    return nullptr;
  }
  if (aIncarnation > record.mIncarnation) {
    record = Record{ .mIncarnation = aIncarnation };
  }
  record.mStatedAt = aNow;
  return &record;
}

Duration
WithdrawnUpstreams::SpreadOf(const UpstreamName& aUpstream,
                             Duration aRest) const
{
  const std::string& name = aUpstream.Value();
  const auto step = static_cast<Duration::rep>(
    XXH3_64bits_withSeed(name.data(), name.size(), mSeed) % kSpreadSteps);
  return std::min(kMaxSpread, aRest / kSpreadDivisor) * step /
         static_cast<Duration::rep>(kSpreadSteps);
}

bool
WithdrawnUpstreams::RecordRest(const UpstreamName& aUpstream,
                               Incarnation aIncarnation,
                               Duration aRest,
                               TimePoint aNow)
{
  Record* const record = Touch(aUpstream, aIncarnation, aNow);
  const TimePoint until = aNow + aRest + SpreadOf(aUpstream, aRest);
  if (record == nullptr || until <= record->mRestsUntil) {
    return false;
  }
  record->mRestsUntil = until;
  record->mTrials = 0;
  return true;
}

bool
WithdrawnUpstreams::RecordLeaving(const UpstreamName& aUpstream,
                                  Incarnation aIncarnation,
                                  TimePoint aNow)
{
  if (IsLeaving(aUpstream, aIncarnation)) {
    return false;
  }
  Record* const record = Touch(aUpstream, aIncarnation, aNow);
  if (record != nullptr) {
    record->mLeaving = true;
  }
  return record != nullptr;
}

void
WithdrawnUpstreams::OnRestarted(const UpstreamName& aUpstream,
                                Incarnation aIncarnation,
                                TimePoint aSince)
{
  const auto found = mRecords.find(aUpstream);
  if (found == mRecords.end() || found->second.mIncarnation >= aIncarnation) {
    return;
  }
  Record& record = found->second;
  if (record.mLeaving || record.mStatedAt < aSince) {
    mRecords.erase(found);
    return;
  }
  record.mIncarnation = aIncarnation;
}

bool
WithdrawnUpstreams::IsLeaving(const UpstreamName& aUpstream,
                              Incarnation aIncarnation) const
{
  const Record* const record = Find(aUpstream, aIncarnation);
  return record != nullptr && record->mLeaving;
}

std::optional<TimePoint>
WithdrawnUpstreams::RestsUntil(const UpstreamName& aUpstream,
                               Incarnation aIncarnation,
                               TimePoint aNow) const
{
  const Record* const record = Find(aUpstream, aIncarnation);
  return record != nullptr && aNow < record->mRestsUntil
           ? std::optional(record->mRestsUntil)
           : std::nullopt;
}

bool
WithdrawnUpstreams::IsOnTrial(const UpstreamName& aUpstream,
                              Incarnation aIncarnation,
                              TimePoint aNow) const
{
  const Record* const record = Find(aUpstream, aIncarnation);
  return record != nullptr && aNow >= record->mRestsUntil &&
         record->mTrials > 0;
}

void
WithdrawnUpstreams::RecordSent(const UpstreamName& aUpstream,
                               Incarnation aIncarnation,
                               TimePoint aNow)
{
  Record* const record = Find(aUpstream, aIncarnation);
  if (record != nullptr && aNow >= record->mRestsUntil) {
    ++record->mTrials;
  }
}

// A response to a request that was sent before the rest says nothing about the
// time after it.
void
WithdrawnUpstreams::RecordAccepted(const UpstreamName& aUpstream,
                                   Incarnation aIncarnation,
                                   TimePoint aSentAt)
{
  const Record* const record = Find(aUpstream, aIncarnation);
  if (record != nullptr && !record->mLeaving &&
      aSentAt >= record->mRestsUntil) {
    mRecords.erase(aUpstream);
  }
}

void
WithdrawnUpstreams::RecordEnded(const UpstreamName& aUpstream,
                                Incarnation aIncarnation,
                                TimePoint aSentAt)
{
  Record* const record = Find(aUpstream, aIncarnation);
  if (record != nullptr && aSentAt >= record->mRestsUntil &&
      record->mTrials > 0) {
    --record->mTrials;
  }
}

void
WithdrawnUpstreams::RemoveExpired(TimePoint aNow)
{
  std::erase_if(mRecords, [&](const auto& aPair) {
    const Record& record = aPair.second;
    return record.mLeaving ? aNow >= record.mStatedAt + kMaxLeaving
                           : aNow >= record.mRestsUntil + kMaxTrial;
  });
}

} // namespace peridotspool::limits
