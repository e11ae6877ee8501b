#pragma once

#include "peridotspool/gateway/BodyFraming.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace peridotspool::gateway {

/** Header fields in the order received, with their names as written. */
using FieldList = std::vector<std::pair<std::string, std::string>>;

/**
 * Returns the first value of a field, or empty. The name is compared without
 * regard to case.
 */
std::string_view
FieldOf(const FieldList& aFields, std::string_view aName);

/** Returns all values of a field, in order. */
std::vector<std::string_view>
FieldsOf(const FieldList& aFields, std::string_view aName);

/** Returns true iff both texts are equal without regard to case. */
bool
EqualsIgnoreCase(std::string_view aLeft, std::string_view aRight);

/** A caller's complete request, unmodified. */
struct CallerRequest
{
  std::string mMethod;
  /** Path and query as received. */
  std::string mTarget;
  FieldList mFields;
  std::string mBody;
  bool mKeepAlive = true;
  /** How a response of unknown length is framed for this caller. */
  BodyFraming mStreamFraming = BodyFraming::kChunked;

  std::string_view Path() const
  {
    return std::string_view(mTarget).substr(0, mTarget.find('?'));
  }
};

/** Returns the bytes of memory that a request takes. */
std::size_t
HeldBytes(const CallerRequest& aRequest);

/** The status line and header fields of an upstream's response. */
struct ResponseHead
{
  unsigned mStatus = 0;
  std::string mReason;
  FieldList mFields;
  BodyFraming mFraming = BodyFraming::kLength;
};

} // namespace peridotspool::gateway
