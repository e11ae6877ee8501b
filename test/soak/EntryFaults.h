#pragma once

#include "soak/SoakSystem.h"

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <random>
#include <vector>

namespace peridotspool::soak {

/** Which faults may befall entries. */
struct EntryFaultOptions
{
  std::uint64_t mSeed = 1;
  bool mKills = true;
  bool mFreezes = true;
  /** Links to all other machines are held up. */
  bool mCuts = true;
};

/**
 * Kills, freezes and cuts off entries at random, and undoes it later. Used by
 * one thread, except for WasDisturbed.
 */
class EntryFaults
{
public:
  EntryFaults(SoakSystem& aSystem, const EntryFaultOptions& aOptions);

  /** Begins a fault of a random entry that has none. */
  void Begin();
  /** Ends what is due; called often. */
  void Advance();
  /** Ends all faults. */
  void EndAll();
  /** Returns true iff an entry was killed or frozen between two moments. A cut
   * between machines excuses nothing that an entry decides by itself. */
  bool WasDisturbed(int aEntry, Time aFrom, Time aTo) const;

private:
  enum class Kind
  {
    kKill,
    kFreeze,
    kCut,
  };
  struct Fault
  {
    Kind mKind = Kind::kCut;
    Time mFrom;
    Time mUntil;
  };

  int Below(int aBound);
  void CutOff(int aEntry, bool aHolds);
  void Apply(int aEntry, Kind aKind, bool aBegins);

  SoakSystem& mSystem;
  std::vector<Kind> mKinds;
  std::mt19937_64 mRandom;
  mutable std::mutex mMutex;
  std::map<int, std::vector<Fault>> mFaults;
  /** Entries with a fault that has not ended. */
  std::map<int, Fault> mPresent;
};

} // namespace peridotspool::soak
