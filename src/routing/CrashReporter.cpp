#include "peridotspool/routing/CrashReporter.h"

#include <algorithm>

namespace peridotspool::routing {

namespace {

constexpr Duration kTellAgain = std::chrono::milliseconds(300);
/** As long as the leader holds it for evidence. */
constexpr Duration kKeptFor = std::chrono::minutes(10);
constexpr std::size_t kMostKept = 1024;
/** Lines of one report: some 60 bytes each. */
constexpr std::size_t kMostLines = 64;

std::uint32_t
AgeMs(TimePoint aThen, TimePoint aNow)
{
  return static_cast<std::uint32_t>(std::max<std::int64_t>(
    0,
    std::chrono::duration_cast<std::chrono::milliseconds>(aNow - aThen)
      .count()));
}

} // namespace

void
CrashReporter::Add(const EndedLife& aEnded)
{
  for (const LostAnswer& lost : aEnded.mLost) {
    if (mKept.size() >= kMostKept) {
      mKept.pop_front();
    }
    mKept.push_back({ .mLife = aEnded.mLife, .mLost = lost });
  }
}

void
CrashReporter::MeetLeader()
{
  for (Kept& one : mKept) {
    one.mTaken = false;
    one.mToldAt.reset();
  }
}

std::optional<CrashReport>
CrashReporter::Report(TimePoint aNow)
{
  CrashReport report;
  for (Kept& one : mKept) {
    const bool due =
      !one.mTaken && (!one.mToldAt || aNow - *one.mToldAt >= kTellAgain);
    if (!due || report.mLines.size() >= kMostLines) {
      continue;
    }
    one.mToldAt = aNow;
    one.mReport = mLastReport + 1;
    report.mLines.push_back({ .mContent = one.mLost.mContent,
                              .mUpstream = one.mLife.mName,
                              .mIncarnation = one.mLife.mIncarnation,
                              .mSentAgoMs = AgeMs(one.mLost.mSentAt, aNow),
                              .mLostAgoMs = AgeMs(one.mLost.mLostAt, aNow),
                              .mHadTurn = one.mLost.mHadTurn });
  }
  if (report.mLines.empty()) {
    return std::nullopt;
  }
  report.mNumber = ++mLastReport;
  return report;
}

void
CrashReporter::Take(const CrashTaken& aTaken)
{
  for (Kept& one : mKept) {
    one.mTaken = one.mTaken || one.mReport == aTaken.mNumber;
  }
}

void
CrashReporter::Forget(TimePoint aNow)
{
  while (!mKept.empty() && aNow - mKept.front().mLost.mLostAt >= kKeptFor) {
    mKept.pop_front();
  }
}

} // namespace peridotspool::routing
