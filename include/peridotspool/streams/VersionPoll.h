#pragma once

#include "peridotspool/base/Address.h"
#include "peridotspool/base/Time.h"
#include "peridotspool/streams/VersionMessage.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace peridotspool::streams {

/** The result of a poll. */
struct VersionDecision
{
  std::uint64_t mTag = 0;
  /** Known: the version is the only one; unknown: there are others;
   * undetermined: too few entries have responded. */
  OriginAnswer mAnswer;
};

/**
 * Polls of other entries whether a service has had a single version. An entry
 * that is out of step with the others knows no newer version, so that its own
 * knowledge is no proof: a majority has to agree.
 *
 * Does no I/O and reads no clock. Not thread-safe.
 */
class VersionPoll
{
public:
  /** @param aLastTag random; keeps tags of an earlier process from matching */
  explicit VersionPoll(std::uint64_t aLastTag)
    : mLastTag(aLastTag)
  {
  }

  /**
   * Starts a poll; returns the query to send to each of aTo.
   * @param aOrigin the service, and the version that this entry knows
   * @param aTo not empty
   */
  VersionQuery Begin(const StreamOrigin& aOrigin,
                     const std::vector<Address>& aTo,
                     TimePoint aNow);
  /** Returns the poll that this response decides. */
  std::optional<VersionDecision> HandleResponse(
    const Address& aFrom,
    const VersionResponse& aResponse);
  void Cancel(std::uint64_t aTag) { mPolls.erase(aTag); }
  /** Returns the polls that have timed out. Call about every 50 ms. */
  std::vector<VersionDecision> Tick(TimePoint aNow);

private:
  struct Poll
  {
    StreamOrigin mOrigin;
    std::set<Address> mMissing;
    /** How many entries must still agree; this entry does. */
    std::size_t mNeeded = 0;
    TimePoint mStartedAt;
  };

  std::map<std::uint64_t, Poll> mPolls;
  std::uint64_t mLastTag;
};

} // namespace peridotspool::streams
