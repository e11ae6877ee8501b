#pragma once

#include "peridotspool/base/Ids.h"

#include <boost/describe/class.hpp>
#include <boost/describe/enum.hpp>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace peridotspool::streams {

/** Identifies a stream by the customer and the request that began it. */
struct StreamKey
{
  std::uint64_t mHigh = 0;
  std::uint64_t mLow = 0;

  auto operator<=>(const StreamKey&) const = default;
};
BOOST_DESCRIBE_STRUCT(StreamKey, (), (mHigh, mLow))

/**
 * Returns the key of a stream. The customer is part of it, so that a request
 * that names a stream of another customer finds nothing.
 */
StreamKey
StreamKeyOf(const CustomerName& aCustomer, std::string_view aRequestId);

/** Returns 32 hexadecimal digits, as in log lines. */
std::string
ToText(const StreamKey& aKey);

/** Where the first event of a stream was generated. */
struct StreamOrigin
{
  ServiceName mService;
  VersionName mVersion;
  UpstreamName mUpstream;

  /** Returns true iff a stream of one origin can be resumed at the other. */
  bool IsCompatibleWith(const StreamOrigin& aOther) const
  {
    return mService == aOther.mService && mVersion == aOther.mVersion;
  }

  auto operator<=>(const StreamOrigin&) const = default;
};
BOOST_DESCRIBE_STRUCT(StreamOrigin, (), (mService, mVersion, mUpstream))

/** What is known of a stream's origin. */
enum class OriginKnowledge
{
  /** No record is held. */
  kUnknown,
  kKnown,
  /** Streams of different origins began under the same key. */
  kAmbiguous,
  /** Not all entries that may hold the record have responded. */
  kUndetermined,
};
BOOST_DESCRIBE_ENUM(OriginKnowledge,
                    kUnknown,
                    kKnown,
                    kAmbiguous,
                    kUndetermined)

struct OriginAnswer
{
  OriginKnowledge mKnowledge = OriginKnowledge::kUnknown;
  /** Set iff it is known. */
  StreamOrigin mOrigin;
  /** How long the record is still kept. */
  std::uint32_t mLifetimeMs = 0;

  auto operator<=>(const OriginAnswer&) const = default;
};
BOOST_DESCRIBE_STRUCT(OriginAnswer, (), (mKnowledge, mOrigin, mLifetimeMs))

} // namespace peridotspool::streams
