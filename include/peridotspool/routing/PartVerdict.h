#pragma once

#include "peridotspool/base/PromptPartId.h"
#include "peridotspool/base/Time.h"
#include "peridotspool/routing/PartEvidence.h"
#include "peridotspool/routing/Quarantine.h"

#include <compare>
#include <cstdint>
#include <map>
#include <vector>

namespace peridotspool::routing {

/** After this many crashes with a part, hardly a request with it may be sent.
 */
inline constexpr std::uint32_t kMaxPartCrashes = 5;

/** One part that was running when upstreams crashed. */
struct PartCase
{
  PartEvidence mEvidence;
  /** A prompt with it was answered completely before the first crash. */
  bool mAnsweredBefore = false;
};

/** A crash of an upstream that was running prompts. */
struct PromptCrash
{
  UpstreamIncarnation mUpstream;
  TimePoint mLostAt;

  auto operator<=>(const PromptCrash&) const = default;
};

struct PartVerdict
{
  QuarantineStage mStage = QuarantineStage::kWatched;
  /** Consecutive crashes that no other part explains. */
  std::uint32_t mCounted = 0;
  /** All crashes that no other part explains; some may have been concurrent. */
  std::uint32_t mCrashes = 0;
  /**
   * Equal for parts that the crashes don't tell apart: at least one of them
   * crashes upstreams. 0 for a part that is told from all others.
   */
  std::uint64_t mGroup = 0;

  auto operator<=>(const PartVerdict&) const = default;
};

/**
 * Decides which parts crash upstreams. A part that does so is in all crashes
 * that it causes and in no complete answer, whatever stands beside it. Those
 * beside it are in some of the same crashes, which it explains.
 *
 * @param aCrashes recent crashes, whichever parts were running
 */
std::map<PromptPartId, PartVerdict>
JudgeParts(const std::map<PromptPartId, PartCase>& aCases,
           const std::vector<PromptCrash>& aCrashes);

} // namespace peridotspool::routing
