#include "peridotspool/routing/QuarantineGate.h"

#include <algorithm>

namespace peridotspool::routing {

namespace {

/** A request waits this long for its turn; a run that is answered clears its
 * content for all that wait. */
constexpr Duration kWaitMost = std::chrono::milliseconds(1000);
constexpr Duration kAskAgain = std::chrono::milliseconds(100);
/** By then it is known whether an upstream ended under the lost answer. */
constexpr Duration kTurnBackAfter = std::chrono::milliseconds(1000);

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

// Changes that don't follow on what is known are left: the next report says
// what is known here, and the leader tells the rest.
//
// The leader hears of ends only. That a content was answered a thousand times
// between two of them is known here, and clears it at once.
GateTick
QuarantineGate::Take(const QuarantineTold& aTold, TimePoint aNow)
{
  GateTick tick;
  if (aTold.mFrom == 0) {
    mListed.clear();
  } else if (aTold.mFrom > mKnown || aTold.mTo <= mKnown) {
    return tick;
  }
  mKnown = aTold.mTo;
  for (const QuarantineLine& line : aTold.mLines) {
    if (line.mStage == QuarantineStage::kCleared) {
      mListed.erase(line.mContent);
      continue;
    }
    mListed[line.mContent] = line.mStage;
    if (const auto age = mAnswers.AgeOf(line.mContent, aNow)) {
      tick.mEnded.push_back({ .mContent = line.mContent,
                              .mTag = 0,
                              .mAnswered = true,
                              .mAgoMs = ToMs(*age) });
    }
  }
  std::erase_if(mWaiting, [&](const auto& aPair) {
    const QuarantineStage stage = StageOf(aPair.second.mContent);
    if (stage == QuarantineStage::kOneAtATime) {
      return false;
    }
    tick.mDecided.push_back({ .mTag = aPair.first,
                              .mOutcome = stage == QuarantineStage::kRefused
                                            ? GateOutcome::kRefused
                                            : GateOutcome::kGoes });
    return true;
  });
  return tick;
}

GateAnswer
QuarantineGate::Ask(const ContentId& aContent,
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
  GateAnswer answer{ .mOutcome = GateOutcome::kWaits, .mTag = ++mLastTag };
  answer.mAsk = { .mContent = aContent,
                  .mTag = answer.mTag,
                  .mForMs = ToMs(aTimeLeft) };
  mWaiting[answer.mTag] = { .mContent = aContent,
                            .mSince = aNow,
                            .mUntil = aNow + aTimeLeft,
                            .mAskedAt = aNow };
  return answer;
}

// A refused turn is asked for again: that of another request ends.
std::optional<GateDecided>
QuarantineGate::Take(const TurnAnswer& aAnswer)
{
  const auto waiting = mWaiting.find(aAnswer.mTag);
  if (!aAnswer.mGranted || waiting == mWaiting.end()) {
    return std::nullopt;
  }
  mTurns[aAnswer.mTag] = { .mContent = waiting->second.mContent,
                           .mBackAt = std::nullopt };
  mWaiting.erase(waiting);
  return GateDecided{ .mTag = aAnswer.mTag, .mOutcome = GateOutcome::kHasTurn };
}

GateTick
QuarantineGate::Tick(TimePoint aNow)
{
  GateTick tick;
  std::erase_if(mWaiting, [&](const auto& aPair) {
    const Waiting& waiting = aPair.second;
    const bool late =
      aNow - waiting.mSince >= kWaitMost || aNow >= waiting.mUntil;
    if (late) {
      tick.mDecided.push_back(
        { .mTag = aPair.first, .mOutcome = GateOutcome::kTooLate });
      tick.mEnded.push_back(
        { .mContent = waiting.mContent, .mTag = aPair.first });
    }
    return late;
  });
  for (auto& [tag, waiting] : mWaiting) {
    if (aNow - waiting.mAskedAt >= kAskAgain) {
      waiting.mAskedAt = aNow;
      tick.mAsks.push_back({ .mContent = waiting.mContent,
                             .mTag = tag,
                             .mForMs = ToMs(waiting.mUntil - aNow) });
    }
  }
  std::erase_if(mTurns, [&](const auto& aPair) {
    const Turn& turn = aPair.second;
    if (!turn.mBackAt || aNow < *turn.mBackAt) {
      return false;
    }
    tick.mEnded.push_back(
      { .mContent = turn.mContent, .mTag = aPair.first, .mAnswered = false });
    return true;
  });
  return tick;
}

// Its turn may be granted at this moment: it is given back, behind the question
// for it, as one that is over.
void
QuarantineGate::Forget(std::uint64_t aTag)
{
  const auto waiting = mWaiting.find(aTag);
  if (waiting != mWaiting.end()) {
    mTurns[aTag] = { .mContent = waiting->second.mContent,
                     .mBackAt = TimePoint() };
    mWaiting.erase(waiting);
  }
}

std::optional<TurnEnded>
QuarantineGate::Answered(std::uint64_t aTag,
                         const ContentId& aContent,
                         TimePoint aNow)
{
  mAnswers.Note(aContent, aNow);
  mTurns.erase(aTag);
  if (aTag == 0 && StageOf(aContent) == QuarantineStage::kCleared) {
    return std::nullopt;
  }
  return TurnEnded{ .mContent = aContent, .mTag = aTag, .mAnswered = true };
}

TurnEnded
QuarantineGate::Ended(std::uint64_t aTag)
{
  TurnEnded ended{ .mTag = aTag };
  const auto turn = mTurns.find(aTag);
  if (turn != mTurns.end()) {
    ended.mContent = turn->second.mContent;
    mTurns.erase(turn);
  }
  return ended;
}

// Given back at once, the turn would go to the next request before the leader
// has heard what the last one did.
void
QuarantineGate::Lost(std::uint64_t aTag, TimePoint aNow)
{
  const auto turn = mTurns.find(aTag);
  if (turn != mTurns.end()) {
    turn->second.mBackAt = aNow + kTurnBackAfter;
  }
}

} // namespace peridotspool::routing
