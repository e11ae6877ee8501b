#pragma once

#include <boost/describe/class.hpp>
#include <boost/describe/enum.hpp>
#include <compare>
#include <cstdint>
#include <optional>

namespace peridotspool::routing {

enum class WorkKind
{
  /** Prefill of a prompt, from the send to the first event. */
  kPrefill,
  /** Generation of tokens, between the first and the last event. */
  kGeneration,
  /** A call without a prompt, from the send to its response. */
  kPlain,
};
BOOST_DESCRIBE_ENUM(WorkKind, kPrefill, kGeneration, kPlain)

/** How long an upstream says that work takes on its machine. */
struct StatedSlowness
{
  /** 100 means as usual. */
  std::uint32_t mPercent = 100;
  /** Time since the upstream stated it. */
  std::uint32_t mAgeMs = 0;

  auto operator<=>(const StatedSlowness&) const = default;
};
BOOST_DESCRIBE_STRUCT(StatedSlowness, (), (mPercent, mAgeMs))

/** How long an upstream took for one piece of work. */
struct WorkObservation
{
  WorkKind mKind = WorkKind::kPlain;
  /** 0 if the sender does not know when the work began. */
  std::uint32_t mTookUs = 0;
  /** What the service's upstreams take for the same work on average. */
  std::uint32_t mUsualUs = 0;
  std::optional<StatedSlowness> mStated;

  auto operator<=>(const WorkObservation&) const = default;
};
BOOST_DESCRIBE_STRUCT(WorkObservation, (), (mKind, mTookUs, mUsualUs, mStated))

/** An upstream's own speed; times in percent of the service's usual ones. */
struct SpeedEstimate
{
  std::uint32_t mPrefillPercent = 100;
  std::uint32_t mGenerationPercent = 100;
  std::uint32_t mPlainPercent = 100;
  /** Observations behind the estimate. */
  std::uint32_t mSamples = 0;
  std::optional<StatedSlowness> mStated;

  auto operator<=>(const SpeedEstimate&) const = default;
};
BOOST_DESCRIBE_STRUCT(
  SpeedEstimate,
  (),
  (mPrefillPercent, mGenerationPercent, mPlainPercent, mSamples, mStated))

} // namespace peridotspool::routing
