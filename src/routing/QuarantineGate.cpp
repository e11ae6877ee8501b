#include "peridotspool/routing/QuarantineGate.h"

#include <algorithm>
#include <array>
#include <utility>

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

/** One report of an answer clears a content; it may be lost. */
constexpr Duration kAnswerReportInterval = std::chrono::milliseconds(500);

std::uint32_t
ToMs(Duration aDuration)
{
  return static_cast<std::uint32_t>(std::max<std::int64_t>(
    0,
    std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count()));
}

} // namespace

QuarantineStage
QuarantineGate::StageOf(const ContentId& aContent,
                        const CustomerName& aCustomer) const
{
  const auto listed = mListed.find(aContent);
  return listed == mListed.end() ? QuarantineStage::kCleared
                                 : listed->second.mStatus.StageFor(aCustomer);
}

bool
QuarantineGate::IsListed(const GateRequest& aRequest) const
{
  const auto isListed = [&](PromptPartId aPart) {
    return mListed.contains(ContentOf(aPart));
  };
  return !mListed.empty() &&
         (mListed.contains(aRequest.mContent) ||
          std::any_of(
            aRequest.mParts.begin(), aRequest.mParts.end(), isListed));
}

QuarantineGate::Standing
QuarantineGate::StandingOf(const GateRequest& aRequest) const
{
  Standing standing;
  if (mListed.empty()) {
    return standing;
  }
  const auto look = [&](const ContentId& aContent) {
    const QuarantineStage stage = StageOf(aContent, aRequest.mCustomer);
    if (stage == QuarantineStage::kRefused && !standing.mRefused) {
      standing.mRefused = aContent;
    } else if (stage == QuarantineStage::kOneAtATime) {
      standing.mSerialized.push_back(aContent);
    }
  };
  look(aRequest.mContent);
  for (const PromptPartId part : aRequest.mParts) {
    look(ContentOf(part));
  }
  return standing;
}

std::optional<Duration>
QuarantineGate::LastAnswerAge(const ContentId& aContent, TimePoint aNow) const
{
  const auto part = PartOf(aContent);
  return part ? mPartCompletions.AgeOf(*part, aNow)
              : mCompletions.AgeOf(aContent, aNow);
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
    mListed[status.mContent] = { .mStatus = status,
                                 .mReportedAt = std::nullopt };
    if (const auto age = LastAnswerAge(status.mContent, aNow)) {
      actions.mEnded.push_back({ .mContents = { status.mContent },
                                 .mTag = 0,
                                 .mAnswered = true,
                                 .mAgeMs = ToMs(*age) });
    }
  }
  DecideWaiting(actions);
  return actions;
}

std::vector<RunEnded>
QuarantineGate::RememberedAnswers(TimePoint aNow) const
{
  std::vector<RunEnded> answers;
  for (const auto& [content, listed] : mListed) {
    if (const auto age = LastAnswerAge(content, aNow)) {
      answers.push_back({ .mContents = { content },
                          .mTag = 0,
                          .mAnswered = true,
                          .mAgeMs = ToMs(*age) });
    }
  }
  return answers;
}

void
QuarantineGate::DecideWaiting(GateActions& aActions)
{
  std::erase_if(mWaiting, [&](const auto& aPair) {
    const Standing standing = StandingOf(aPair.second.mRequest);
    if (!standing.mRefused && !standing.mSerialized.empty()) {
      return false;
    }
    aActions.mDecisions.push_back({ .mTag = aPair.first,
                                    .mOutcome = standing.mRefused
                                                  ? GateOutcome::kRefused
                                                  : GateOutcome::kAllowed });
    return true;
  });
}

