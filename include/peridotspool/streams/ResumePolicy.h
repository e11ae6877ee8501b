#pragma once

#include "peridotspool/streams/StreamOrigin.h"

#include <boost/describe/enum.hpp>

#include <compare>

namespace peridotspool::streams {

/** Whether a caller's stream may be resumed, or why not. */
enum class ResumeVerdict
{
  /** At an upstream of the origin's service and version. */
  kResume,
  /** Streams of the route are not resumable. */
  kNotResumable,
  /** The request doesn't name the request that began the stream, and the
   * service has several versions. */
  kNotNamed,
  /** No entry knows the origin. */
  kUnknown,
  /** Streams of different origins began under the name. */
  kAmbiguous,
  /** Entries that may know the origin can't be reached, or for a request that
   * names no stream this entry hasn't been in contact for long enough. */
  kUndetermined,
  /** The route no longer leads to the service that began the stream. */
  kRouteMoved,
  /** The upstream that began the stream now runs another version, and may
   * have run it then. */
  kUpstreamUpgraded,
};
BOOST_DESCRIBE_ENUM(ResumeVerdict,
                    kResume,
                    kNotResumable,
                    kNotNamed,
                    kUnknown,
                    kAmbiguous,
                    kUndetermined,
                    kRouteMoved,
                    kUpstreamUpgraded)

struct ResumeFacts
{
  /** The route's streams are resumable. */
  bool mIsResumable = false;
  /** The request names the request that began the stream. */
  bool mIsNamed = false;
  /** For a request that names no stream, known means that the service has had a
   * single version since before the stream began, and undetermined that this
   * entry can't tell. */
  OriginKnowledge mKnowledge = OriginKnowledge::kUnknown;
  bool mRouteHasService = false;
  /** The upstream that began the stream has announced another version since. */
  bool mIsUpgraded = false;

  auto operator<=>(const ResumeFacts&) const = default;
};

ResumeVerdict
JudgeResume(const ResumeFacts& aFacts);

/** Returns the reason that a refused caller is given. */
const char*
ReasonOf(ResumeVerdict aVerdict);

/** Returns true iff the same request may be granted a little later, or by
 * another entry. */
bool
MayRetryResume(ResumeVerdict aVerdict);

} // namespace peridotspool::streams
