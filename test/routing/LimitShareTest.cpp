// ctest-labels: unit promise-refusal-did-not-run
#include "peridotspool/routing/LimitShare.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

namespace peridotspool::routing {

TEST_CASE("CustomerBelowItsLimitHasAShareAtANewEntry")
{
  // Guards against refusing a customer that uses a tenth of its limit. It
  // happens if all but a tenth of the limit follows past demand: the customer's
  // callers move from entry 2 to entry 1, which has no demand yet.
  const PublishedDemand published{ { MemberId(1), 0 },
                                   { MemberId(2), 8 },
                                   { MemberId(3), 0 },
                                   { MemberId(4), 0 } };
  const auto share = LimitShare({ 80, 320 }, published, MemberId(1));
  CHECK(share.mRatePerSecond == Approx(18));
  CHECK(share.mConcurrency == 72);
}

TEST_CASE("RateSharesSumToTheLimitAtAnyDemand")
{
  rc::prop("shares of a rate sum to it", [] {
    const auto demands =
      *rc::gen::nonEmpty(rc::gen::container<std::vector<unsigned>>(
        rc::gen::inRange<unsigned>(0, 200)));
    const double limit = *rc::gen::inRange(1, 300);
    PublishedDemand published;
    for (std::size_t index = 0; index < demands.size(); ++index) {
      published[MemberId(index + 1)] = demands[index];
    }
    double sum = 0;
    for (const auto& [member, demand] : published) {
      const auto share = LimitShare({ limit, 10 }, published, member);
      RC_ASSERT(share.mRatePerSecond >= 0);
      sum += share.mRatePerSecond;
    }
    RC_ASSERT(sum > limit * 0.999 && sum < limit * 1.001);
  });
}

} // namespace peridotspool::routing
