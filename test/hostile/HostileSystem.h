#pragma once

#include "hostile/HostileCrowd.h"
#include "hostile/ProcessWatch.h"
#include "soak/SoakSystem.h"
#include "soak/SoakUpstream.h"

#include <cstddef>
#include <memory>
#include <set>
#include <string>

namespace peridotspool::hostile {

/** Of the smallest machines on which the users run the system. */
inline constexpr std::size_t kMachineBytes = 160'000'000;
/** Descriptors that a process may have besides its clients' connections. */
inline constexpr std::size_t kOtherDescriptors = 200;
/** The bound on clients' connections in the tests' settings. */
inline constexpr std::size_t kConnections = 64;
inline constexpr std::size_t kMaxBodyBytes = 4U << 20;
/** Of the body of an ordinary request. */
inline constexpr std::size_t kOrdinaryBytes = 100;

/** A whole system before one upstream. Crowds press on its first machine. */
class HostileSystem
{
public:
  /** @param aBlock of loopback addresses; each test has its own */
  explicit HostileSystem(int aBlock);
  ~HostileSystem();
  HostileSystem(const HostileSystem&) = delete;
  HostileSystem& operator=(const HostileSystem&) = delete;

  soak::SoakUpstream& Upstream() { return mUpstream; }
  /** Starts all processes; returns once requests are answered. */
  void Start();

  const soak::Places& Where() const { return mSystem.Where(); }
  std::string Host() const { return mSystem.Where().Own(1); }
  std::unique_ptr<ProcessWatch> WatchEntry();
  std::unique_ptr<ProcessWatch> WatchControl();
  /** Returns the ids of the requests that the upstream has begun to run. */
  std::set<std::string> Runs();
  /** Returns once the upstream begins no further request. */
  void WaitUntilIdle();

  /** Checks that all processes live, that the watched one has stayed within its
   * machine's memory, and that an ordinary request is answered. */
  void CheckHolds(const ProcessWatch& aWatch);
  void CheckLives();
  void CheckServes(std::size_t aBodyBytes = kOrdinaryBytes);

private:
  void SendLimits();
  /** Returns true iff one ordinary request is answered. */
  bool IsServed(std::size_t aBodyBytes);

  soak::SoakSystem mSystem;
  soak::SoakUpstream mUpstream;
  int mRequests = 0;
};

/** Runs a crowd of callers against a new system; checks that it holds. */
void
CheckCrowd(int aBlock, std::size_t aClients, const ClientScript& aScript);

} // namespace peridotspool::hostile