GateResult
QuarantineGate::Check(const GateRequest& aRequest,
                      Duration aTimeLeft,
                      TimePoint aNow)
{
  const Standing standing = StandingOf(aRequest);
  if (standing.mRefused) {
    return { .mOutcome = GateOutcome::kRefused, .mRefused = standing.mRefused };
  }
  if (standing.mSerialized.empty()) {
    return {};
  }
  GateResult result{ .mOutcome = GateOutcome::kWaitsForPermit,
                     .mTag = ++mLastTag };
  result.mPermitRequest = { .mContents = standing.mSerialized,
                            .mTag = result.mTag,
                            .mForMs = ToMs(aTimeLeft),
                            .mCustomer = aRequest.mCustomer };
  mWaiting[result.mTag] = { .mRequest = aRequest,
                            .mSerialized = standing.mSerialized,
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
  if (aResponse.mVerdict == PermitVerdict::kDenied ||
      waiting == mWaiting.end()) {
    return std::nullopt;
  }
  const bool isGranted = aResponse.mVerdict == PermitVerdict::kGranted;
  if (isGranted) {
    mPermits[aResponse.mTag] = { .mContents = waiting->second.mSerialized,
                                 .mCustomer =
                                   waiting->second.mRequest.mCustomer,
                                 .mReleaseAt = std::nullopt };
  }
  mWaiting.erase(waiting);
  return GateDecision{ .mTag = aResponse.mTag,
                       .mOutcome = isGranted ? GateOutcome::kHasPermit
                                             : GateOutcome::kRefused };
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
      actions.mEnded.push_back({ .mContents = waiting.mSerialized,
                                 .mTag = aPair.first,
                                 .mCustomer = waiting.mRequest.mCustomer });
    }
    return late;
  });
  for (auto& [tag, waiting] : mWaiting) {
    if (aNow - waiting.mRequestedAt >= kPermitRetryInterval) {
      waiting.mRequestedAt = aNow;
      waiting.mSerialized = StandingOf(waiting.mRequest).mSerialized;
      actions.mPermitRequests.push_back(
        { .mContents = waiting.mSerialized,
          .mTag = tag,
          .mForMs = ToMs(waiting.mUntil - aNow),
          .mCustomer = waiting.mRequest.mCustomer });
    }
  }
  std::erase_if(mPermits, [&](const auto& aPair) {
    const Permit& permit = aPair.second;
    if (!permit.mReleaseAt || aNow < *permit.mReleaseAt) {
      return false;
    }
    actions.mEnded.push_back({ .mContents = permit.mContents,
                               .mTag = aPair.first,
                               .mAnswered = false,
                               .mCustomer = permit.mCustomer });
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
    mPermits[aTag] = { .mContents = waiting->second.mSerialized,
                       .mCustomer = waiting->second.mRequest.mCustomer,
                       .mReleaseAt = TimePoint() };
    mWaiting.erase(waiting);
  }
}

bool
QuarantineGate::ShouldReport(const ContentId& aContent, TimePoint aNow)
{
  const auto found = mListed.find(aContent);
  if (found == mListed.end()) {
    return false;
  }
  auto& reportedAt = found->second.mReportedAt;
  if (reportedAt && aNow - *reportedAt < kAnswerReportInterval) {
    return false;
  }
  reportedAt = aNow;
  return true;
}

// A failure of the upstream's own shows nothing about parts of the prompt,
// which may not even have been read.
std::vector<RunEnded>
QuarantineGate::Answered(std::uint64_t aTag,
                         const GateRequest& aRequest,
                         AnswerEvidence aEvidence,
                         TimePoint aNow)
{
  const bool isComplete = aEvidence == AnswerEvidence::kComplete;
  mCompletions.Record(aRequest.mContent, aNow);
  if (isComplete) {
    mPartCompletions.Record(aRequest.mParts, aNow);
  }
  RunEnded answered{ .mTag = aTag,
                     .mAnswered = true,
                     .mCustomer = aRequest.mCustomer };
  RunEnded released{ .mTag = aTag, .mCustomer = aRequest.mCustomer };
  if (const auto permit = mPermits.extract(aTag)) {
    for (const ContentId& content : permit.mapped().mContents) {
      const bool isShown = isComplete || !PartOf(content);
      (isShown ? answered : released).mContents.push_back(content);
    }
  }
  const auto add = [&](const ContentId& aContent) {
    const auto& known = answered.mContents;
    if (std::find(known.begin(), known.end(), aContent) == known.end() &&
        ShouldReport(aContent, aNow)) {
      answered.mContents.push_back(aContent);
    }
  };
  if (!mListed.empty()) {
    add(aRequest.mContent);
    for (std::size_t i = 0; isComplete && i < aRequest.mParts.size(); ++i) {
      add(ContentOf(aRequest.mParts[i]));
    }
  }
  std::vector<RunEnded> reports;
  for (RunEnded& report : std::array{ answered, released }) {
    if (!report.mContents.empty()) {
      reports.push_back(std::move(report));
    }
  }
  return reports;
}

RunEnded
QuarantineGate::Ended(std::uint64_t aTag)
{
  RunEnded ended{ .mTag = aTag };
  const auto permit = mPermits.find(aTag);
  if (permit != mPermits.end()) {
    ended.mContents = permit->second.mContents;
    ended.mCustomer = permit->second.mCustomer;
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
