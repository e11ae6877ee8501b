// ctest-labels: unit
// Symptom: an upstream that was slow for a while got no request any more, hours
// after it was as fast as the others; these carried its part.
// Sequence: its answers take longer than callers wait for, as too much was sent
// there; its mean time rises above what new requests have left.
// Cause: the mean changes only with what is sent there, and nothing was.
#include "routing/RoutingFixture.h"

#include <catch2/catch.hpp>

#include <map>

namespace peridotspool::routing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kSlow = seconds(15);
constexpr Duration kFast = milliseconds(500);
constexpr Duration kCallersWait = seconds(10);
constexpr int kEnough = 40;

/** Two upstreams of one service, and what each of them has had. */
class TwoUpstreams
{
public:
  TwoUpstreams() { Announce(); }

  /** A request that the caller sends to aName and that takes aTook. */
  void Serve(const std::string& aName, Duration aTook)
  {
    const UpstreamName name(aName);
    mRouter.Sent(name, Query(), mNow);
    mNow += aTook;
    mRouter.Ended(name, AttemptEnd::kCompleted, mNow);
    Announce();
  }

  std::string Choose()
  {
    RouteQuery query = Query();
    query.mDeadline = mNow + kCallersWait;
    return Chosen(mRouter, query, mNow);
  }

private:
  void Announce()
  {
    ++mSequence;
    for (const char* name : { "once-slow", "other" }) {
      mRouter.Announce(Announcement(name, mSequence), mNow);
    }
    mRouter.Tick(mNow);
  }

  Router mRouter{ RouterOptions{ .mOtherEntriesSend = false } };
  TimePoint mNow = kStart;
  std::uint64_t mSequence = 0;
};

} // namespace

TEST_CASE("AnUpstreamThatWasSlowOnceIsUsedAgain")
{
  TwoUpstreams two;
  for (int i = 0; i < kEnough; ++i) {
    two.Serve("other", kFast);
    two.Serve("once-slow", kSlow);
  }
  CHECK(two.Choose() == "other");
  std::map<std::string, int> had;
  for (int i = 0; i < 4 * kEnough; ++i) {
    const std::string chosen = two.Choose();
    ++had[chosen];
    two.Serve(chosen, kFast);
  }
  INFO("of " << 4 * kEnough << " requests in 80 s it had " << had["once-slow"]
             << ", expected a quarter at least");
  CHECK(had["once-slow"] >= kEnough);
}

} // namespace peridotspool::routing
