#include "peridotspool/routing/QuarantineGate.h"

#include <algorithm>

namespace peridotspool::routing {

namespace {

/**
 * Maximum time that a request waits for a permit. A complete answer to the run
 * that holds it clears the content for all that wait.
 */
constexpr Duration kMaxPermitWait = std::chrono::milliseconds(1000);
constexpr Duration kPermitRetryInterval = std::chrono::milliseconds(100);
/**
 * By then the entry knows whether an upstream crashed when the response was
 * lost.
 */
constexpr Duration kPermitReleaseDelay = std::chrono::milliseconds(1000);

std::uint32_t
ToMs(Duration aDuration)
{
  return static_cast<std::uint32_t>(std::max<std::int64_t>(
    0,
    std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count()));
}

} // namespace

QuarantineStage
QuarantineGate::StageOf(const ContentId& aContent) const
{
  const auto listed = mListed.find(aContent);
  return listed == mListed.end() ? QuarantineStage::kCleared : listed->second;
}

// Ignores changes that don't follow the last known one: the next report to the
// leader contains the known number, and the leader sends what is missing.
//
// The leader receives crashes only. Complete answers between two crashes, which
// may be thousands, are known only at the entries. Reporting the last one when
// the content is listed clears it at once.
GateActions
QuarantineGate::ApplyUpdate(const QuarantineUpdate& aUpdate, TimePoint aNow)
{
  GateActions actions;
  if (aUpdate.mFrom == 0) {
    mListed.clear();
  } else if (aUpdate.mFrom > mKnownNumber || aUpdate.mTo <= mKnownNumber) {
    return actions;
  }
  mKnownNumber = aUpdate.mTo;
  for (const QuarantineStatus& status : aUpdate.mLines) {
    if (status.mStage == QuarantineStage::kCleared) {
      mListed.erase(status.mContent);
      continue;
    }
    mListed[status.mContent] = status.mStage;
    if (const auto age = mCompletions.AgeOf(status.mContent, aNow)) {
      actions.mEnded.push_back({ .mContent = status.mContent,
                                 .mTag = 0,
                                 .mAnswered = true,
                                 .mAgeMs = ToMs(*age) });
    }
  }
  std::erase_if(mWaiting, [&](const auto& aPair) {
    const QuarantineStage stage = StageOf(aPair.second.mContent);
    if (stage == QuarantineStage::kOneAtATime) {
      return false;
    }
    actions.mDecisions.push_back(
      { .mTag = aPair.first,
        .mOutcome = stage == QuarantineStage::kRefused
                      ? GateOutcome::kRefused
                      : GateOutcome::kAllowed });
    return true;
  });
  return actions;
}

GateResult
QuarantineGate::Check(const ContentId& aContent,
                      Duration aTimeLeft,
                      TimePoint aNow)
{
  switch (StageOf(aContent)) {
    case QuarantineStage::kCleared:
      return {};
    case QuarantineStage::kRefused:
      return { .mOutcome = GateOutcome::kRefused };
    case QuarantineStage::kOneAtATime:
      break;
  }
  GateResult result{ .mOutcome = GateOutcome::kWaitsForPermit,
                     .mTag = ++mLastTag };
  result.mPermitRequest = { .mContent = aContent,
                            .mTag = result.mTag,
                            .mForMs = ToMs(aTimeLeft) };
  mWaiting[result.mTag] = { .mContent = aContent,
                            .mSince = aNow,
                            .mUntil = aNow + aTimeLeft,
                            .mRequestedAt = aNow };
  return result;
}

// A denied permit is requested again, because the request that holds it ends.
std::optional<GateDecision>
QuarantineGate::OnPermitResponse(const PermitResponse& aResponse)
{
  const auto waiting = mWaiting.find(aResponse.mTag);
  if (!aResponse.mGranted || waiting == mWaiting.end()) {
    return std::nullopt;
  }
  mPermits[aResponse.mTag] = { .mContent = waiting->second.mContent,
                               .mReleaseAt = std::nullopt };
  mWaiting.erase(waiting);
  return GateDecision{ .mTag = aResponse.mTag,
                       .mOutcome = GateOutcome::kHasPermit };
}

GateActions
QuarantineGate::Tick(TimePoint aNow)
{
  GateActions actions;
  std::erase_if(mWaiting, [&](const auto& aPair) {
    const Waiting& waiting = aPair.second;
    const bool late =
      aNow - waiting.mSince >= kMaxPermitWait || aNow >= waiting.mUntil;
    if (late) {
      actions.mDecisions.push_back(
        { .mTag = aPair.first, .mOutcome = GateOutcome::kPermitTimeout });
      actions.mEnded.push_back(
        { .mContent = waiting.mContent, .mTag = aPair.first });
    }
    return late;
  });
  for (auto& [tag, waiting] : mWaiting) {
    if (aNow - waiting.mRequestedAt >= kPermitRetryInterval) {
      waiting.mRequestedAt = aNow;
      actions.mPermitRequests.push_back(
        { .mContent = waiting.mContent,
          .mTag = tag,
          .mForMs = ToMs(waiting.mUntil - aNow) });
    }
  }
  std::erase_if(mPermits, [&](const auto& aPair) {
    const Permit& permit = aPair.second;
    if (!permit.mReleaseAt || aNow < *permit.mReleaseAt) {
      return false;
    }
    actions.mEnded.push_back(
      { .mContent = permit.mContent, .mTag = aPair.first, .mAnswered = false });
    return true;
  });
  return actions;
}

// The leader may be granting the permit at this moment. It is therefore
// released as if it had been held, by a message that follows the permit
// request.
void
QuarantineGate::Cancel(std::uint64_t aTag)
{
  const auto waiting = mWaiting.find(aTag);
  if (waiting != mWaiting.end()) {
    mPermits[aTag] = { .mContent = waiting->second.mContent,
                       .mReleaseAt = TimePoint() };
    mWaiting.erase(waiting);
  }
}

std::optional<RunEnded>
QuarantineGate::Answered(std::uint64_t aTag,
                         const ContentId& aContent,
                         TimePoint aNow)
{
  mCompletions.Record(aContent, aNow);
  mPermits.erase(aTag);
  if (aTag == 0 && StageOf(aContent) == QuarantineStage::kCleared) {
    return std::nullopt;
  }
  return RunEnded{ .mContent = aContent, .mTag = aTag, .mAnswered = true };
}

RunEnded
QuarantineGate::Ended(std::uint64_t aTag)
{
  RunEnded ended{ .mTag = aTag };
  const auto permit = mPermits.find(aTag);
  if (permit != mPermits.end()) {
    ended.mContent = permit->second.mContent;
    mPermits.erase(permit);
  }
  return ended;
}

// If the permit were released at once, the next request could get it before the
// leader receives the crash report of the previous one.
void
QuarantineGate::Lost(std::uint64_t aTag, TimePoint aNow)
{
  const auto permit = mPermits.find(aTag);
  if (permit != mPermits.end()) {
    permit->second.mReleaseAt = aNow + kPermitReleaseDelay;
  }
}

} // namespace peridotspool::routing
