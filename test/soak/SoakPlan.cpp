#include "soak/SoakPlan.h"

#include <algorithm>
#include <optional>
#include <random>

namespace peridotspool::soak {

namespace {

constexpr Ms kFirst{ 1000 };
/** A little more than the grace of the soak's processes. */
constexpr Ms kStop{ 8500 };
/** An upstream that leaves serves on for a while. */
constexpr Ms kDraining{ 3500 };

bool
IsForControl(FaultKind aKind)
{
  return aKind == FaultKind::kKillControl || aKind == FaultKind::kLoseDisk ||
         aKind == FaultKind::kFullDisk || aKind == FaultKind::kTornTail;
}

bool
IsForUpstream(FaultKind aKind)
{
  return aKind >= FaultKind::kCrashUpstream;
}

/** The replica that lost its disk has to be repaired before others are gone. */
bool
TouchesReplicas(const Fault& aFault)
{
  return !IsForUpstream(aFault.mKind) &&
         aFault.mKind != FaultKind::kKillEntry &&
         aFault.mKind != FaultKind::kReload;
}

} // namespace

const char*
NameOf(FaultKind aKind)
{
  constexpr const char* kNames[] = {
    "kill entry",     "kill control",  "kill machine", "kill all",
    "freeze",         "planned stop",  "reload",       "lose disk",
    "full disk",      "torn tail",     "cut off",      "split",
    "one way",        "silence",       "reset all",    "delay",
    "crash upstream", "reuse address", "drain",        "mute upstream",
    "lose answers",   "reject",        "fail",         "garble",
  };
  return kNames[static_cast<int>(aKind)];
}

std::vector<Fault>
DrawPlan(const PlanOptions& aOptions)
{
  std::mt19937_64 random(aOptions.mSeed * 7919 + 17);
  const auto below = [&](std::uint64_t aMost) {
    return static_cast<int>(random() % aMost);
  };
  const bool overlapping = aOptions.mSeed % 2 == 0;
  std::vector<Fault> plan;
  std::optional<Ms> diskBackAt;
  Ms at = kFirst;
  while (true) {
    Fault fault{ .mKind = static_cast<FaultKind>(
                   below(static_cast<int>(FaultKind::kLast) + 1)),
                 .mAt = at,
                 .mFor = Ms(300 + below(3200)) };
    if (fault.mKind == FaultKind::kPlannedStop) {
      fault.mFor = kStop;
    } else if (fault.mKind == FaultKind::kDrain) {
      fault.mFor = kDraining;
    }
    const int most = IsForUpstream(fault.mKind)  ? aOptions.mUpstreams
                     : IsForControl(fault.mKind) ? kControls
                                                 : kMachines;
    fault.mTarget = 1 + below(static_cast<std::uint64_t>(most));
    const Ms pause =
      overlapping ? Ms(100 + below(1500)) : fault.mFor + Ms(2500 + below(1500));
    if (fault.End() > aOptions.mFor) {
      return plan;
    }
    at += pause;
    if (fault.mKind == FaultKind::kLoseDisk) {
      // Nobody else may be away then, and only one disk is lost in a run.
      const bool busy =
        std::any_of(plan.begin(), plan.end(), [&](const Fault& aOne) {
          return TouchesReplicas(aOne) && aOne.End() + Ms(4000) > fault.mAt;
        });
      if (diskBackAt || busy) {
        continue;
      }
      diskBackAt = fault.End() + Ms(6000);
    } else if (diskBackAt && TouchesReplicas(fault) &&
               fault.mAt < *diskBackAt) {
      continue;
    }
    plan.push_back(fault);
  }
}

std::string
ToText(const Fault& aFault)
{
  return std::to_string(aFault.mAt.count()) + " ms: " + NameOf(aFault.mKind) +
         " " + std::to_string(aFault.mTarget) + " for " +
         std::to_string(aFault.mFor.count()) + " ms";
}

} // namespace peridotspool::soak
