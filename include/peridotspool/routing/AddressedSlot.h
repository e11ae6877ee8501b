#pragma once

#include "peridotspool/base/Address.h"
#include "peridotspool/routing/SlotMessage.h"

#include <compare>

namespace peridotspool::routing {

/** Why a coordinator denies a slot. */
enum class SlotDenial
{
  kNone,
  /** No slot is expected before the request's longest wait. */
  kTooLate,
  /** The customer's part of the queue is full. */
  kCustomerFull,
  /** The queue is full of sends that go first. */
  kQueueFull,
};

/** A response and the entry that it is sent to. */
struct AddressedSlot
{
  Address mTo;
  SlotResponse mResponse;
  SlotDenial mDenial = SlotDenial::kNone;

  auto operator<=>(const AddressedSlot&) const = default;
};

} // namespace peridotspool::routing
