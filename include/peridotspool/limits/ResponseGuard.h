#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/limits/BrokenBound.h"
#include "peridotspool/limits/ResponseBounds.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace peridotspool::limits {

/**
 * Callers abandon a stream after a gap of two seconds, four times its latency
 * objective or eight times its gap objective, whichever is longest. A part of a
 * response that arrives for longer without completing is of no use to them.
 */
Duration
MaxArrivalTime(Duration aTargetLatency, Duration aTargetGap);

/** What a complete head belongs to. */
enum class HeadKind
{
  kOwn,
  /** A 1xx response. */
  kInterim,
  /** A late response to another request. */
  kOther,
};

/**
 * Decides whether one response of an upstream is within its bounds, by bytes
 * and by time. Each function returns the bound that is broken, or empty to
 * continue. Nothing is called after a bound is broken.
 *
 * The time of a phase counts only while its bytes arrive: silence and pauses
 * use up none. A body has no time bound, because a slow body and an endless one
 * look alike; the request's deadline ends both.
 *
 * Does no I/O and reads no clock.
 */
class ResponseGuard
{
public:
  explicit ResponseGuard(const ResponseBounds& aBounds = {},
                         Duration aMaxTime = MaxArrivalTime({}, {}));

  /** Bytes of the upstream have arrived. */
  void RecordArrival(TimePoint aNow);
  /** The entry has stopped reading; the time until the next arrival is not the
   * upstream's. */
  void RecordPause() { mArrivedAt.reset(); }

  /**
   * @param aBytes received of the head
   * @param aLines its lines so far
   */
  std::optional<BrokenBound> CheckHead(std::size_t aBytes, std::size_t aLines);
  std::optional<BrokenBound> CompleteHead(HeadKind aKind, std::size_t aBytes);
  /** @param aBytes of a response to another request, with its framing */
  std::optional<BrokenBound> RecordSkipped(std::size_t aBytes);
  /**
   * @param aBytes parsed after the head, framing included
   * @param aBodyBytes of these, bytes of the body
   */
  std::optional<BrokenBound> RecordParsed(std::size_t aBytes,
                                          std::size_t aBodyBytes);
  /**
   * @param aBytes of a chunk header or of trailers that are incomplete
   * @param aLines their lines so far
   */
  std::optional<BrokenBound> CheckFraming(std::size_t aBytes,
                                          std::size_t aLines);
  /** @param aLength of a body that is buffered, as its head announces */
  std::optional<BrokenBound> CheckLength(std::uint64_t aLength) const;
  /** @param aBytes of a body that is buffered */
  std::optional<BrokenBound> CheckBody(std::size_t aBytes) const;
  /**
   * @param aBytes of the event that is incomplete
   * @param aCompleted events have become complete since the last call
   */
  std::optional<BrokenBound> CheckEvent(std::size_t aBytes, bool aCompleted);

private:
  /** Time spent on the present element of a phase; empty outside of one. */
  using Elapsed = std::optional<Duration>;

  Elapsed& ElapsedIn(ResponsePhase aPhase)
  {
    return mElapsed[static_cast<std::size_t>(aPhase)];
  }
  void Begin(ResponsePhase aPhase);
  void Complete(ResponsePhase aPhase) { ElapsedIn(aPhase).reset(); }
  BrokenBound Break(ResponseBound aBound,
                    ResponsePhase aPhase,
                    std::uint64_t aBytes) const;
  std::optional<BrokenBound> CheckTime(ResponseBound aBound,
                                       ResponsePhase aPhase,
                                       std::uint64_t aBytes) const;

  ResponseBounds mBounds;
  Duration mMaxTime;
  std::optional<TimePoint> mArrivedAt;
  std::array<Elapsed, static_cast<std::size_t>(ResponsePhase::kHeld) + 1>
    mElapsed;
  std::size_t mInterimResponses = 0;
  std::size_t mInterimBytes = 0;
  std::size_t mSkippedResponses = 0;
  std::uint64_t mSkippedBytes = 0;
  std::uint64_t mFramingBytes = 0;
  std::uint64_t mBodyBytes = 0;
};

} // namespace peridotspool::limits
