// ctest-labels: unit promise-refusal-did-not-run
#include "peridotspool/routing/Admission.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

namespace peridotspool::routing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{ std::chrono::hours(1) };

settings::EffectiveService
Settings(double aRate, std::uint64_t aConcurrency)
{
  settings::EffectiveService settings;
  settings.mCustomer = CustomerName("c");
  settings.mLimits = { .mRatePerSecond = aRate, .mConcurrency = aConcurrency };
  return settings;
}

AdmissionQuery
Query(Duration aDeadline = seconds(60))
{
  return { .mKey = { CustomerName("c"), "k" },
           .mDeadline = kStart + aDeadline };
}

std::optional<AdmissionReason>
Reason(const AdmissionOutcome& aOutcome)
{
  const auto* refused = std::get_if<Refused>(&aOutcome);
  return refused == nullptr ? std::nullopt : std::optional(refused->mReason);
}

} // namespace

TEST_CASE("RateOverTheLimitIsRefusedAtOnceWithRetryAfter")
{
  Admission admission({}, MemberId(1));
  const auto settings = Settings(10, 100);
  for (int at = 0; at < 10; ++at) {
    CHECK(std::holds_alternative<Admitted>(
      admission.Admit(Query(), settings, kStart)));
  }
  const auto refused = admission.Admit(Query(), settings, kStart);
  CHECK(Reason(refused) == AdmissionReason::kRateLimit);
  const Duration after = std::get<Refused>(refused).mRetryAfter;
  CHECK(after == milliseconds(100));
  CHECK(std::holds_alternative<Admitted>(
    admission.Admit(Query(), settings, kStart + after)));
}

TEST_CASE("ConcurrencyIsReleasedWhenRequestsEnd")
{
  Admission admission({}, MemberId(1));
  const auto settings = Settings(1000, 2);
  admission.Admit(Query(), settings, kStart);
  admission.Admit(Query(), settings, kStart);
  CHECK(Reason(admission.Admit(Query(), settings, kStart)) ==
        AdmissionReason::kConcurrencyLimit);
  admission.Ended(CustomerName("c"), milliseconds(10));
  CHECK_FALSE(Reason(admission.Admit(Query(), settings, kStart)));
}

TEST_CASE("RequestsWaitInOrderForASlot")
{
  Admission admission({ .mMaxRunning = 1 }, MemberId(1));
  const auto settings = Settings(1000, 100);
  admission.Admit(Query(), settings, kStart);
  CHECK(
    std::holds_alternative<Queued>(admission.Admit(Query(), settings, kStart)));
  CHECK_FALSE(admission.Next());
  admission.Ended(CustomerName("c"), milliseconds(10));
  CHECK(admission.Next().has_value());
  CHECK(admission.Running() == 1);
  CHECK_FALSE(admission.Next());
}

// Guards against queueing a request that can't be served before its deadline,
// so that its caller learns of the refusal only then. It happens if the
// deadline is checked only when the request is dequeued.
TEST_CASE("RequestThatCannotMeetItsDeadlineIsRefusedOnArrival")
{
  Admission admission(
    { .mMaxRunning = 1, .mInitialHoldTime = milliseconds(500) }, MemberId(1));
  const auto settings = Settings(1000, 1000);
  for (int at = 0; at < 11; ++at) {
    CHECK_FALSE(Reason(admission.Admit(Query(), settings, kStart)));
  }
  const auto refused = admission.Admit(Query(seconds(5)), settings, kStart);
  CHECK(Reason(refused) == AdmissionReason::kDeadlineTooNear);
  CHECK(admission.Waiting() == 10);
  CHECK_FALSE(Reason(admission.Admit(Query(seconds(6)), settings, kStart)));
}

TEST_CASE("RefusedRequestsHoldNoCapacity")
{
  Admission admission({ .mQueue = { .mMaxQueued = 3 }, .mMaxRunning = 1 },
                      MemberId(1));
  const auto settings = Settings(1000, 1000);
  for (int at = 0; at < 4; ++at) {
    CHECK_FALSE(Reason(admission.Admit(Query(), settings, kStart)));
  }
  for (int at = 0; at < 5; ++at) {
    CHECK(Reason(admission.Admit(Query(), settings, kStart)) ==
          AdmissionReason::kQueueFull);
  }
  CHECK(admission.TakeExpired(kStart + seconds(61)).size() == 3);
  admission.Ended(CustomerName("c"), milliseconds(1));
  CHECK(admission.Running() == 0);
  const auto concurrent = Settings(1000, 1);
  CHECK_FALSE(Reason(admission.Admit(Query(), concurrent, kStart)));
}

