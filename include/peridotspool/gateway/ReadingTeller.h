#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/gateway/SharedMessage.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace peridotspool::gateway {

/**
 * When an entry tells the others which long prompts it has sent where. What is
 * told is gathered, so that however many entries there are each of them sends
 * and takes a bounded number of messages a second.
 *
 * A pure step. Not thread-safe.
 */
class ReadingTeller
{
public:
  /** News go to so many other entries. */
  void UsePeers(std::size_t aPeers) { mPeers = aPeers; }
  /** A prompt was sent; returns what to tell the others now, if anything. */
  std::optional<ReadingNews> Add(const UpstreamName& aUpstream,
                                 std::uint64_t aTokens,
                                 TimePoint aNow);
  /** Returns what has been gathered, once it may be told. */
  std::optional<ReadingNews> Tick(TimePoint aNow);

private:
  Duration Spacing() const;

  std::size_t mPeers = 0;
  TimePoint mToldAt;
  std::map<UpstreamName, std::uint64_t> mGathered;
};

} // namespace peridotspool::gateway
