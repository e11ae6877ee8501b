#include "LedgerModel.h"

#include <benchmark/benchmark.h>

#include <malloc.h>

#include <algorithm>
#include <string>

namespace peridotspool::bench {

namespace {

using ledger::CommitRule;
using ledger::LedgerCounters;
using ledger::Verdict;
using std::chrono::milliseconds;

constexpr std::size_t kBodyBytes = 4000;
constexpr std::size_t kAnswerBytes = 2000;

double
Milliseconds(Duration aDuration)
{
  return static_cast<double>(aDuration.count()) / 1000.0;
}

double
Quantile(const std::vector<Duration>& aSorted, double aShare)
{
  if (aSorted.empty()) {
    return -1;
  }
  const auto index =
    static_cast<std::size_t>(aShare * static_cast<double>(aSorted.size() - 1));
  return Milliseconds(aSorted[index]);
}

membership::EpochMap
MapOf(std::uint64_t aMembers, std::uint64_t aDomains)
{
  membership::EpochMap map;
  map.mEpoch = EpochNumber(1);
  for (std::uint64_t i = 1; i <= aMembers; ++i) {
    membership::Member member;
    member.mId = MemberId(i);
    member.mDomain = FailureDomain("domain-" + std::to_string(i % aDomains));
    map.mMembers.push_back(member);
  }
  return map;
}

ledger::FinishOperation
BenchFinish()
{
  ledger::FinishOperation finish;
  finish.mExecutorTurn = AttemptNumber(1);
  finish.mOutcome.mKind = ledger::OutcomeKind::kAnswered;
  finish.mOutcome.mBody = std::string(kAnswerBytes, 'a');
  return finish;
}

ledger::IntendOperation
BenchIntend()
{
  return { .mExecutorTurn = AttemptNumber(1),
           .mIntent = { .mAttempt = AttemptNumber(1),
                        .mUpstream = UpstreamName("runner-17"),
                        .mIncarnation = Incarnation(1) } };
}

/**
 * Accept latency over the model; one row of docs/design/ledger.md.
 * Arguments: commit rule, microseconds between domains, 1 if a member dies and
 * leaves the list 1 s later.
 */
void
AcceptLatency(benchmark::State& aState)
{
  LedgerModelOptions options;
  options.mLedger.mCommitRule = aState.range(0) == 0
                                  ? CommitRule::kAllReplicas
                                  : CommitRule::kPrimaryPlusOne;
  options.mBetweenDomains = Duration(aState.range(1));
  for (auto _ : aState) {
    LedgerModel model(options);
    const MemberId victim(1);
    std::uint64_t number = 0;
    for (int step = 0; step < 4000; ++step) {
      if (aState.range(2) == 1 && step == 1000) {
        model.Kill(victim);
      }
      if (aState.range(2) == 1 && step == 2000) {
        model.Replace(victim);
      }
      const MemberId gateway(2 + number % 7);
      model.Propose(
        gateway, BenchKey(number++), BenchAccept(gateway, kBodyBytes));
      model.Run(milliseconds(1));
    }
    model.Run(std::chrono::seconds(12));
    const std::vector<Duration> done = model.Latencies(Verdict::kDone);
    aState.counters["accepts"] = static_cast<double>(number);
    aState.counters["done"] = static_cast<double>(done.size());
    aState.counters["p50_ms"] = Quantile(done, 0.50);
    aState.counters["p90_ms"] = Quantile(done, 0.90);
    aState.counters["p99_ms"] = Quantile(done, 0.99);
    aState.counters["max_ms"] = Quantile(done, 1.00);
    const auto late =
      std::count_if(done.begin(), done.end(), [](Duration aEach) {
        return aEach > milliseconds(20);
      });
    aState.counters["over_20ms"] = static_cast<double>(late);
  }
}
BENCHMARK(AcceptLatency)
  ->ArgNames({ "plus_one", "us", "lost" })
  ->ArgsProduct({ { 0, 1 }, { 500, 1500 }, { 0, 1 } })
  ->Iterations(1)
  ->Unit(benchmark::kMillisecond);

/** Messages and bytes of one request: accept, intend, finish, forget. */
void
RequestMessages(benchmark::State& aState)
{
  constexpr std::uint64_t kRequests = 500;
  LedgerModelOptions options;
  options.mMembers = static_cast<std::uint64_t>(aState.range(0));
  options.mDomains = 4;
  options.mCountBytes = true;
  for (auto _ : aState) {
    LedgerModel model(options);
    model.mMessages = 0;
    model.mBytes = 0;
    for (std::uint64_t i = 0; i < kRequests; ++i) {
      const MemberId gateway(1 + i % options.mMembers);
      const RequestKey key = BenchKey(i);
      const std::vector<ledger::Operation> operations{
        BenchAccept(gateway, kBodyBytes),
        BenchIntend(),
        BenchFinish(),
        ledger::ForgetOperation()
      };
      for (const ledger::Operation& operation : operations) {
        model.Propose(gateway, key, operation);
        model.Run(milliseconds(4));
      }
    }
    aState.counters["messages_per_request"] =
      static_cast<double>(model.mMessages) / kRequests;
    aState.counters["bytes_per_request"] =
      static_cast<double>(model.mBytes) / kRequests;
  }
}
BENCHMARK(RequestMessages)
  ->ArgNames({ "members" })
  ->Arg(4)
  ->Arg(11)
  ->Arg(40)
  ->Iterations(1)
  ->Unit(benchmark::kMillisecond);

/**
 * What filling costs when an entry is lost under load and replaced at once:
 * the survivors' copies differ by what was under way. Logs of three
 * lengths; a new member's empty copy is always filled whole.
 */
void
RecoveryAfterLoss(benchmark::State& aState)
{
  LedgerModelOptions options;
  options.mCountBytes = true;
  options.mLedger.mLogEntries = static_cast<std::uint32_t>(aState.range(0));
  options.mJitter = std::chrono::microseconds(300);
  const auto records = static_cast<std::uint64_t>(aState.range(1));
  for (auto _ : aState) {
    LedgerModel model(options);
    std::uint64_t number = 0;
    const auto accept = [&] {
      const MemberId gateway(2 + number % 7);
      model.Propose(
        gateway, BenchKey(number++), BenchAccept(gateway, kBodyBytes));
    };
    while (number < records) {
      accept();
      if (number % 8 == 0) {
        model.Run(milliseconds(1));
      }
    }
    // 4,000 accepts a second, so that some are under way at any moment.
    for (int i = 0; i < 400; ++i) {
      accept();
      model.Run(std::chrono::microseconds(250));
    }
    model.Kill(MemberId(1));
    model.mFillBytes = 0;
    model.mFillRecords = 0;
    const std::uint64_t messages = model.mMessages;
    model.Replace(MemberId(1));
    aState.counters["settle_ms"] = Milliseconds(model.Settle());
    aState.counters["messages"] =
      static_cast<double>(model.mMessages - messages);
    aState.counters["fill_bytes"] = static_cast<double>(model.mFillBytes);
    aState.counters["fill_records"] = static_cast<double>(model.mFillRecords);
    aState.counters["delta_fills"] =
      static_cast<double>(model.Sum(&LedgerCounters::mDeltaFills));
    aState.counters["whole_fills"] =
      static_cast<double>(model.Sum(&LedgerCounters::mFullFills));
  }
}
BENCHMARK(RecoveryAfterLoss)
  ->ArgNames({ "log", "records" })
  ->ArgsProduct({ { 0, 64, 512 }, { 1000, 4000 } })
  ->Iterations(1)
  ->Unit(benchmark::kMillisecond);

/** What one member's replacement costs all entries together. */
void
EpochChange(benchmark::State& aState)
{
  LedgerModelOptions options;
  options.mMembers = static_cast<std::uint64_t>(aState.range(0));
  options.mDomains = options.mMembers > 100 ? 10 : 4;
  options.mCountBytes = true;
  LedgerModel model(options);
  std::uint64_t next = 1;
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
  Duration settled{ 0 };
  for (auto _ : aState) {
    const std::uint64_t messagesBefore = model.mMessages;
    const std::uint64_t bytesBefore = model.mBytes;
    const MemberId leaving(next++);
    model.Kill(leaving);
    model.Replace(leaving);
    settled += model.Settle();
    messages += model.mMessages - messagesBefore;
    bytes += model.mBytes - bytesBefore;
  }
  const auto changes = static_cast<double>(next - 1);
  aState.counters["messages_per_change"] =
    static_cast<double>(messages) / changes;
  aState.counters["bytes_per_change"] = static_cast<double>(bytes) / changes;
  aState.counters["settle_ms"] = Milliseconds(settled) / changes;
}
BENCHMARK(EpochChange)
  ->ArgNames({ "members" })
  ->Arg(11)
  ->Arg(100)
  ->Arg(380)
  ->Iterations(5)
  ->Unit(benchmark::kMillisecond);

/** The step that one entry makes for a new member list, all shards settled. */
void
EpochStep(benchmark::State& aState)
{
  const auto members = static_cast<std::uint64_t>(aState.range(0));
  ledger::Ledger self(MemberId(1), {});
  membership::EpochMap map = MapOf(members, members > 100 ? 10 : 4);
  const TimePoint now(std::chrono::hours(1));
  self.Step(ledger::EpochChangedEvent{ .mMap = map }, now);
  for (auto _ : aState) {
    map.mEpoch = map.mEpoch.Next();
    benchmark::DoNotOptimize(
      self.Step(ledger::EpochChangedEvent{ .mMap = map }, now));
  }
}
BENCHMARK(EpochStep)
  ->ArgNames({ "members" })
  ->Arg(11)
  ->Arg(100)
  ->Arg(380)
  ->Unit(benchmark::kMicrosecond);

void
PlacementOfAllShards(benchmark::State& aState)
{
  const auto members = static_cast<std::uint64_t>(aState.range(0));
  const membership::EpochMap map = MapOf(members, members > 100 ? 10 : 4);
  for (auto _ : aState) {
    benchmark::DoNotOptimize(ledger::Placement(map, 3));
  }
}
BENCHMARK(PlacementOfAllShards)
  ->ArgNames({ "members" })
  ->Arg(11)
  ->Arg(100)
  ->Arg(380)
  ->Unit(benchmark::kMicrosecond);

void
IdleTick(benchmark::State& aState)
{
  ledger::Ledger self(MemberId(1), {});
  const TimePoint now(std::chrono::hours(1));
  self.Step(ledger::EpochChangedEvent{ .mMap = MapOf(1, 1) }, now);
  for (auto _ : aState) {
    benchmark::DoNotOptimize(self.Step(ledger::TickEvent(), now));
  }
}
BENCHMARK(IdleTick);

/** Feeds a ledger the operations of ever new requests and drops the effects. */
class RequestFeed
{
public:
  explicit RequestFeed(std::uint64_t aMembers)
    : mSelf(MemberId(1), Options())
    , mMap(MapOf(aMembers, aMembers))
  {
    Step(ledger::EpochChangedEvent{ .mMap = mMap });
    Serve();
  }

