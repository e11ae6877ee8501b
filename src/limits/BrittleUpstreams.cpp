#include "peridotspool/limits/BrittleUpstreams.h"

#include "peridotspool/limits/PermitTiming.h"

#include <algorithm>
#include <charconv>

namespace peridotspool::limits {

namespace {

/** Bounds the memory that messages of other processes can allocate here. */
constexpr std::size_t kMaxRecords = 4096;
constexpr std::size_t kMaxRejections = 256;
/** A new connection may take a slot for a moment. */
constexpr double kUsedSlots = 0.9;
constexpr Duration kWindow = std::chrono::seconds(1);
/** After a rejection, running requests need about this long to make room. */
constexpr Duration kPause = std::chrono::milliseconds(200);

std::uint32_t
ToMilliseconds(Duration aDuration)
{
  return static_cast<std::uint32_t>(
    std::chrono::ceil<std::chrono::milliseconds>(
      std::max(Duration(0), aDuration))
      .count());
}

} // namespace

std::optional<std::uint32_t>
ParseMaxRejections(const std::vector<std::string_view>& aValues)
{
  if (aValues.size() != 1) {
    return std::nullopt;
  }
  const std::string_view text = aValues.front();
  std::uint32_t number = 0;
  const auto [rest, fault] =
    std::from_chars(text.data(), text.data() + text.size(), number);
  if (fault != std::errc{} || rest != text.data() + text.size() ||
      number == 0) {
    return std::nullopt;
  }
  return number;
}

bool
BrittleUpstreams::Apply(const BrittleState& aState, TimePoint aNow)
{
  const auto found = mRecords.find(aState.mUpstream);
  if (found == mRecords.end() && mRecords.size() >= kMaxRecords) {
    return false;
  }
  Record& record = mRecords[aState.mUpstream];
  if (aState.mIncarnation < record.mIncarnation) {
    return false;
  }
  if (aState.mIncarnation > record.mIncarnation) {
    record = Record{ .mIncarnation = aState.mIncarnation };
  }
  const TimePoint statedAt = aNow - std::chrono::milliseconds(aState.mAgeMs);
  const bool isNew = record.mStatedAt + kBrittleLifetime <= aNow ||
                     record.mMaxRejections != aState.mMaxRejections;
  record.mMaxRejections = aState.mMaxRejections;
  record.mStatedAt = std::max(record.mStatedAt, statedAt);
  record.mClosedUntil = std::max(
    record.mClosedUntil, aNow + std::chrono::milliseconds(aState.mClosedMs));
  return isNew;
}

void
BrittleUpstreams::RecordRejection(const UpstreamName& aUpstream, TimePoint aNow)
{
  const auto found = mRecords.find(aUpstream);
  if (found == mRecords.end()) {
    return;
  }
  auto& rejectedAt = found->second.mRejectedAt;
  while (!rejectedAt.empty() && (aNow - rejectedAt.front() >= kWindow ||
                                 rejectedAt.size() >= kMaxRejections)) {
    rejectedAt.pop_front();
  }
  rejectedAt.push_back(aNow);
}

// Requests that were sent before the entries learn of a rejection may be
// rejected as well, so half of what the upstream survives is kept for them.
TimePoint
BrittleUpstreams::ClosedUntil(const Record& aRecord, TimePoint aNow)
{
  const auto& rejectedAt = aRecord.mRejectedAt;
  if (rejectedAt.empty()) {
    return aRecord.mClosedUntil;
  }
  TimePoint until = rejectedAt.back() + kPause;
  const auto recent = static_cast<std::size_t>(
    std::count_if(rejectedAt.begin(), rejectedAt.end(), [&](TimePoint aOne) {
      return aNow - aOne < kWindow;
    }));
  const std::size_t allowed =
    std::max<std::size_t>(1, aRecord.mMaxRejections / 2);
  if (recent >= allowed) {
    until = std::max(until, rejectedAt[rejectedAt.size() - allowed] + kWindow);
  }
  return std::max(until, aRecord.mClosedUntil);
}

bool
BrittleUpstreams::TryGrant(const UpstreamName& aUpstream,
                           Incarnation aIncarnation,
                           std::size_t aRunning,
                           std::size_t aSlots,
                           TimePoint aNow)
{
  if (!mRecords.contains(aUpstream)) {
    Apply({ .mUpstream = aUpstream,
            .mIncarnation = aIncarnation,
            .mMaxRejections = 1 },
          aNow);
  }
  const auto found = mRecords.find(aUpstream);
  if (found == mRecords.end() || aIncarnation < found->second.mIncarnation ||
      ClosedUntil(found->second, aNow) > aNow) {
    return false;
  }
  auto& grantedAt = found->second.mGrantedAt;
  while (!grantedAt.empty() && aNow - grantedAt.front() >= kPermitLifetime) {
    grantedAt.pop_front();
  }
  const auto room =
    static_cast<std::size_t>(kUsedSlots * static_cast<double>(aSlots));
  if (aRunning + grantedAt.size() >= std::max<std::size_t>(1, room)) {
    return false;
  }
  grantedAt.push_back(aNow);
  return true;
}

void
BrittleUpstreams::EndGrant(const UpstreamName& aUpstream)
{
  const auto found = mRecords.find(aUpstream);
  if (found != mRecords.end() && !found->second.mGrantedAt.empty()) {
    found->second.mGrantedAt.pop_front();
  }
}

std::optional<BrittleState>
BrittleUpstreams::StateOf(const UpstreamName& aUpstream, TimePoint aNow) const
{
  const auto found = mRecords.find(aUpstream);
  if (found == mRecords.end() ||
      found->second.mStatedAt + kBrittleLifetime <= aNow) {
    return std::nullopt;
  }
  const Record& record = found->second;
  return BrittleState{ .mUpstream = aUpstream,
                       .mIncarnation = record.mIncarnation,
                       .mMaxRejections = record.mMaxRejections,
                       .mAgeMs = ToMilliseconds(aNow - record.mStatedAt),
                       .mClosedMs =
                         ToMilliseconds(ClosedUntil(record, aNow) - aNow) };
}

void
BrittleUpstreams::RemoveExpired(TimePoint aNow)
{
  std::erase_if(mRecords, [&](const auto& aPair) {
    return aPair.second.mStatedAt + kBrittleLifetime <= aNow;
  });
}

} // namespace peridotspool::limits
