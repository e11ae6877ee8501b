// ctest-labels: unit
#include "peridotspool/streams/OriginStore.h"

#include <catch2/catch.hpp>

namespace peridotspool::streams {

namespace {

constexpr TimePoint kNow{ std::chrono::seconds(100) };
constexpr std::uint32_t kLifetimeMs = 5000;

StreamKey
Key(std::uint64_t aNumber)
{
  return { .mHigh = 0, .mLow = aNumber };
}

OriginRecord
RecordOf(std::uint64_t aNumber,
         const std::string& aVersion,
         std::uint32_t aLifetimeMs = kLifetimeMs)
{
  return { .mKey = Key(aNumber),
           .mAnswer = { .mKnowledge = OriginKnowledge::kKnown,
                        .mOrigin = { .mService = ServiceName("s"),
                                     .mVersion = VersionName(aVersion),
                                     .mUpstream = UpstreamName("u") },
                        .mLifetimeMs = aLifetimeMs } };
}

} // namespace

TEST_CASE("AnOriginIsKnownUntilItsLifetimeEnds")
{
  OriginStore store;
  store.Add(RecordOf(1, "v1"), kNow);
  const auto last = kNow + std::chrono::milliseconds(kLifetimeMs - 1);
  CHECK(store.Find(Key(1), last).mOrigin.mVersion == VersionName("v1"));
  const auto after = kNow + std::chrono::milliseconds(kLifetimeMs);
  CHECK(store.Find(Key(1), after).mKnowledge == OriginKnowledge::kUnknown);
  store.RemoveExpired(after);
  CHECK(store.Size() == 0);
}

TEST_CASE("TheSameOriginAgainExtendsItsLifetime")
{
  OriginStore store;
  store.Add(RecordOf(1, "v1"), kNow);
  store.Add(RecordOf(1, "v1", 3 * kLifetimeMs), kNow);
  store.Add(RecordOf(1, "v1", 1), kNow);
  const auto later = kNow + std::chrono::milliseconds(2 * kLifetimeMs);
  store.RemoveExpired(later);
  CHECK(store.Find(Key(1), later).mKnowledge == OriginKnowledge::kKnown);
}

// Guards against a stream that is resumed at the version of another one that
// began under the same name.
TEST_CASE("TwoOriginsOfOneNameAreAmbiguousForGood")
{
  OriginStore store;
  store.Add(RecordOf(1, "v1"), kNow);
  store.Add(RecordOf(1, "v2"), kNow);
  store.Add(RecordOf(1, "v1"), kNow);
  const OriginAnswer answer = store.Find(Key(1), kNow);
  CHECK(answer.mKnowledge == OriginKnowledge::kAmbiguous);
  CHECK(answer.mOrigin == StreamOrigin{});

  OriginStore replica;
  replica.Add(RecordOf(1, "v1"), kNow);
  replica.Add({ .mKey = Key(1), .mAnswer = answer }, kNow);
  CHECK(replica.Find(Key(1), kNow).mKnowledge == OriginKnowledge::kAmbiguous);
}

TEST_CASE("AnAnswerWithoutAnOriginIsNotHeld")
{
  OriginStore store;
  store.Add({ .mKey = Key(1), .mAnswer = { .mLifetimeMs = kLifetimeMs } },
            kNow);
  CHECK(store.Size() == 0);
}

// Guards against memory that grows with streams that nobody resumes.
TEST_CASE("AFullStoreDropsWhatExpiresFirst")
{
  OriginStore store({ .mMaxRecords = 2 });
  store.Add(RecordOf(1, "v1", 3000), kNow);
  store.Add(RecordOf(2, "v1", 1000), kNow);
  store.Add(RecordOf(3, "v1", 2000), kNow);
  CHECK(store.Size() == 2);
  CHECK(store.Find(Key(2), kNow).mKnowledge == OriginKnowledge::kUnknown);
  CHECK(store.Find(Key(1), kNow).mKnowledge == OriginKnowledge::kKnown);
}

// Guards against a lifetime from another process that keeps records for ever.
TEST_CASE("ALifetimeIsBounded")
{
  OriginStore store;
  store.Add(RecordOf(1, "v1", 0xffffffff), kNow);
  store.RemoveExpired(kNow + std::chrono::hours(1));
  CHECK(store.Size() == 0);
}

TEST_CASE("AScanVisitsEachRecordOnce")
{
  OriginStore store;
  for (std::uint64_t number = 1; number <= 5; ++number) {
    store.Add(RecordOf(number, "v1"), kNow);
  }
  std::optional<StreamKey> last;
  std::size_t visited = 0;
  for (auto part = store.Scan(last, 2, kNow); !part.empty();
       part = store.Scan(last, 2, kNow)) {
    visited += part.size();
    last = part.back().mKey;
  }
  CHECK(visited == 5);
}

TEST_CASE("KeysOfOtherCustomersDiffer")
{
  const auto key = StreamKeyOf(CustomerName("a"), "bc");
  CHECK(key == StreamKeyOf(CustomerName("a"), "bc"));
  CHECK(key != StreamKeyOf(CustomerName("ab"), "c"));
  CHECK(key != StreamKeyOf(CustomerName("b"), "bc"));
}

} // namespace peridotspool::streams
