#pragma once

namespace peridotspool::http {

enum class StatusKind
{
  /** Another response to the same request follows. */
  kInterim,
  kFinal,
  /** No status of HTTP, or one that this program never asks for. */
  kInvalid,
};

/** Returns the kind of a response's status (RFC 9110, 15). */
constexpr StatusKind
KindOfStatus(unsigned aStatus)
{
  constexpr unsigned kFirstInterim = 100;
  // Sent only to requests with an Upgrade field.
  constexpr unsigned kSwitchingProtocols = 101;
  constexpr unsigned kFirstFinal = 200;
  constexpr unsigned kLast = 599;
  if (aStatus < kFirstInterim || aStatus > kLast ||
      aStatus == kSwitchingProtocols) {
    return StatusKind::kInvalid;
  }
  return aStatus < kFirstFinal ? StatusKind::kInterim : StatusKind::kFinal;
}

} // namespace peridotspool::http