TEST_CASE("SharesOfALimitSumToTheLimit")
{
  rc::prop("over any demand", [] {
    const auto members = *rc::gen::inRange<std::uint64_t>(1, 20);
    const settings::Limits limits{
      .mRatePerSecond = static_cast<double>(*rc::gen::inRange(0, 500)),
      .mConcurrency = *rc::gen::inRange<std::uint64_t>(0, 50)
    };
    PublishedDemand published;
    for (std::uint64_t at = 1; at <= members; ++at) {
      published[MemberId(at)] = *rc::gen::inRange(0, 50);
    }
    double rate = 0;
    std::uint64_t concurrency = 0;
    for (const auto& [member, demand] : published) {
      const auto share = LimitShare(limits, published, member);
      rate += share.mRatePerSecond;
      concurrency += share.mConcurrency;
    }
    RC_ASSERT(std::abs(rate - limits.mRatePerSecond) < 1e-6);
    RC_ASSERT(concurrency == limits.mConcurrency);
  });
}

// Guards against refusing a customer far below its limit at one entry. It
// happens if shares follow demand alone and the customer's callers move to an
// entry without demand so far, because the first one is gone or the list of
// entries changed.
TEST_CASE("CustomerBelowItsLimitIsAdmittedAtAnotherEntry")
{
  const settings::Limits limits{ .mRatePerSecond = 40, .mConcurrency = 40 };
  const PublishedDemand published{ { MemberId(1), 4 },
                                   { MemberId(2), 0 },
                                   { MemberId(3), 0 } };
  const auto share = LimitShare(limits, published, MemberId(2));
  CHECK(share.mRatePerSecond == Approx(12));
  CHECK(share.mConcurrency == 12);
}

// Guards against exceeding a customer's limit several times when its callers
// move from entry 1 to entry 2. It happens if a larger share takes effect at
// once: entry 2 uses it before entry 1 has received the new demand.
TEST_CASE("MovedDemandNeverExceedsTheLimit")
{
  const settings::Limits limits{ .mRatePerSecond = 100, .mConcurrency = 10 };
  const PublishedDemand before{ { MemberId(1), 90 }, { MemberId(2), 0 } };
  const PublishedDemand after{ { MemberId(1), 0 }, { MemberId(2), 90 } };
  SharedLimit first(LimitShare(limits, before, MemberId(1)));
  SharedLimit second(LimitShare(limits, before, MemberId(2)));
  const auto acquire = [](SharedLimit& aLimit, TimePoint aNow) {
    std::uint64_t acquired = 0;
    while (!aLimit.TryAcquire(aNow)) {
      ++acquired;
    }
    return acquired;
  };
  second.SetShare(LimitShare(limits, after, MemberId(2)), kStart);
  CHECK(acquire(first, kStart) + acquire(second, kStart) <= 10);
  // The first entry receives the new demand 1 s later, within the settle time.
  first.SetShare(LimitShare(limits, after, MemberId(1)), kStart + seconds(1));
  CHECK(acquire(second, kStart + seconds(2)) == 0);
  for (int at = 0; at < 10; ++at) {
    first.Release();
  }
  CHECK(acquire(first, kStart + seconds(4)) +
          acquire(second, kStart + seconds(4)) <=
        10);
}

// Guards against entries that together exceed a customer's limit several times.
// It happens if a share is computed only once, at the customer's first request:
// an entry that starts alone has the whole limit, and keeps it when others
// join.
TEST_CASE("ShareShrinksAtOnceWhenEntriesJoinOrTheLimitIsLowered")
{
  Admission admission({}, MemberId(1));
  const auto admitted = [&](const settings::EffectiveService& aSettings) {
    int count = 0;
    while (!Reason(admission.Admit(Query(), aSettings, kStart))) {
      ++count;
    }
    for (int at = 0; at < count; ++at) {
      admission.Ended(CustomerName("c"), milliseconds(1));
    }
    return count;
  };
  CHECK(admitted(Settings(1000, 40)) == 40);
  admission.SetMembers({ MemberId(1), MemberId(2), MemberId(3), MemberId(4) });
  CHECK(admitted(Settings(1000, 40)) == 10);
  CHECK(admitted(Settings(1000, 20)) == 5);
}

