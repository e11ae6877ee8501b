#pragma once

#include <cstdint>

namespace peridotspool::routing {

/** A small deterministic generator (splitmix64). */
class RandomSource
{
public:
  explicit RandomSource(std::uint64_t aSeed)
    : mState(aSeed)
  {
  }

  std::uint64_t Next()
  {
    mState += 0x9e3779b97f4a7c15ULL;
    std::uint64_t mixed = mState;
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31);
  }

  /** Returns a number below aBound, which must not be zero. */
  std::uint32_t Below(std::uint32_t aBound)
  {
    return static_cast<std::uint32_t>(((Next() >> 32) * aBound) >> 32);
  }

private:
  std::uint64_t mState;
};

} // namespace peridotspool::routing