  /** Accept, intend and finish of one request, with the replicas' acks. */
  void Request(std::uint64_t aNumber)
  {
    const RequestKey key = KeyHere(aNumber);
    Operate(key, BenchAccept(MemberId(2), kBodyBytes));
    Operate(key, BenchIntend());
    Operate(key, BenchFinish());
    mNow += milliseconds(2);
    if (aNumber % 8 == 0) {
      Step(ledger::TickEvent());
    }
  }

  std::uint64_t Records() const { return mSelf.Counters().mHeldRecords; }
  std::uint64_t Bytes() const { return mSelf.Counters().mHeldBytes; }

  static ledger::LedgerOptions Options()
  {
    ledger::LedgerOptions options;
    options.mRetention = std::chrono::seconds(4);
    return options;
  }

private:
  /** Returns a key whose shard has member 1 as primary. */
  RequestKey KeyHere(std::uint64_t aNumber)
  {
    RequestKey key = BenchKey(aNumber);
    while (mPlacement.PrimaryOf(ShardOf(key)) != MemberId(1)) {
      key.mKey += 'x';
    }
    return key;
  }

  void Operate(const RequestKey& aKey, const ledger::Operation& aOperation)
  {
    Step(ledger::MessageEvent{
      .mFrom = MemberId(2),
      .mMessage = ledger::ProposeMessage{ .mEpoch = mMap.mEpoch,
                                          .mCall = CallId(++mCall),
                                          .mKey = aKey,
                                          .mOperation = aOperation } });
  }

