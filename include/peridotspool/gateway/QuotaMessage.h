#pragma once

#include "peridotspool/base/Ids.h"

#include <boost/describe/class.hpp>
#include <compare>
#include <cstdint>
#include <vector>

namespace peridotspool::gateway {

/** Units that an entry asks the leader for, for one request or for stock. */
struct QuotaLine
{
  CustomerName mCustomer;
  std::uint64_t mUnits = 0;
  /** The entry's number of this line. */
  std::uint64_t mTag = 0;
  /** For no request in particular. */
  bool mStock = false;

  auto operator<=>(const QuotaLine&) const = default;
};
BOOST_DESCRIBE_STRUCT(QuotaLine, (), (mCustomer, mUnits, mTag, mStock))

/** Granted units that no request used. */
struct QuotaReturn
{
  /** Of the grant; another leader ignores the return. */
  std::uint64_t mGrantor = 0;
  std::int64_t mGrantedAt = 0;
  CustomerName mCustomer;
  std::uint64_t mUnits = 0;

  auto operator<=>(const QuotaReturn&) const = default;
};
BOOST_DESCRIBE_STRUCT(QuotaReturn,
                      (),
                      (mGrantor, mGrantedAt, mCustomer, mUnits))

struct QuotaAsk
{
  std::vector<QuotaLine> mLines;
  std::vector<QuotaReturn> mReturns;

  auto operator<=>(const QuotaAsk&) const = default;
};
BOOST_DESCRIBE_STRUCT(QuotaAsk, (), (mLines, mReturns))

struct QuotaVerdict
{
  QuotaLine mLine;
  bool mGranted = false;
  /** When so many units will be there again; 0 if granted. */
  std::uint32_t mComeBackMs = 0;

  auto operator<=>(const QuotaVerdict&) const = default;
};
BOOST_DESCRIBE_STRUCT(QuotaVerdict, (), (mLine, mGranted, mComeBackMs))

struct QuotaGrant
{
  std::vector<QuotaVerdict> mVerdicts;
  /** Names one leader's time in the lead. */
  std::uint64_t mGrantor = 0;
  /** By the grantor's own clock; for QuotaReturn only. */
  std::int64_t mGrantedAt = 0;

  auto operator<=>(const QuotaGrant&) const = default;
};
BOOST_DESCRIBE_STRUCT(QuotaGrant, (), (mVerdicts, mGrantor, mGrantedAt))

/**
 * Keeps an entry from using its own part of the limits for kQuotaLeaseLength
 * from when it is taken. The entry's next report confirms it.
 */
struct QuotaLease
{
  std::uint64_t mGrantor = 0;
  /** The grantor's term as the leader. */
  std::uint64_t mTerm = 0;
  /** Rises with each lease of a grantor; 0 for none. */
  std::uint64_t mNumber = 0;
  /** The own part is one of so many. */
  std::uint32_t mParts = 0;

  auto operator<=>(const QuotaLease&) const = default;
};
BOOST_DESCRIBE_STRUCT(QuotaLease, (), (mGrantor, mTerm, mNumber, mParts))

} // namespace peridotspool::gateway
