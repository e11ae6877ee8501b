// ctest-labels: unit
// Guards against an upstream that gets no requests for hours after it was slow
// for a while, although it has recovered. It happens if its mean time changes
// only with its own requests: under overload the mean rises above the time that
// new requests have left, and it gets no request that could lower it.
#include "routing/RoutingFixture.h"

#include <catch2/catch.hpp>

#include <map>

namespace peridotspool::routing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kSlow = seconds(15);
constexpr Duration kFast = milliseconds(500);
constexpr Duration kCallerTimeout = seconds(10);
constexpr int kRequests = 40;

/** Two upstreams of one service. */
class TwoUpstreams
{
public:
  TwoUpstreams() { Announce(); }

  /** Sends a request to aName and ends it after aTook. */
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
    query.mDeadline = mNow + kCallerTimeout;
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

TEST_CASE("UpstreamIsUsedAgainAfterItWasSlow")
{
  TwoUpstreams two;
  for (int i = 0; i < kRequests; ++i) {
    two.Serve("other", kFast);
    two.Serve("once-slow", kSlow);
  }
  CHECK(two.Choose() == "other");
  std::map<std::string, int> received;
  for (int i = 0; i < 4 * kRequests; ++i) {
    const std::string chosen = two.Choose();
    ++received[chosen];
    two.Serve(chosen, kFast);
  }
  INFO("of " << 4 * kRequests << " requests in 80 s it got "
             << received["once-slow"] << ", expected a quarter at least");
  CHECK(received["once-slow"] >= kRequests);
}

} // namespace peridotspool::routing
