#pragma once

#include "peridotspool/base/Address.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace peridotspool::soak {

using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;
using Ms = std::chrono::milliseconds;

/** What a request's route promises; each kind has a route and a service. */
enum class Kind
{
  /** Idempotent. */
  kSafe,
  /** Non-idempotent. */
  kOnce,
  /** A stream that may not be resumed. */
  kStream,
  /** A stream that may. */
  kResume,
};

inline constexpr std::uint16_t kPeerPort = 7600;
inline constexpr std::uint16_t kTunnelPort = 7601;
inline constexpr std::uint16_t kEntryPeerPort = 7602;
inline constexpr std::uint16_t kCallerPort = 8221;
inline constexpr std::uint16_t kReadyPort = 8224;
inline constexpr std::uint16_t kControlPort = 8229;
inline constexpr std::uint16_t kDirectoryPort = 8220;
inline constexpr std::uint16_t kUpstreamPort = 9000;
inline constexpr std::uint16_t kCloudPort = 9100;

/** Machines 1 to kMachines run an entry, the first kControls control too. */
inline constexpr int kMachines = 5;
inline constexpr int kControls = 4;
inline constexpr int kSeeds = 3;
inline constexpr int kDomains = 3;

/** The answer to a plain request is this many bytes and a little more. */
inline constexpr std::size_t kFillerBytes = 600;
inline constexpr int kStreamEvents = 12;
inline constexpr const char* kHost = "soak.example";

inline const char*
NameOf(Kind aKind)
{
  constexpr const char* kNames[] = { "safe", "once", "stream", "resume" };
  return kNames[static_cast<int>(aKind)];
}

inline bool
IsStream(Kind aKind)
{
  return aKind == Kind::kStream || aKind == Kind::kResume;
}

inline bool
MayRepeat(Kind aKind)
{
  return aKind == Kind::kSafe || aKind == Kind::kResume;
}

/**
 * The loopback addresses of one run, apart from those of runs beside it: what a
 * machine itself listens at, and what others use, with the proxy between.
 */
struct Places
{
  int mBlock = 0;

  std::string Own(int aMachine) const { return Host(aMachine, 1); }
  std::string Public(int aMachine) const { return Host(aMachine, 2); }
  std::string Upstream(int aNumber) const { return Host(aNumber, 3); }
  std::string Cloud() const { return Host(1, 4); }

private:
  std::string Host(int aNumber, int aWhat) const
  {
    return "127." + std::to_string(100 + mBlock) + "." + std::to_string(aWhat) +
           "." + std::to_string(aNumber);
  }
};

} // namespace peridotspool::soak
