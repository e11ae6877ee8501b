#include "peridotspool/streams/OriginStore.h"

#include <algorithm>
#include <chrono>

namespace peridotspool::streams {

namespace {

/** Bounds the lifetime that another entry can ask for. */
constexpr Duration kMaxLifetime = std::chrono::minutes(10);

} // namespace

void
OriginStore::Add(const OriginRecord& aRecord, TimePoint aNow)
{
  const OriginAnswer& answer = aRecord.mAnswer;
  const bool isAmbiguous = answer.mKnowledge == OriginKnowledge::kAmbiguous;
  if (!isAmbiguous && answer.mKnowledge != OriginKnowledge::kKnown) {
    return;
  }
  const Duration lifetime = std::min<Duration>(
    kMaxLifetime, std::chrono::milliseconds(answer.mLifetimeMs));
  const auto [place, added] = mRecords.try_emplace(aRecord.mKey);
  Held& held = place->second;
  if (added) {
    held = { .mOrigin = answer.mOrigin,
             .mIsAmbiguous = isAmbiguous,
             .mExpiresAt = aNow + lifetime };
  } else {
    mExpiries.erase({ held.mExpiresAt, aRecord.mKey });
    held.mIsAmbiguous = held.mIsAmbiguous || isAmbiguous ||
                        !held.mOrigin.IsCompatibleWith(answer.mOrigin);
    held.mExpiresAt = std::max(held.mExpiresAt, aNow + lifetime);
  }
  mExpiries.insert({ held.mExpiresAt, aRecord.mKey });
  if (mRecords.size() > mOptions.mMaxRecords) {
    Remove(*mExpiries.begin());
  }
}

void
OriginStore::Remove(const std::pair<TimePoint, StreamKey>& aExpiry)
{
  mRecords.erase(aExpiry.second);
  mExpiries.erase(aExpiry);
}

OriginAnswer
OriginStore::AnswerOf(const Held& aHeld, TimePoint aNow)
{
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
    aHeld.mExpiresAt - aNow);
  return { .mKnowledge = aHeld.mIsAmbiguous ? OriginKnowledge::kAmbiguous
                                            : OriginKnowledge::kKnown,
           .mOrigin = aHeld.mIsAmbiguous ? StreamOrigin{} : aHeld.mOrigin,
           .mLifetimeMs = static_cast<std::uint32_t>(left.count()) };
}

OriginAnswer
OriginStore::Find(const StreamKey& aKey, TimePoint aNow) const
{
  const auto found = mRecords.find(aKey);
  if (found == mRecords.end() || found->second.mExpiresAt <= aNow) {
    return {};
  }
  return AnswerOf(found->second, aNow);
}

void
OriginStore::RemoveExpired(TimePoint aNow)
{
  while (!mExpiries.empty() && mExpiries.begin()->first <= aNow) {
    Remove(*mExpiries.begin());
  }
}

std::vector<OriginRecord>
OriginStore::Scan(const std::optional<StreamKey>& aAfter,
                  std::size_t aCount,
                  TimePoint aNow) const
{
  std::vector<OriginRecord> records;
  auto place = aAfter ? mRecords.upper_bound(*aAfter) : mRecords.begin();
  for (; place != mRecords.end() && records.size() < aCount; ++place) {
    if (place->second.mExpiresAt > aNow) {
      records.push_back(
        { .mKey = place->first, .mAnswer = AnswerOf(place->second, aNow) });
    }
  }
  return records;
}

} // namespace peridotspool::streams
