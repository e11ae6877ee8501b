// ctest-labels: unit
#include "peridotspool/gateway/LoadInquiries.h"

#include <catch2/catch.hpp>

namespace peridotspool::gateway {

namespace {

const FailureDomain kDomain("a");
const FailureDomain kOther("b");

} // namespace

TEST_CASE("AKeeperIsAskedOnceForAllUpstreamsThatItKeeps")
{
  KeeperMap keepers;
  keepers.Use({ { .mAddress = { "10.0.0.1", 7 }, .mDomain = kDomain },
                { .mAddress = { "10.0.0.2", 7 }, .mDomain = kOther } });
  LoadInquiries inquiries;
  const LoadInquiry inquiry =
    inquiries.Begin({ { UpstreamName("u1"), kDomain },
                      { UpstreamName("u2"), kOther },
                      { UpstreamName("u3"), kDomain } },
                    { { .mId = 1, .mTokens = 10 } },
                    keepers);
  REQUIRE(inquiry.mQuestions.size() == 2);
  CHECK(inquiry.mQuestions[0].mAsk.mUpstreams ==
        std::vector<UpstreamName>{ UpstreamName("u1"), UpstreamName("u3") });
  CHECK(inquiry.mQuestions[0].mAsk.mParts.size() == 1);
  CHECK_FALSE(inquiries.Take({ .mTag = inquiry.mTag, .mLines = {} }));
  CHECK(inquiries.Take({ .mTag = inquiry.mTag, .mLines = {} }));
  CHECK(inquiries.Open() == 0);
}

// Symptom: a request goes on twice, or memory grows with each lost answer.
// Sequence: a keeper is frozen; the request goes on without its word, and the
// word comes seconds later.
TEST_CASE("AnAnswerThatNobodyWaitsForAnyMoreIsNothing")
{
  KeeperMap keepers;
  LoadInquiries inquiries;
  CHECK(inquiries.Begin({ { UpstreamName("u1"), kDomain } }, {}, keepers)
          .mQuestions.empty());
  CHECK(inquiries.Open() == 0);
  keepers.Use({ { .mAddress = { "10.0.0.1", 7 }, .mDomain = kDomain } });
  const LoadInquiry inquiry =
    inquiries.Begin({ { UpstreamName("u1"), kDomain } }, {}, keepers);
  inquiries.Forget(inquiry.mTag);
  CHECK_FALSE(inquiries.Take({ .mTag = inquiry.mTag, .mLines = {} }));
  CHECK(inquiries.Open() == 0);
}

} // namespace peridotspool::gateway