  /** Answers what the others would: empty reports, activations, acks. */
  void Step(const ledger::Event& aEvent)
  {
    for (const ledger::Effect& effect : mSelf.Step(aEvent, mNow)) {
      if (const auto* send = std::get_if<ledger::SendEffect>(&effect)) {
        React(*send);
      }
    }
  }

  void React(const ledger::SendEffect& aSend)
  {
    const auto reply = [&](ledger::Message aMessage) {
      Step(ledger::MessageEvent{ .mFrom = aSend.mTo,
                                 .mMessage = std::move(aMessage) });
    };
    if (const auto* replicate =
          std::get_if<ledger::ReplicateMessage>(&aSend.mMessage)) {
      reply(ledger::AckMessage{ .mShard = replicate->mShard,
                                .mInterval = replicate->mInterval,
                                .mLast = replicate->mSequence,
                                .mHeldBytes = 0 });
    } else if (const auto* query =
                 std::get_if<ledger::QueryMessage>(&aSend.mMessage)) {
      ledger::ReportMessage report{ .mEpoch = mMap.mEpoch, .mReports = {} };
      for (const ledger::ShardInterval& item : query->mShards) {
        ledger::ShardReport empty;
        empty.mShard = item.mShard;
        report.mReports.push_back(empty);
      }
      reply(std::move(report));
    } else if (const auto* activate =
                 std::get_if<ledger::ActivateMessage>(&aSend.mMessage)) {
      ledger::ActivatedMessage activated;
      for (const ledger::ShardActivation& item : activate->mShards) {
        activated.mShards.push_back(
          { .mShard = item.mShard, .mInterval = item.mInterval });
      }
      reply(std::move(activated));
    }
  }

