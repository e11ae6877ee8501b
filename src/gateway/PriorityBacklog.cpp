#include "peridotspool/gateway/PriorityBacklog.h"

#include <algorithm>
#include <limits>

namespace peridotspool::gateway {

namespace {

/** Bounds the estimate, so that a wrong one cannot exclude an engine for long.
 */
constexpr Duration kMaxWait = std::chrono::seconds(10);
/** A fifth of the shortest objective for a first event; a shorter wait makes
 * hardly any request late. */
constexpr Duration kShortWait = std::chrono::milliseconds(100);
/** Bridges the time between two prefills. */
constexpr Duration kShortMemory = std::chrono::seconds(1);
/** A report of a prefill's end takes the way of the first event and a message.
 * If it takes longer, the engine is behind, and nothing after has begun. */
constexpr Duration kReportDelay = std::chrono::milliseconds(100);
/** A report that is this late was lost. */
constexpr Duration kMaxUnreported = std::chrono::seconds(2);
/** A burst of urgent prompts is not expected to last for the whole wait. */
constexpr double kMaxPassing = 0.75;
/** Bounds the memory that messages of other processes can allocate here. */
constexpr std::size_t kMaxPrompts = 1024;

constexpr std::uint32_t kLowest = std::numeric_limits<std::uint32_t>::max();

} // namespace

// Returns how long the engine has worked on mPending since mAdvancedAt.
Duration
PriorityBacklog::WorkedUntil(TimePoint aNow) const
{
  const TimePoint end =
    mPlannedDone.empty()
      ? aNow
      : std::min(aNow, mPlannedDone.front().mDoneAt + kReportDelay);
  return std::max(Duration(0), Duration(end - mAdvancedAt));
}

void
PriorityBacklog::AdvanceTo(TimePoint aNow)
{
  Duration worked = WorkedUntil(aNow);
  TimePoint at = mAdvancedAt;
  while (!mPending.empty() && worked > Duration(0)) {
    Prompt& prompt = mPending.front();
    const Duration done = std::min(prompt.mLeft, worked);
    prompt.mLeft -= done;
    worked -= done;
    at += done;
    if (prompt.mLeft > Duration(0)) {
      break;
    }
    if (prompt.mIsReported) {
      prompt.mDoneAt = at;
      mPlannedDone.push_back(prompt);
    }
    mPending.erase(mPending.begin());
    worked = std::min(worked, WorkedUntil(aNow) - (at - mAdvancedAt));
  }
  mAdvancedAt = std::max(mAdvancedAt, aNow);
  std::erase_if(mPlannedDone, [aNow](const Prompt& aOne) {
    return aNow - aOne.mDoneAt > kMaxUnreported;
  });
}

// An engine finishes the prefill that it has begun.
void
PriorityBacklog::Insert(const Prompt& aPrompt)
{
  auto from = mPending.begin();
  if (from != mPending.end() && from->mLeft < from->mPrefillTime) {
    ++from;
  }
  const auto place =
    std::upper_bound(from,
                     mPending.end(),
                     aPrompt.mPriority,
                     [](std::uint32_t aPriority, const Prompt& aOne) {
                       return aPriority < aOne.mPriority;
                     });
  mPending.insert(place, aPrompt);
}

void
PriorityBacklog::Add(std::uint64_t aSendId,
                     std::uint32_t aPriority,
                     Duration aPrefillTime,
                     bool aIsReported,
                     TimePoint aNow)
{
  AdvanceTo(aNow);
  if (Count() < kMaxPrompts && aPrefillTime > Duration(0)) {
    Insert({ .mSendId = aSendId,
             .mPriority = aPriority,
             .mPrefillTime = std::min(aPrefillTime, kMaxWait),
             .mLeft = std::min(aPrefillTime, kMaxWait),
             .mIsReported = aIsReported });
    mArrived.Add(aPriority, aPrefillTime, aNow);
  }
}

// The engine is behind the plan: what comes after the prompt that is done only
// now has not begun.
void
PriorityBacklog::RestoreAfter(std::vector<Prompt>::iterator aDone)
{
  if (!mPending.empty()) {
    mPending.front().mLeft = mPending.front().mPrefillTime;
  }
  const std::vector<Prompt> later(aDone, mPlannedDone.end());
  mPlannedDone.clear();
  for (auto prompt = later.rbegin(); prompt != later.rend(); ++prompt) {
    mPending.insert(mPending.begin(), *prompt);
    mPending.front().mLeft = prompt->mPrefillTime;
  }
}

void
PriorityBacklog::RecordPrefillDone(std::uint64_t aSendId, TimePoint aNow)
{
  AdvanceTo(aNow);
  const auto isIt = [aSendId](const Prompt& aOne) {
    return aOne.mSendId == aSendId;
  };
  const auto pending = std::find_if(mPending.begin(), mPending.end(), isIt);
  if (pending != mPending.end()) {
    // The engine is ahead of the plan.
    const std::uint32_t priority = pending->mPriority;
    const auto end = std::remove_if(
      mPending.begin(), pending + 1, [priority](const Prompt& aOne) {
        return aOne.mPriority == priority;
      });
    mPending.erase(end, pending + 1);
    return;
  }
  const auto done =
    std::find_if(mPlannedDone.begin(), mPlannedDone.end(), isIt);
  const Duration behind = done == mPlannedDone.end()
                            ? kMaxUnreported
                            : Duration(aNow - done->mDoneAt);
  if (behind >= kShortWait) {
    mShortUntil = aNow + kShortMemory;
  }
  RestoreAfter(done == mPlannedDone.end() ? mPlannedDone.begin() : done + 1);
}

void
PriorityBacklog::Remove(std::uint64_t aSendId, TimePoint aNow)
{
  AdvanceTo(aNow);
  const auto isIt = [aSendId](const Prompt& aOne) {
    return aOne.mSendId == aSendId;
  };
  std::erase_if(mPending, isIt);
  std::erase_if(mPlannedDone, isIt);
}

Duration
PriorityBacklog::Wait(std::uint32_t aPriority, TimePoint aNow) const
{
  Duration elapsed = WorkedUntil(aNow);
  Duration wait(0);
  bool isReportDue = !mPlannedDone.empty();
  for (const Prompt& prompt : mPending) {
    const Duration done = std::min(prompt.mLeft, elapsed);
    elapsed -= done;
    if (!isReportDue && prompt.mIsReported && done == prompt.mLeft) {
      isReportDue = true;
      elapsed = std::min(elapsed, kReportDelay);
    }
    const Duration left = prompt.mLeft - done;
    const bool hasBegun = left < prompt.mPrefillTime;
    if (hasBegun || prompt.mPriority <= aPriority) {
      wait += left;
    }
  }
  const double passing =
    std::min(kMaxPassing, mArrived.FractionBefore(aPriority, aNow));
  return std::min(std::chrono::duration_cast<Duration>(wait / (1.0 - passing)),
                  kMaxWait);
}

bool
PriorityBacklog::IsShort(TimePoint aNow) const
{
  return aNow < mShortUntil || Wait(kLowest, aNow) >= kShortWait;
}

} // namespace peridotspool::gateway
