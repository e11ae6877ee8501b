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

/** The request may run now. */
struct Admitted
{
  auto operator<=>(const Admitted&) const = default;
};

/** The request waits; Admission::Next returns it later. */
struct Queued
{
  Duration mExpectedWait{ 0 };

  auto operator<=>(const Queued&) const = default;
};

/** The request was refused and did not run. */
struct Refused
{
  AdmissionReason mReason = AdmissionReason::kRateLimit;
  Duration mRetryAfter{ 0 };

  auto operator<=>(const Refused&) const = default;
};

using AdmissionOutcome = std::variant<Admitted, Queued, Refused>;

} // namespace peridotspool::routing
