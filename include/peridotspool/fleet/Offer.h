#pragma once

#include "peridotspool/base/Ids.h"
#include "peridotspool/fleet/FleetIds.h"

#include <boost/describe/class.hpp>
#include <boost/describe/enum.hpp>
#include <compare>

namespace peridotspool::fleet {

enum class PurchaseKind
{
  /** Cheaper; the cloud may reclaim it on seconds of notice. */
  kReclaimable,
  kOnDemand,
};
BOOST_DESCRIBE_ENUM(PurchaseKind, kReclaimable, kOnDemand)

/** What can be bought: the failure domain, machine class and purchase terms. */
struct OfferKey
{
  FailureDomain mDomain;
  MachineClass mClass;
  PurchaseKind mKind = PurchaseKind::kReclaimable;

  auto operator<=>(const OfferKey&) const = default;
};
BOOST_DESCRIBE_STRUCT(OfferKey, (), (mDomain, mClass, mKind))

struct Offer
{
  OfferKey mKey;
  double mPricePerHour = 0.0;

  auto operator<=>(const Offer&) const = default;
};
BOOST_DESCRIBE_STRUCT(Offer, (), (mKey, mPricePerHour))

} // namespace peridotspool::fleet
