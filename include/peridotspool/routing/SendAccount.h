#pragma once

#include "peridotspool/base/Ids.h"

#include <boost/describe/class.hpp>
#include <compare>
#include <cstdint>

namespace peridotspool::routing {

/** Whose request a send is, and what it is expected to use. */
struct SendAccount
{
  CustomerName mCustomer;
  /** Of the customer among all customers, for example its limit's rate. */
  double mWeight = 1.0;
  /** 0 is the highest. */
  std::uint32_t mPriority = 0;
  /** Tokens to be prefilled and generated. */
  std::uint64_t mTokens = 0;
  /** The whole prompt is small, so that the engine lets it pass others. */
  bool mIsSmallPrompt = false;

  auto operator<=>(const SendAccount&) const = default;
};
BOOST_DESCRIBE_STRUCT(SendAccount,
                      (),
                      (mCustomer, mWeight, mPriority, mTokens, mIsSmallPrompt))

} // namespace peridotspool::routing
