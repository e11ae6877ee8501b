#pragma once

#include "soak/SoakNames.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace peridotspool::soak {

/** What callers saw of streams that they took up again. */
struct ResumeCounts
{
  /** New streams at entries without a recent fault, and those that began. */
  std::size_t mSent = 0;
  std::size_t mBegun = 0;
  /** Streams that were taken up while the system owed them, and those of them
   * that went on. */
  std::size_t mAsked = 0;
  std::size_t mResumed = 0;
  /** Why streams that were owed did not go on. */
  std::map<std::string, std::size_t> mReasons;
  /** Streams that went on, owed or not. */
  std::size_t mResumedAtAll = 0;
  /** Streams that were taken up under a name that nobody used, and got events.
   */
  std::size_t mForgedServed = 0;
  /** Descriptions of streams that hold events of two versions, or that miss or
   * repeat an event. */
  std::vector<std::string> mBroken;
};

/**
 * Callers that begin streams at any entry, drop most of them, and take them up
 * at any other one. Events name the version that generated them.
 */
class ResumingCallers
{
public:
  struct Options
  {
    Places mPlaces;
    int mCount = 12;
    std::uint64_t mSeed = 1;
    /** Returns true iff the entry has had no fault lately. */
    std::function<bool(int aEntry)> mIsInTouch;
    /** Returns true iff two upstreams of the version serve. */
    std::function<bool(const std::string& aVersion)> mIsServed;
  };

  explicit ResumingCallers(Options aOptions);
  ~ResumingCallers();
  ResumingCallers(const ResumingCallers&) = delete;
  ResumingCallers& operator=(const ResumingCallers&) = delete;

  ResumeCounts Counts() const;

private:
  /** The events of one stream over all tries. */
  struct Progress
  {
    std::string mName;
    int mLast = 0;
    bool mIsWhole = false;
    std::set<std::string> mVersions;
    std::string mFault;
    /** Status and body of the last try that brought no event. */
    std::string mRefusal;
  };

  void Repeat(int aCaller);
  void PlayStream(std::mt19937_64& aRandom, const std::string& aName);
  void TakeUp(std::mt19937_64& aRandom, Progress& aStream, int aTry);
  void TakeUpForged(std::mt19937_64& aRandom, const std::string& aName);
  /** Returns true iff an event came. */
  bool Receive(int aEntry,
               const std::string& aId,
               const std::string& aResumes,
               Ms aPatience,
               Progress& aStream) const;
  template<typename Step>
  void Count(Step aStep);

  const Options mOptions;
  mutable std::mutex mMutex;
  ResumeCounts mCounts;
  std::atomic<bool> mRunning{ true };
  std::vector<std::thread> mThreads;
};

} // namespace peridotspool::soak
