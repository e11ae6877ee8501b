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

TEST_CASE("RateOverTheLimitIsRefusedAtOnceWithTheTimeToComeBack")
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

TEST_CASE("ConcurrencyIsGivenBackWhenRequestsEnd")
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

TEST_CASE("RequestsWaitForARunningPlaceInTurn")
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

// Symptom: a caller learns at its deadline that nothing will come.
// Sequence: the queue holds more than can be served before the deadline; the
// request is queued all the same.
// Cause: the deadline is only looked at when the request's turn comes.
TEST_CASE("RequestThatCannotMeetItsDeadlineIsRefusedWhenItAsks")
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

TEST_CASE("RefusedRequestsLeaveNothingBehind")
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

TEST_CASE("PartsOfALimitSumToTheLimit")
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
      const auto part = LimitShare(limits, published, member);
      rate += part.mRatePerSecond;
      concurrency += part.mConcurrency;
    }
    RC_ASSERT(std::abs(rate - limits.mRatePerSecond) < 1e-6);
    RC_ASSERT(concurrency == limits.mConcurrency);
  });
}

// Symptom: a customer far below its limit is refused at one entry.
// Sequence: its callers have used entry 1; entry 1 is gone, or the list of
// entries sends them to entry 2, which had no demand so far.
// Cause: parts that follow demand alone.
TEST_CASE("CustomerBelowItsLimitIsLetInWhereItTurnsUpNext")
{
  const settings::Limits limits{ .mRatePerSecond = 40, .mConcurrency = 40 };
  const PublishedDemand published{ { MemberId(1), 4 },
                                   { MemberId(2), 0 },
                                   { MemberId(3), 0 } };
  const auto part = LimitShare(limits, published, MemberId(2));
  CHECK(part.mRatePerSecond == Approx(12));
  CHECK(part.mConcurrency == 12);
}

// Symptom: a customer gets several times its limit after its callers move to
// other entries.
// Sequence: entry 1 has most of the demand, then entry 2; entry 2 takes the
// larger part before entry 1 has heard of it.
// Cause: a grown part is used at once.
TEST_CASE("MovedDemandNeverExceedsTheLimitMeanwhile")
{
  const settings::Limits limits{ .mRatePerSecond = 100, .mConcurrency = 10 };
  const PublishedDemand before{ { MemberId(1), 90 }, { MemberId(2), 0 } };
  const PublishedDemand after{ { MemberId(1), 0 }, { MemberId(2), 90 } };
  SharedLimit first(LimitShare(limits, before, MemberId(1)));
  SharedLimit second(LimitShare(limits, before, MemberId(2)));
  const auto take = [](SharedLimit& aLimit, TimePoint aNow) {
    std::uint64_t taken = 0;
    while (!aLimit.TryAcquire(aNow)) {
      ++taken;
    }
    return taken;
  };
  second.SetShare(LimitShare(limits, after, MemberId(2)), kStart);
  CHECK(take(first, kStart) + take(second, kStart) <= 10);
  // The first hears of it a second later, within the settling time.
  first.SetShare(LimitShare(limits, after, MemberId(1)), kStart + seconds(1));
  CHECK(take(second, kStart + seconds(2)) == 0);
  for (int at = 0; at < 10; ++at) {
    first.Release();
  }
  CHECK(take(first, kStart + seconds(4)) + take(second, kStart + seconds(4)) <=
        10);
}

// Symptom: entries together let several times a customer's limit in.
// Sequence: an entry starts alone and has the whole limit; others join.
// Cause: a part that is reckoned once, when the customer first asks.
TEST_CASE("PartShrinksAtOnceWhenEntriesJoinOrTheLimitIsLowered")
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

// Symptom: a customer's callers at a busy entry are refused for good, although
// its limit is far from reached.
// Sequence: demand is published each second and never twice the same.
// Cause: a grown part is used only after it held unchanged for some seconds.
TEST_CASE("GrownPartIsUsedThoughDemandKeepsMoving")
{
  const settings::Limits limits{ .mRatePerSecond = 100, .mConcurrency = 100 };
  PublishedDemand published{ { MemberId(1), 0 }, { MemberId(2), 50 } };
  SharedLimit part(LimitShare(limits, published, MemberId(1)));
  TimePoint now = kStart;
  for (int second = 0; second < 5; ++second) {
    now += seconds(1);
    published[MemberId(1)] = 50 + second;
    part.SetShare(LimitShare(limits, published, MemberId(1)), now);
  }
  CHECK(part.InForce(now).mRatePerSecond > 45);
}

TEST_CASE("PartsInUseStayWithinTheLimitWhileDemandMoves")
{
  rc::prop("five entries, each hears of the others up to a second late", [] {
    constexpr std::uint64_t kEntries = 5;
    const settings::Limits limits{ .mRatePerSecond = 100, .mConcurrency = 100 };
    PublishedDemand none;
    for (std::uint64_t at = 1; at <= kEntries; ++at) {
      none[MemberId(at)] = 0;
    }
    std::map<MemberId, PublishedDemand> views;
    std::map<MemberId, SharedLimit> parts;
    for (const auto& [member, demand] : none) {
      views[member] = none;
      parts.emplace(member, SharedLimit(LimitShare(limits, none, member)));
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
          const milliseconds late(to == from ? 0 : *rc::gen::inRange(0, 1000));
          updates.push_back({ kStart + seconds(second) + phases[from] + late,
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
    for (const DemandUpdate& one : updates) {
      views[one.mTo][one.mFrom] = one.mDemand;
      parts.at(one.mTo).SetShare(LimitShare(limits, views[one.mTo], one.mTo),
                                 one.mAt);
      double inUse = 0;
      for (auto& [member, part] : parts) {
        inUse += part.InForce(one.mAt).mRatePerSecond;
      }
      RC_ASSERT(inUse <= limits.mRatePerSecond * 1.0001);
    }
  });
}

TEST_CASE("PartOfALimitThatNobodyAsksForIsDividedEvenly")
{
  // Symptom: a customer far below its limit is refused by it.
  // Sequence: its callers use one entry; that one is lost and they all go to
  // another, before the new demand is published.
  // Cause: the other entry's part is a fortieth while most of the limit is
  // idle.
  const settings::Limits limits{ .mRatePerSecond = 80, .mConcurrency = 320 };
  const PublishedDemand published{ { MemberId(1), 10 },
                                   { MemberId(2), 0 },
                                   { MemberId(3), 0 },
                                   { MemberId(4), 0 } };
  const auto part = LimitShare(limits, published, MemberId(2));
  INFO("the part must take the 10/s that move, and is " << part.mRatePerSecond);
  CHECK(part.mRatePerSecond > 10);
  CHECK(part.mConcurrency > 40);
}

} // namespace peridotspool::routing
