#include "peridotspool/limits/ResponseGuard.h"

#include <algorithm>

namespace peridotspool::limits {

namespace {

/** Callers give up on a stream no earlier. */
constexpr Duration kMinArrivalTime = std::chrono::seconds(2);
constexpr int kLatencyObjectives = 4;
constexpr int kGapObjectives = 8;
/** A longer gap between two arrivals is silence. Retransmission over the
 * deployments' links and an engine's steps stay below it. */
constexpr Duration kMaxArrivalGap = std::chrono::milliseconds(250);
constexpr std::size_t kMaxHeadBytes = 64U << 10;
/** Upstreams send some tens; common servers accept no more than 100. */
constexpr std::size_t kMaxFields = 256;
/** The status line, and the empty line at the end. */
constexpr std::size_t kOtherHeadLines = 2;
/** One a second over the longest request for which callers wait. */
constexpr std::size_t kMaxInterimResponses = 64;
/** Each late response was abandoned on this connection by an earlier request,
 * and requests rarely abandon a connection without closing it. */
constexpr std::size_t kMaxSkippedResponses = 4;
/** One chunk header, or all trailers. */
constexpr std::size_t kMaxFramingElement = 16U << 10;
/** The header of a chunk of one byte has at most 16 digits and two line ends,
 * so chunks without extensions stay below this, however small they are. */
constexpr std::uint64_t kFramingForEachByte = 32;
constexpr std::uint64_t kFreeFramingBytes = 64U << 10;

} // namespace

Duration
MaxArrivalTime(Duration aTargetLatency, Duration aTargetGap)
{
  return std::max({ kMinArrivalTime,
                    kLatencyObjectives * aTargetLatency,
                    kGapObjectives * aTargetGap });
}

ResponseGuard::ResponseGuard(const ResponseBounds& aBounds, Duration aMaxTime)
  : mBounds(aBounds)
  , mMaxTime(aMaxTime)
{
}

void
ResponseGuard::RecordArrival(TimePoint aNow)
{
  const Duration gap = mArrivedAt ? aNow - *mArrivedAt : Duration(0);
  mArrivedAt = aNow;
  if (gap > kMaxArrivalGap) {
    return;
  }
  for (Elapsed& elapsed : mElapsed) {
    if (elapsed) {
      *elapsed += gap;
    }
  }
}

void
ResponseGuard::Begin(ResponsePhase aPhase)
{
  Elapsed& elapsed = ElapsedIn(aPhase);
  elapsed = elapsed.value_or(Duration(0));
}

BrokenBound
ResponseGuard::Break(ResponseBound aBound,
                     ResponsePhase aPhase,
                     std::uint64_t aBytes) const
{
  const Elapsed& elapsed = mElapsed[static_cast<std::size_t>(aPhase)];
  return { .mBound = aBound,
           .mPhase = aPhase,
           .mBytes = aBytes,
           .mTime = elapsed.value_or(Duration(0)) };
}

std::optional<BrokenBound>
ResponseGuard::CheckTime(ResponseBound aBound,
                         ResponsePhase aPhase,
                         std::uint64_t aBytes) const
{
  const BrokenBound broken = Break(aBound, aPhase, aBytes);
  return broken.mTime > mMaxTime ? std::optional(broken) : std::nullopt;
}

std::optional<BrokenBound>
ResponseGuard::CheckHead(std::size_t aBytes, std::size_t aLines)
{
  Begin(ResponsePhase::kHead);
  const std::size_t bytes = mInterimBytes + aBytes;
  if (bytes > kMaxHeadBytes) {
    return Break(ResponseBound::kHeadBytes, ResponsePhase::kHead, bytes);
  }
  if (aLines > kMaxFields + kOtherHeadLines) {
    return Break(ResponseBound::kHeadFields, ResponsePhase::kHead, bytes);
  }
  return CheckTime(ResponseBound::kHeadTime, ResponsePhase::kHead, bytes);
}

std::optional<BrokenBound>
ResponseGuard::CompleteHead(HeadKind aKind, std::size_t aBytes)
{
  std::optional<BrokenBound> broken;
  switch (aKind) {
    case HeadKind::kOwn:
      Complete(ResponsePhase::kSkipped);
      break;
    case HeadKind::kInterim:
      mInterimBytes += aBytes;
      if (++mInterimResponses > kMaxInterimResponses) {
        broken = Break(ResponseBound::kInterimResponses,
                       ResponsePhase::kHead,
                       mInterimBytes);
      }
      break;
    case HeadKind::kOther:
      Begin(ResponsePhase::kSkipped);
      mSkippedBytes += aBytes;
      if (++mSkippedResponses > kMaxSkippedResponses) {
        broken = Break(ResponseBound::kSkippedResponses,
                       ResponsePhase::kSkipped,
                       mSkippedBytes);
      }
      break;
  }
  Complete(ResponsePhase::kHead);
  return broken;
}

std::optional<BrokenBound>
ResponseGuard::RecordSkipped(std::size_t aBytes)
{
  mSkippedBytes += aBytes;
  if (mSkippedBytes > mBounds.mResponseBytes) {
    return Break(
      ResponseBound::kSkippedBytes, ResponsePhase::kSkipped, mSkippedBytes);
  }
  return CheckTime(
    ResponseBound::kSkippedTime, ResponsePhase::kSkipped, mSkippedBytes);
}

std::optional<BrokenBound>
ResponseGuard::RecordParsed(std::size_t aBytes, std::size_t aBodyBytes)
{
  if (aBytes > 0) {
    Complete(ResponsePhase::kFraming);
  }
  mFramingBytes += aBytes - aBodyBytes;
  mBodyBytes += aBodyBytes;
  if (mFramingBytes > kFreeFramingBytes + kFramingForEachByte * mBodyBytes) {
    return Break(
      ResponseBound::kFramingBytes, ResponsePhase::kFraming, mFramingBytes);
  }
  return std::nullopt;
}

std::optional<BrokenBound>
ResponseGuard::CheckFraming(std::size_t aBytes, std::size_t aLines)
{
  if (aBytes == 0) {
    return std::nullopt;
  }
  Begin(ResponsePhase::kFraming);
  if (aBytes > kMaxFramingElement) {
    return Break(ResponseBound::kFramingBytes, ResponsePhase::kFraming, aBytes);
  }
  if (aLines > kMaxFields + kOtherHeadLines) {
    return Break(
      ResponseBound::kFramingFields, ResponsePhase::kFraming, aBytes);
  }
  return CheckTime(
    ResponseBound::kFramingTime, ResponsePhase::kFraming, aBytes);
}

std::optional<BrokenBound>
ResponseGuard::CheckLength(std::uint64_t aLength) const
{
  if (aLength > mBounds.mResponseBytes) {
    return Break(
      ResponseBound::kAnnouncedLength, ResponsePhase::kBody, aLength);
  }
  return std::nullopt;
}

std::optional<BrokenBound>
ResponseGuard::CheckBody(std::size_t aBytes) const
{
  if (aBytes > mBounds.mResponseBytes) {
    return Break(ResponseBound::kBodyBytes, ResponsePhase::kBody, aBytes);
  }
  return std::nullopt;
}

std::optional<BrokenBound>
ResponseGuard::CheckEvent(std::size_t aBytes, bool aCompleted)
{
  if (aCompleted || aBytes == 0) {
    Complete(ResponsePhase::kEvent);
  }
  if (aBytes == 0) {
    return std::nullopt;
  }
  Begin(ResponsePhase::kEvent);
  if (aBytes > mBounds.mEventBytes) {
    return Break(ResponseBound::kEventBytes, ResponsePhase::kEvent, aBytes);
  }
  return CheckTime(ResponseBound::kEventTime, ResponsePhase::kEvent, aBytes);
}

} // namespace peridotspool::limits
