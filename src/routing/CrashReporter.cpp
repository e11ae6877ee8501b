#include "peridotspool/routing/CrashReporter.h"

#include <algorithm>

namespace peridotspool::routing {

namespace {

constexpr Duration kReportResendInterval = std::chrono::milliseconds(300);
/** The same as the time for which the leader keeps the evidence. */
constexpr Duration kMaxCrashAge = std::chrono::minutes(10);
constexpr std::size_t kMaxBufferedCrashes = 1024;
/** Each takes about 60 bytes in a report. */
constexpr std::size_t kMaxCrashesPerReport = 64;

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
CrashReporter::Add(const UpstreamCrash& aCrash)
{
  for (const LostResponse& lost : aCrash.mLost) {
    if (mBuffered.size() >= kMaxBufferedCrashes) {
      mBuffered.pop_front();
    }
    mBuffered.push_back({ .mUpstream = aCrash.mUpstream, .mLost = lost });
  }
}

void
CrashReporter::OnNewLeader()
{
  for (BufferedCrash& crash : mBuffered) {
    crash.mAcknowledged = false;
    crash.mReportedAt.reset();
  }
}

std::optional<CrashReport>
CrashReporter::Report(TimePoint aNow)
{
  CrashReport report;
  for (BufferedCrash& crash : mBuffered) {
    const bool due = !crash.mAcknowledged &&
                     (!crash.mReportedAt ||
                      aNow - *crash.mReportedAt >= kReportResendInterval);
    if (!due || report.mLines.size() >= kMaxCrashesPerReport) {
      continue;
    }
    crash.mReportedAt = aNow;
    crash.mReportNumber = mLastReport + 1;
    report.mLines.push_back({ .mContent = crash.mLost.mContent,
                              .mUpstream = crash.mUpstream.mName,
                              .mIncarnation = crash.mUpstream.mIncarnation,
                              .mSentAgeMs = AgeMs(crash.mLost.mSentAt, aNow),
                              .mLostAgeMs = AgeMs(crash.mLost.mLostAt, aNow),
                              .mHadPermit = crash.mLost.mHadPermit,
                              .mParts = crash.mLost.mParts,
                              .mCustomer = crash.mLost.mCustomer });
  }
  if (report.mLines.empty()) {
    return std::nullopt;
  }
  report.mNumber = ++mLastReport;
  return report;
}

void
CrashReporter::OnAck(const CrashReportAck& aAck)
{
  for (BufferedCrash& crash : mBuffered) {
    crash.mAcknowledged =
      crash.mAcknowledged || crash.mReportNumber == aAck.mNumber;
  }
}

void
CrashReporter::Forget(TimePoint aNow)
{
  while (!mBuffered.empty() &&
         aNow - mBuffered.front().mLost.mLostAt >= kMaxCrashAge) {
    mBuffered.pop_front();
  }
}

} // namespace peridotspool::routing
