#include "peridotspool/routing/CrashDetector.h"

#include <utility>

namespace peridotspool::routing {

namespace {

/** A restarted upstream announces itself well within this time. */
constexpr Duration kPendingTimeout = std::chrono::seconds(15);
/**
 * A crashed incarnation loses its responses on all connections at nearly the
 * same time, well within this time.
 */
constexpr Duration kCrashRetention = std::chrono::seconds(60);
/** A crash that is noticed later has hardly cut a response that looked
 * complete. */
constexpr Duration kSeemedCompleteTimeout = std::chrono::seconds(2);
/** A probe has its result before the next one. */
constexpr Duration kProbeInterval = std::chrono::milliseconds(600);
constexpr int kMaxProbes = 5;
/** Bounds of the state kept while crashes are undecided. */
constexpr std::size_t kMaxPending = 256;
constexpr std::size_t kMaxLostPerIncarnation = 256;
constexpr std::size_t kMaxCrashed = 4096;

void
DropExpired(std::vector<LostResponse>& aLost, TimePoint aNow)
{
  std::erase_if(aLost, [&](const LostResponse& aOne) {
    return aNow - aOne.mLostAt >=
           (aOne.mSeemedComplete ? kSeemedCompleteTimeout : kPendingTimeout);
  });
}

} // namespace

std::optional<UpstreamCrash>
CrashDetector::Lost(const UpstreamIncarnation& aIncarnation,
                    const Address& aAddress,
                    const LostResponse& aLost)
{
  if (mCrashed.contains(aIncarnation)) {
    return UpstreamCrash{ .mUpstream = aIncarnation, .mLost = { aLost } };
  }
  if (!mPending.contains(aIncarnation) && mPending.size() >= kMaxPending) {
    return std::nullopt;
  }
  PendingProbe& pending = mPending[aIncarnation];
  pending.mAddress = aAddress;
  if (pending.mLost.size() < kMaxLostPerIncarnation) {
    pending.mLost.push_back(aLost);
  }
  return std::nullopt;
}

bool
CrashDetector::ShouldProbe(const UpstreamIncarnation& aIncarnation,
                           TimePoint aNow)
{
  const auto pending = mPending.find(aIncarnation);
  if (pending == mPending.end() || pending->second.mProbes > 0) {
    return false;
  }
  pending->second.mProbes = 1;
  pending->second.mProbedAt = aNow;
  return true;
}

std::vector<std::pair<UpstreamIncarnation, Address>>
CrashDetector::DueProbes(TimePoint aNow)
{
  std::vector<std::pair<UpstreamIncarnation, Address>> due;
  for (auto& [incarnation, pending] : mPending) {
    if (pending.mProbes > 0 && pending.mProbes < kMaxProbes &&
        aNow - pending.mProbedAt >= kProbeInterval) {
      ++pending.mProbes;
      pending.mProbedAt = aNow;
      due.emplace_back(incarnation, pending.mAddress);
    }
  }
  return due;
}

std::optional<UpstreamCrash>
CrashDetector::Refused(const UpstreamIncarnation& aIncarnation, TimePoint aNow)
{
  return RecordCrash(aIncarnation, CrashEvidence::kConnectionRefused, aNow);
}

std::vector<LostResponse>
CrashDetector::Accepted(const UpstreamIncarnation& aIncarnation)
{
  auto pending = mPending.extract(aIncarnation);
  if (!pending) {
    return {};
  }
  std::vector<LostResponse> complete = std::move(pending.mapped().mLost);
  std::erase_if(complete,
                [](const LostResponse& aOne) { return !aOne.mSeemedComplete; });
  return complete;
}

std::vector<UpstreamCrash>
CrashDetector::Announced(const UpstreamIncarnation& aIncarnation,
                         const Address& aAddress,
                         TimePoint aNow)
{
  std::vector<UpstreamIncarnation> replaced;
  for (const auto& [incarnation, pending] : mPending) {
    if (pending.mAddress == aAddress && incarnation != aIncarnation) {
      replaced.push_back(incarnation);
    }
  }
  std::vector<UpstreamCrash> crashes;
  for (const UpstreamIncarnation& incarnation : replaced) {
    if (auto crash =
          RecordCrash(incarnation, CrashEvidence::kNewIncarnation, aNow)) {
      crashes.push_back(std::move(*crash));
    }
  }
  return crashes;
}

// Returns empty if no response to this entry was lost.
std::optional<UpstreamCrash>
CrashDetector::RecordCrash(const UpstreamIncarnation& aIncarnation,
                           CrashEvidence aCrashEvidence,
                           TimePoint aNow)
{
  if (mCrashed.size() < kMaxCrashed) {
    mCrashed.try_emplace(aIncarnation, aNow);
  }
  const auto pending = mPending.find(aIncarnation);
  if (pending == mPending.end()) {
    return std::nullopt;
  }
  UpstreamCrash crash{ .mUpstream = aIncarnation,
                       .mCrashEvidence = aCrashEvidence,
                       .mLost = std::move(pending->second.mLost) };
  mPending.erase(pending);
  DropExpired(crash.mLost, aNow);
  return crash.mLost.empty() ? std::nullopt : std::optional(std::move(crash));
}

void
CrashDetector::Forget(TimePoint aNow)
{
  for (auto& [incarnation, pending] : mPending) {
    DropExpired(pending.mLost, aNow);
  }
  std::erase_if(mPending,
                [](const auto& aPair) { return aPair.second.mLost.empty(); });
  std::erase_if(mCrashed, [&](const auto& aPair) {
    return aNow - aPair.second >= kCrashRetention;
  });
}

} // namespace peridotspool::routing
