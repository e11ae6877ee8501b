#pragma once

#include "gateway/StreamOrigins.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace peridotspool::streams {

struct OriginSimulationOptions
{
  std::uint64_t mSeed = 1;
  std::size_t mEntries = 9;
  std::size_t mDomains = 4;
  /** Entries that are killed, frozen or cut off in a second. */
  double mFaultsPerSecond = 1.0;
};

/** Counts of what callers of a simulation saw. */
struct OriginSimulationResult
{
  std::size_t mBegun = 0;
  /** Streams that callers resumed at entries without a recent fault. */
  std::size_t mAsked = 0;
  std::size_t mResumed = 0;
  /** Streams that would go on at another version than their own. */
  std::size_t mMixed = 0;
  /** Names of other customers' streams, and of none, that found an origin. */
  std::size_t mForgedFound = 0;
  /** Streams whose first event was sent before another entry held the origin.
   */
  std::size_t mUnconfirmed = 0;
};

/**
 * Entries that record and look up origins over a network that delays and loses
 * messages, while entries are killed, frozen and cut off, members change and
 * versions replace each other. The same seed gives the same run.
 */
class OriginSimulation
{
public:
  explicit OriginSimulation(const OriginSimulationOptions& aOptions);
  ~OriginSimulation();

  OriginSimulationResult Run(Duration aFor);

private:
  struct Entry;
  struct Stream;

  std::uint64_t Below(std::uint64_t aBound) { return mRandom() % aBound; }
  bool Chance(double aPerSecond);
  void At(TimePoint aTime, std::function<void()> aDo);
  void Step();
  void StartProcess(std::size_t aEntry);
  void Send(std::size_t aFrom,
            const Address& aTo,
            const gateway::PeerMessage& aMessage);
  void Deliver(std::size_t aTo,
               std::size_t aLife,
               const Address& aFrom,
               const gateway::PeerMessage& aMessage);
  void PublishMembers();
  void ApplyMembers(std::size_t aEntry, std::size_t aLife);
  void Disturb();
  void Kill(std::size_t aEntry);
  void RollVersion();
  void BeginStream();
  void OnFirstEvent(const Stream& aStream);
  void Resume(const Stream& aStream);
  void LookUpForged();
  bool IsServing(std::size_t aEntry) const;
  bool IsInTouch(std::size_t aEntry) const;
  std::optional<std::size_t> PickServing();

  OriginSimulationOptions mOptions;
  std::mt19937_64 mRandom;
  TimePoint mNow{ std::chrono::seconds(1000) };
  std::multimap<TimePoint, std::function<void()>> mEvents;
  std::vector<std::unique_ptr<Entry>> mEntries;
  std::vector<std::string> mVersions{ "v1", "v2" };
  std::uint64_t mLastMember = 0;
  std::uint64_t mLastStream = 0;
  std::uint64_t mLastVersion = 2;
  OriginSimulationResult mResult;
};

} // namespace peridotspool::streams
