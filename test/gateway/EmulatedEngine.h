#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace peridotspool::gateway {

struct EngineOptions
{
  double mTokensPerMs = 50.0;
  /** From a prompt's last token read to its first event at the entry; the
   * engine reads the next prompt meanwhile. */
  double mFirstMs = 0.0;
  /** A step of the batch in which no prompt is read. */
  double mStepMs = 0.0;
  /** Prompt tokens read in one step; all others wait for that step. */
  double mChunk = 2048.0;
  /** Requests that have a place in the batch; the others wait for one. */
  std::size_t mSlots = 64;
};

/** What became of a request at an engine. */
struct EngineEvent
{
  enum class Kind
  {
    /** Its prompt has been read. */
    kFirst,
    /** All of its answer has been generated. */
    kEnded,
  };

  double mAtMs = 0.0;
  std::uint64_t mId = 0;
  Kind mKind = Kind::kFirst;
};

/**
 * An engine that batches: prompts are read one after the other, and each step
 * in which one is read takes as much longer for all that generate. Not
 * thread-safe.
 */
class EmulatedEngine
{
public:
  explicit EmulatedEngine(EngineOptions aOptions);

  /** aSteps: tokens of the answer, one for each step. */
  void Send(std::uint64_t aId, double aPrefillTokens, double aSteps);
  /** The caller has left. */
  void Drop(std::uint64_t aId);
  /** Works until aMs and adds what happened to aEvents. */
  void Advance(double aMs, std::vector<EngineEvent>& aEvents);

private:
  struct Job
  {
    std::uint64_t mId = 0;
    double mPrefillTokens = 0.0;
    double mSteps = 0.0;
  };

  void Admit();
  double StepMs() const;
  void Prefill(double aMs);
  void Generate(double aSteps);
  void Finish(std::vector<EngineEvent>& aEvents);

  EngineOptions mOptions;
  double mNowMs = 0.0;
  std::deque<Job> mWaiting;
  std::deque<Job> mPrefilling;
  std::vector<Job> mGenerating;
};

} // namespace peridotspool::gateway