// Guards against refusing a customer's callers at a busy entry for good, far
// below its limit. It happens if a larger share takes effect only after it has
// been constant for some seconds, because the demand published each second
// always differs.
TEST_CASE("LargerShareTakesEffectWhileDemandKeepsChanging")
{
  const settings::Limits limits{ .mRatePerSecond = 100, .mConcurrency = 100 };
  PublishedDemand published{ { MemberId(1), 0 }, { MemberId(2), 50 } };
  SharedLimit share(LimitShare(limits, published, MemberId(1)));
  TimePoint now = kStart;
  for (int second = 0; second < 5; ++second) {
    now += seconds(1);
    published[MemberId(1)] = 50 + second;
    share.SetShare(LimitShare(limits, published, MemberId(1)), now);
  }
  CHECK(share.InForce(now).mRatePerSecond > 45);
}

TEST_CASE("SharesInForceStayWithinTheLimitWhileDemandMoves")
{
  rc::prop("five entries that receive updates up to a second late", [] {
    constexpr std::uint64_t kEntries = 5;
    const settings::Limits limits{ .mRatePerSecond = 100, .mConcurrency = 100 };
    PublishedDemand none;
    for (std::uint64_t at = 1; at <= kEntries; ++at) {
      none[MemberId(at)] = 0;
    }
    std::map<MemberId, PublishedDemand> views;
    std::map<MemberId, SharedLimit> shares;
    for (const auto& [member, demand] : none) {
      views[member] = none;
      shares.emplace(member, SharedLimit(LimitShare(limits, none, member)));
    }
    struct DemandUpdate
    {
      TimePoint mAt;
      MemberId mTo;
      MemberId mFrom;
      double mDemand;
    };
    std::vector<DemandUpdate> updates;
    std::map<MemberId, milliseconds> phases;
    for (const auto& [member, unused] : none) {
      phases[member] = milliseconds(*rc::gen::inRange(0, 1000));
    }
    for (int second = 0; second < 12; ++second) {
      for (const auto& [from, unused] : none) {
        const double demand = *rc::gen::element(0, 0, 10, 100);
        for (const auto& [to, alsoUnused] : none) {
          const milliseconds delay(to == from ? 0 : *rc::gen::inRange(0, 1000));
          updates.push_back({ kStart + seconds(second) + phases[from] + delay,
                              to,
                              from,
                              demand });
        }
      }
    }
    std::stable_sort(updates.begin(),
                     updates.end(),
                     [](const DemandUpdate& aLeft, const DemandUpdate& aRight) {
                       return aLeft.mAt < aRight.mAt;
                     });
    for (const DemandUpdate& update : updates) {
      views[update.mTo][update.mFrom] = update.mDemand;
      shares.at(update.mTo)
        .SetShare(LimitShare(limits, views[update.mTo], update.mTo),
                  update.mAt);
      double inUse = 0;
      for (auto& [member, share] : shares) {
        inUse += share.InForce(update.mAt).mRatePerSecond;
      }
      RC_ASSERT(inUse <= limits.mRatePerSecond * 1.0001);
    }
  });
}

TEST_CASE("UnusedPartOfALimitIsDividedEvenly")
{
  // Guards against refusing a customer far below its limit. It happens if all
  // its callers use one entry, that entry is lost and they move to another
  // before the new demand is published: that entry's share would be a fortieth,
  // while most of the limit is unused.
  const settings::Limits limits{ .mRatePerSecond = 80, .mConcurrency = 320 };
  const PublishedDemand published{ { MemberId(1), 10 },
                                   { MemberId(2), 0 },
                                   { MemberId(3), 0 },
                                   { MemberId(4), 0 } };
  const auto share = LimitShare(limits, published, MemberId(2));
  INFO("the share must cover the 10/s that move, and is "
       << share.mRatePerSecond);
  CHECK(share.mRatePerSecond > 10);
  CHECK(share.mConcurrency > 40);
}

} // namespace peridotspool::routing
