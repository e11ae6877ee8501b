#pragma once

#include "soak/SoakNames.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace peridotspool::soak {

/** The part of prompts that crashes upstreams; harmless as the last part. */
inline constexpr const char* kDeadlyPart = "c0c0";

struct PromptCallersOptions
{
  Places mPlaces;
  std::uint64_t mSeed = 1;
  /** Callers whose requests hold the deadly part, and their pauses. */
  int mDeadlyCallers = 3;
  Ms mDeadlyPause{ 150 };
  /** Returns true iff the rules bind an entry at present. */
  std::function<bool(int)> mIsInTouch;
};

/** A request that holds no deadly part, or holds it as its last. */
struct SoundRequest
{
  Time mSentAt;
  /** Its first part is also that of the deadly requests. */
  bool mSharesFirstPart = false;
  bool mInTouch = false;
  bool mBegan = false;
};

/**
 * Callers that send prompts of several parts to any entry, no two alike, and
 * never again after a failure. The deadly requests share all but one of their
 * parts with sound ones.
 */
class PromptCallers
{
public:
  explicit PromptCallers(PromptCallersOptions aOptions);
  ~PromptCallers();
  PromptCallers(const PromptCallers&) = delete;
  PromptCallers& operator=(const PromptCallers&) = delete;

  std::vector<SoundRequest> Sound() const;
  /** Returns the entry that a request was sent to, by its id. */
  static int EntryOf(const std::string& aId);

private:
  /** Sends requests until this object ends. */
  void Repeat(int aCaller, bool aDeadly);
  void SendSound(int aEntry, const std::string& aId, std::mt19937_64& aRandom);
  bool Send(int aEntry, const std::string& aId, const std::string& aPrompt);

  const PromptCallersOptions mOptions;
  mutable std::mutex mMutex;
  std::vector<SoundRequest> mSound;
  std::atomic<bool> mSending{ true };
  std::vector<std::thread> mThreads;
};

} // namespace peridotspool::soak
