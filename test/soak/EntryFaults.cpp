#include "soak/EntryFaults.h"

#include <algorithm>
#include <csignal>

namespace peridotspool::soak {

EntryFaults::EntryFaults(SoakSystem& aSystem, const EntryFaultOptions& aOptions)
  : mSystem(aSystem)
  , mRandom(aOptions.mSeed)
{
  if (aOptions.mKills) {
    mKinds.push_back(Kind::kKill);
  }
  if (aOptions.mFreezes) {
    mKinds.push_back(Kind::kFreeze);
  }
  if (aOptions.mCuts) {
    mKinds.push_back(Kind::kCut);
  }
}

int
EntryFaults::Below(int aBound)
{
  return static_cast<int>(mRandom() % static_cast<std::uint64_t>(aBound));
}

void
EntryFaults::Begin()
{
  const int entry = 1 + Below(kMachines);
  if (mKinds.empty() || mPresent.contains(entry)) {
    return;
  }
  const Kind kind =
    mKinds[static_cast<std::size_t>(Below(static_cast<int>(mKinds.size())))];
  const Time now = Clock::now();
  const Fault fault{ .mKind = kind,
                     .mFrom = now,
                     .mUntil = now + Ms(300 + Below(2500)) };
  mPresent[entry] = fault;
  {
    const std::lock_guard lock(mMutex);
    mFaults[entry].push_back(fault);
  }
  Apply(entry, kind, true);
}

void
EntryFaults::Advance()
{
  for (auto one = mPresent.begin(); one != mPresent.end();) {
    if (Clock::now() < one->second.mUntil) {
      ++one;
      continue;
    }
    Apply(one->first, one->second.mKind, false);
    {
      const std::lock_guard lock(mMutex);
      mFaults[one->first].back().mUntil = Clock::now();
    }
    one = mPresent.erase(one);
  }
}

void
EntryFaults::EndAll()
{
  for (auto& [entry, fault] : mPresent) {
    fault.mUntil = Clock::now();
  }
  Advance();
}

bool
EntryFaults::WasDisturbed(int aEntry, Time aFrom, Time aTo) const
{
  const std::lock_guard lock(mMutex);
  const auto found = mFaults.find(aEntry);
  return found != mFaults.end() &&
         std::any_of(
           found->second.begin(), found->second.end(), [&](const Fault& aOne) {
             return aOne.mKind != Kind::kCut && aOne.mFrom <= aTo &&
                    aOne.mUntil >= aFrom;
           });
}

void
EntryFaults::Apply(int aEntry, Kind aKind, bool aBegins)
{
  SoakMachine& machine = mSystem.Machine(aEntry);
  switch (aKind) {
    case Kind::kKill:
      if (aBegins) {
        machine.KillEntry();
      } else {
        machine.StartEntry();
      }
      return;
    case Kind::kFreeze:
      machine.Signal(aBegins ? SIGSTOP : SIGCONT);
      return;
    case Kind::kCut:
      CutOff(aEntry, aBegins);
      return;
  }
}

void
EntryFaults::CutOff(int aEntry, bool aHolds)
{
  for (int other = 1; other <= kMachines; ++other) {
    if (other != aEntry) {
      mSystem.Links().Hold(aEntry, other, aHolds);
      mSystem.Links().Hold(other, aEntry, aHolds);
    }
  }
}

} // namespace peridotspool::soak