  void Serve() { mPlacement = ledger::Placement(mMap, 3); }

  ledger::Ledger mSelf;
  membership::EpochMap mMap;
  ledger::Placement mPlacement;
  TimePoint mNow{ std::chrono::hours(1) };
  std::uint64_t mCall = 0;
};

/** Processor time of one request (three operations) at its primary. */
void
RequestAtPrimary(benchmark::State& aState)
{
  RequestFeed feed(static_cast<std::uint64_t>(aState.range(0)));
  std::uint64_t number = 0;
  for (auto _ : aState) {
    feed.Request(number++);
  }
  aState.counters["records"] = static_cast<double>(feed.Records());
}
BENCHMARK(RequestAtPrimary)
  ->ArgNames({ "replicas" })
  ->Arg(2)
  ->Arg(3)
  ->Unit(benchmark::kMicrosecond);

/** Processor time of one request (three operations) at a replica. */
void
RequestAtReplica(benchmark::State& aState)
{
  ledger::Ledger self(MemberId(2), {});
  const membership::EpochMap map = MapOf(3, 3);
  const ledger::Placement placement(map, 3);
  TimePoint now(std::chrono::hours(1));
  std::uint64_t shard = 0;
  while (placement.PrimaryOf(ShardId(shard)) != MemberId(1)) {
    ++shard;
  }
  const EpochNumber epoch(1);
  const auto step = [&](ledger::Message aMessage) {
    benchmark::DoNotOptimize(
      self.Step(ledger::MessageEvent{ .mFrom = MemberId(1),
                                      .mMessage = std::move(aMessage) },
                now));
  };
  self.Step(ledger::EpochChangedEvent{ .mMap = map }, now);
  step(ledger::ActivateMessage{ { { .mShard = ShardId(shard),
                                    .mInterval = epoch,
                                    .mTarget = {},
                                    .mLossRemaining = Duration(0) } } });
  std::uint64_t sequence = 0;
  std::uint64_t number = 0;
  const auto replicate = [&](const RequestKey& aKey,
                             const ledger::Operation& aOperation) {
    step(ledger::ReplicateMessage{ .mShard = ShardId(shard),
                                   .mInterval = epoch,
                                   .mSequence = SequenceNumber(++sequence),
                                   .mKey = aKey,
                                   .mOperation = aOperation,
                                   .mOrigin = {} });
  };
  constexpr std::uint64_t kKept = 2000;
  for (auto _ : aState) {
    const RequestKey key = BenchKey(number++);
    replicate(key, BenchAccept(MemberId(3), kBodyBytes));
    replicate(key, BenchIntend());
    replicate(key, BenchFinish());
    if (number > kKept) {
      replicate(BenchKey(number - kKept - 1),
                ledger::ForgetOperation{ .mExpired = true });
    }
  }
  aState.counters["records"] =
    static_cast<double>(self.Counters().mHeldRecords);
}
BENCHMARK(RequestAtReplica)->Unit(benchmark::kMicrosecond);

/** Heap bytes that one finished record takes, against what is accounted. */
void
BytesPerRecord(benchmark::State& aState)
{
  constexpr std::uint64_t kRecords = 20000;
  for (auto _ : aState) {
    LedgerModelOptions options;
    options.mMembers = 1;
    options.mDomains = 1;
    options.mLedger.mMaxBytes = 1ULL << 40;
    LedgerModel model(options);
    const auto body = static_cast<std::size_t>(aState.range(0));
    const std::size_t before = mallinfo2().uordblks;
    for (std::uint64_t i = 0; i < kRecords; ++i) {
      model.Propose(MemberId(1), BenchKey(i), BenchAccept(MemberId(1), body));
      ledger::FinishOperation finish = BenchFinish();
      finish.mOutcome.mBody.resize(body / 2);
      model.Propose(MemberId(1), BenchKey(i), finish);
    }
    const std::size_t after = mallinfo2().uordblks;
    // The model keeps a call for each operation; it is not the ledger's.
    constexpr double kModelBytes = 2.0 * (48 + 16);
    aState.counters["heap_per_record"] =
      static_cast<double>(after - before) / kRecords - kModelBytes;
    aState.counters["accounted_per_record"] =
      static_cast<double>(model.Sum(&LedgerCounters::mHeldBytes)) / kRecords;
  }
}
BENCHMARK(BytesPerRecord)
  ->ArgNames({ "body" })
  ->Arg(0)
  ->Arg(1000)
  ->Arg(4000)
  ->Iterations(1)
  ->Unit(benchmark::kMillisecond);

} // namespace

} // namespace peridotspool::bench
