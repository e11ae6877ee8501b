#pragma once

#include "peridotspool/base/Time.h"

#include <boost/describe/enum.hpp>
#include <compare>
#include <variant>

namespace peridotspool::routing {

enum class AdmissionReason
{
  kRateLimit,
  kConcurrencyLimit,
  kQueueFull,
  kDeadlineTooNear,
};
BOOST_DESCRIBE_ENUM(AdmissionReason,
                    kRateLimit,
                    kConcurrencyLimit,
                    kQueueFull,
                    kDeadlineTooNear)

/** Goes on to an upstream now. */
struct Admitted
{
  auto operator<=>(const Admitted&) const = default;
};

/** Waits for its turn; Admission::Next gives it out. */
struct Queued
{
  Duration mExpectedWait{ 0 };

  auto operator<=>(const Queued&) const = default;
};

/** Refused, at once; it did not run. */
struct Refused
{
  AdmissionReason mReason = AdmissionReason::kRateLimit;
  Duration mRetryAfter{ 0 };

  auto operator<=>(const Refused&) const = default;
};

using AdmissionOutcome = std::variant<Admitted, Queued, Refused>;

} // namespace peridotspool::routing
