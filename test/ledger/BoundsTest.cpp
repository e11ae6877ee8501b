// ctest-labels: promise-refusal-did-not-run promise-state-survives
#include "ledger/TestEntries.h"

#include <catch2/catch.hpp>

#include <cstdlib>

namespace peridotspool::ledger {

namespace {

using std::chrono::seconds;

/**
 * Bytes of an unfinished order: its body, the space reserved for its answer,
 * and the record itself.
 */
constexpr std::uint64_t kOrderBytes = 2000 + 1000 + 1000;

LedgerOptions
SmallOptions()
{
  LedgerOptions options;
  options.mMaxBytes = 200'000;
  options.mAnswerReserve = 1000;
  options.mRetention = seconds(30);
  return options;
}

/**
 * Accepts and answers orders until an accept is refused. Returns the number
 * accepted.
 */
int
FillUp(TestEntries& aEntries, int aFirst, Verdict& aLast)
{
  const MemberId gateway = aEntries.mIds[0];
  for (int i = 0; i < 1000; ++i) {
    const RequestKey key{ CustomerName("lefkada"),
                          "log-" + std::to_string(aFirst + i) };
    AcceptOperation accept = AcceptOrder(gateway);
    accept.mTerms.mBody = std::string(2000, 'f');
    aLast = aEntries.mCluster.Do(gateway, key, accept).mVerdict;
    if (aLast != Verdict::kDone) {
      return i;
    }
    aEntries.mCluster.Do(
      gateway, key, FinishWith(OutcomeKind::kAnswered, std::string(500, 'a')));
  }
  return 1000;
}

} // namespace

TEST_CASE("RefusesAcceptsAboveTheMemoryLimitUntilRecordsExpire")
{
  // Guards against an entry whose memory grows until it is killed, with the
  // loss of all its records. This happens when callers send more requests than
  // the retention releases, and records are not limited in bytes or never
  // deleted.
  TestEntries entries(1, SmallOptions());
  Verdict last = Verdict::kDone;
  const int taken = FillUp(entries, 0, last);
  CHECK(last == Verdict::kFull);
  CHECK(taken > 20);
  // A primary knows the bytes that a replica held at its last acknowledgement.
  // Since then each other primary may have added one more order to it.
  const std::uint64_t bound = 200'000 + 3 * kOrderBytes;
  for (const MemberId member : entries.mIds) {
    CHECK(entries.mCluster.CountersOf(member).mHeldBytes <= bound);
  }
  entries.mCluster.Run(seconds(40));
  CHECK(entries.Sum(&LedgerCounters::mHeldRecords) == 0);
  CHECK(entries.Sum(&LedgerCounters::mHeldBytes) == 0);
  // Free space is computed from the replicas' last acknowledgements, so the
  // count may differ by one order for each other primary, as above.
  const int again = FillUp(entries, 1000, last);
  CHECK(last == Verdict::kFull);
  CHECK(std::abs(again - taken) <= 3);
}

TEST_CASE("AFullLedgerStillFinishesAcceptedRequests")
{
  TestEntries entries(1, SmallOptions());
  const MemberId gateway = entries.mIds[0];
  const RequestKey key{ CustomerName("lefkada"), "first" };
  REQUIRE(entries.mCluster.Do(gateway, key, AcceptOrder(gateway)).mVerdict ==
          Verdict::kDone);
  Verdict last = Verdict::kDone;
  FillUp(entries, 0, last);
  CHECK(
    entries.mCluster.Do(gateway, key, FinishWith(OutcomeKind::kAnswered, "a"))
      .mVerdict == Verdict::kDone);
}

TEST_CASE("KeepsAnAnswerForItsRetentionOnly")
{
  TestEntries entries(1, SmallOptions());
  const MemberId gateway = entries.mIds[0];
  const RequestKey key{ CustomerName("lefkada"), "plan" };
  entries.mCluster.Do(gateway, key, AcceptOrder(gateway));
  entries.mCluster.Do(gateway, key, FinishWith(OutcomeKind::kAnswered, "plan"));
  entries.mCluster.Run(seconds(25));
  CHECK(entries.mCluster.Do(gateway, key, ReadOperation()).mVerdict ==
        Verdict::kDone);
  entries.mCluster.Run(seconds(10));
  CHECK(entries.mCluster.Do(gateway, key, ReadOperation()).mVerdict ==
        Verdict::kNoSuchRequest);
}

TEST_CASE("IgnoresMessagesThatNameNoShard")
{
  Ledger ledger(MemberId(1), {});
  membership::EpochMap map;
  map.mEpoch = EpochNumber(1);
  for (const std::uint64_t id : { 1, 2 }) {
    membership::Member member;
    member.mId = MemberId(id);
    member.mDomain = FailureDomain("domain-" + std::to_string(id));
    map.mMembers.push_back(member);
  }
  const TimePoint now(seconds(1));
  ledger.Step(EpochChangedEvent{ .mMap = map }, now);
  const ShardId none(kShardCount + 5);
  const std::vector<Message> messages{
    QueryMessage{ { { .mShard = none, .mInterval = EpochNumber(1) } } },
    AckMessage{ .mShard = none,
                .mInterval = EpochNumber(1),
                .mLast = SequenceNumber(1),
                .mHeldBytes = 0 },
    RefusedMessage{ { .mShard = none, .mInterval = EpochNumber(1) } }
  };
  for (const Message& message : messages) {
    CHECK(
      ledger
        .Step(MessageEvent{ .mFrom = MemberId(2), .mMessage = message }, now)
        .empty());
  }
}

} // namespace peridotspool::ledger
