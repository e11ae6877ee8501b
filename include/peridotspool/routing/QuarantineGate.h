#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/routing/AnswerMemory.h"
#include "peridotspool/routing/CrashReport.h"
#include "peridotspool/routing/Quarantine.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace peridotspool::routing {

/** What the gate says of one request. */
enum class GateOutcome
{
  /** Like any other. */
  kGoes,
  /** It has the turn of its content; Ended is to be called. */
  kHasTurn,
  /** The leader is asked for its turn; a GateDecided follows. */
  kWaits,
  /** It ended three upstreams in a row. */
  kRefused,
  /** Its turn has not come in time. */
  kTooLate,
};

struct GateAnswer
{
  GateOutcome mOutcome = GateOutcome::kGoes;
  /** Names the request in later calls; set with kWaits. */
  std::uint64_t mTag = 0;
  /** With kWaits: what to send to the leader. */
  TurnAsk mAsk;
};

/** The late outcome of a request that waited. */
struct GateDecided
{
  std::uint64_t mTag = 0;
  GateOutcome mOutcome = GateOutcome::kGoes;

  auto operator<=>(const GateDecided&) const = default;
};

/** What is to be done for the gate. */
struct GateTick
{
  std::vector<GateDecided> mDecided;
  std::vector<TurnAsk> mAsks;
  std::vector<TurnEnded> mEnded;
};

/**
 * An entry's side of the quarantine: holds each request against the table that
 * the control group has committed, as far as it is known here. Contents that
 * aren't listed, which is nearly all, cost one look.
 *
 * A pure step; not thread-safe.
 */
class QuarantineGate
{
public:
  /** The last change known here; 0 for none. */
  std::uint64_t Known() const { return mKnown; }
  bool Knows() const { return mKnown != 0; }
  QuarantineStage StageOf(const ContentId& aContent) const;
  std::size_t Listed() const { return mListed.size(); }

  /** Gives the requests that need not wait any more, and answers to contents
   * that are listed from now on. */
  GateTick Take(const QuarantineTold& aTold, TimePoint aNow);
  GateAnswer Ask(const ContentId& aContent, Duration aTimeLeft, TimePoint aNow);
  std::optional<GateDecided> Take(const TurnAnswer& aAnswer);
  /** About every 50 ms. */
  GateTick Tick(TimePoint aNow);
  /** The caller of a request that waits has gone. */
  void Forget(std::uint64_t aTag);
  /** The request that has this turn was not run after all. */
  TurnEnded Ended(std::uint64_t aTag);
  /** An upstream has answered a request completely; aTag is its turn, or 0.
   * Returns what the leader is to be told, if anything. */
  std::optional<TurnEnded> Answered(std::uint64_t aTag,
                                    const ContentId& aContent,
                                    TimePoint aNow);
  /** Its answer was lost; what ended is not known yet. */
  void Lost(std::uint64_t aTag, TimePoint aNow);

private:
  struct Waiting
  {
    ContentId mContent;
    TimePoint mSince;
    TimePoint mUntil;
    TimePoint mAskedAt;
  };
  struct Turn
  {
    ContentId mContent;
    /** When it is given back; unset while its request is being run. */
    std::optional<TimePoint> mBackAt;
  };

  std::uint64_t mKnown = 0;
  std::unordered_map<ContentId, QuarantineStage> mListed;
  std::uint64_t mLastTag = 0;
  std::map<std::uint64_t, Waiting> mWaiting;
  std::map<std::uint64_t, Turn> mTurns;
  AnswerMemory mAnswers;
};

} // namespace peridotspool::routing
