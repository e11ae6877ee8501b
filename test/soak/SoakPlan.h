#pragma once

#include "soak/SoakNames.h"

#include <string>
#include <vector>

namespace peridotspool::soak {

/** What is done to the system from outside. */
enum class FaultKind
{
  /** Of a machine's processes. */
  kKillEntry,
  kKillControl,
  kKillMachine,
  kKillAll,
  kFreeze,
  kPlannedStop,
  kReload,
  /** Of a control replica's disk. */
  kLoseDisk,
  kFullDisk,
  kTornTail,
  /** Of the links between machines. */
  kCutOff,
  kSplit,
  kOneWay,
  kSilence,
  kResetAll,
  kDelay,
  /** Of upstreams. */
  kCrashUpstream,
  kReuseAddress,
  kDrain,
  kMute,
  kLoseAnswers,
  kReject,
  kFail,
  kGarble,
  kLast = kGarble,
};

const char*
NameOf(FaultKind aKind);

struct Fault
{
  FaultKind mKind = FaultKind::kKillEntry;
  /** From the start of traffic. */
  Ms mAt{ 0 };
  Ms mFor{ 0 };
  /** A machine, or an upstream. */
  int mTarget = 1;

  Ms End() const { return mAt + mFor; }
  auto operator<=>(const Fault&) const = default;
};

struct PlanOptions
{
  std::uint64_t mSeed = 1;
  /** Faults are over this long after the start of traffic. */
  Ms mFor = std::chrono::seconds(20);
  int mUpstreams = 6;
};

/**
 * Draws what happens in a run; the same seed gives the same plan. Odd seeds let
 * one fault follow the other with a pause, even ones let them overlap.
 *
 * At most one replica's disk is lost, and no other replica is taken away while
 * it is: more than that the system does not promise to bear.
 */
std::vector<Fault>
DrawPlan(const PlanOptions& aOptions);

std::string
ToText(const Fault& aFault);

} // namespace peridotspool::soak
