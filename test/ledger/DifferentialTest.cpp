// ctest-labels: promise-survives-reclaim promise-at-most-once
// promise-refusal-did-not-run promise-whole-own-answer
#include "ledger/ChaosDriver.h"
#include "ledger/NaiveLedger.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <algorithm>

namespace peridotspool::ledger {

namespace {

using std::chrono::seconds;

constexpr std::uint32_t kKeys = 5;
/** Kinds of commands from here on are faults, those before operations. */
constexpr std::uint32_t kFirstFault = 54;

RequestKey
KeyOf(std::uint32_t aChoice)
{
  return { CustomerName("lefkada"), "plan-" + std::to_string(aChoice % kKeys) };
}

OutcomeKind
KindOf(std::uint32_t aChoice)
{
  constexpr OutcomeKind kKinds[] = { OutcomeKind::kAnswered,
                                     OutcomeKind::kRefused,
                                     OutcomeKind::kUnknown };
  return kKinds[aChoice % 3];
}

Operation
OperationOf(const ChaosCommand& aCommand, MemberId aGateway)
{
  const AttemptNumber turn(1 + aCommand.mSecond % 3);
  const AttemptNumber attempt(1 + aCommand.mSecond / 3 % 4);
  switch (aCommand.mKind % 9) {
    case 0:
    case 1: {
      AcceptOperation accept = AcceptOrder(aGateway);
      accept.mTerms.mIdempotent = aCommand.mFirst % kKeys == 0;
      accept.mTerms.mBody += std::string(200, 'x');
      return accept;
    }
    case 2:
    case 3:
      return IntendTo("upstream-" + std::to_string(aCommand.mFirst % 3),
                      attempt.Value(),
                      turn.Value());
    case 4:
      return VoidIntentOperation{ .mExecutorTurn = turn, .mAttempt = attempt };
    case 5:
      return FinishWith(KindOf(aCommand.mFirst),
                        "answer-" + std::to_string(aCommand.mSecond),
                        turn.Value());
    case 6:
      return TakeOverOperation{ .mExecutorTurn = turn, .mExecutor = aGateway };
    case 7:
      return aCommand.mSecond % 2 == 0 ? Operation(CancelOperation())
                                       : Operation(ForgetOperation());
    default:
      return ReadOperation();
  }
}

std::vector<ChaosCommand>
GenerateSchedule()
{
  const auto command = rc::gen::build<ChaosCommand>(
    rc::gen::set(&ChaosCommand::mKind, rc::gen::inRange<std::uint32_t>(0, 108)),
    rc::gen::set(&ChaosCommand::mFirst,
                 rc::gen::inRange<std::uint32_t>(0, 840)),
    rc::gen::set(&ChaosCommand::mSecond,
                 rc::gen::inRange<std::uint32_t>(0, 840)));
  return *rc::gen::container<std::vector<ChaosCommand>>(
    60, rc::gen::resize(rc::kNominalSize, command));
}

/** What the answers to one request say together. */
struct Witness
{
  std::set<DispatchIntent> mGivenIntents;
  std::set<AttemptNumber> mVoided;
  std::optional<Outcome> mOutcome;
  bool mAccepted = false;
  bool mForgotten = false;
};

} // namespace

/** Found by rapidcheck: prints a failing schedule. */
void
showValue(const ChaosCommand& aCommand, std::ostream& aStream)
{
  aStream << '{' << aCommand.mKind << ',' << aCommand.mFirst << ','
          << aCommand.mSecond << '}';
}

/** Runs one schedule operation by operation beside the naive map. */
void
CompareWithNaive(std::uint64_t aSeed,
                 const std::vector<ChaosCommand>& aSchedule,
                 CommitRule aRule)
{
  LedgerOptions options = ChaosDriver::Options();
  options.mGiveUpAfter = seconds(3600);
  options.mCommitRule = aRule;
  ChaosDriver driver(aSeed, options);
  NaiveLedger naive;
  for (const ChaosCommand& command : aSchedule) {
    if (command.mKind >= kFirstFault) {
      driver.Fault(command);
      continue;
    }
    const RequestKey key = KeyOf(command.mFirst);
    const MemberId gateway = driver.Gateway(command.mSecond);
    const Operation operation = OperationOf(command, gateway);
    const CallId call = driver.Cluster().Propose(gateway, key, operation);
    driver.Cluster().Run(std::chrono::milliseconds(command.mSecond % 60));
    if (driver.Cluster().AnswerTo(call) == nullptr) {
      driver.Settle();
      driver.Cluster().Run(seconds(1));
    }
    const OperationAnswer* answer = driver.Cluster().AnswerTo(call);
    RC_ASSERT(answer != nullptr);
    RC_ASSERT(answer->mVerdict == naive.Do(key, operation));
    const bool hasRecord = naive.Find(key) != nullptr;
    RC_ASSERT(answer->mRecord.has_value() == hasRecord);
    if (std::holds_alternative<ReadOperation>(operation) && hasRecord) {
      RC_ASSERT(*answer->mRecord == *naive.Find(key));
    }
  }
  RC_ASSERT(driver.Cluster().AnsweredTwice().empty());
}

TEST_CASE("AnswersLikeOneMapThatNeverFails")
{
  // Symptom: any answer that a single map without faults would not give.
  // Sequence: operations one after the other, each until it is answered,
  // between losses, freezes, cuts, epochs, lost and doubled messages.
  rc::prop("AnswersLikeOneMapThatNeverFails", [] {
    const std::uint64_t seed = *rc::gen::inRange<std::uint64_t>(0, 1U << 30);
    CompareWithNaive(seed, GenerateSchedule(), CommitRule::kAllReplicas);
  });
}

TEST_CASE("AnswersLikeOneMapWithPrimaryPlusOneAndSingleLosses")
{
  // As above; between two settlements one entry at most is lost for good.
  rc::prop("AnswersLikeOneMapWithPrimaryPlusOne", [] {
    const std::uint64_t seed = *rc::gen::inRange<std::uint64_t>(0, 1U << 30);
    CompareWithNaive(seed, GenerateSchedule(), CommitRule::kPrimaryPlusOne);
  });
}

TEST_CASE("KeepsEachPromiseUnderConcurrentOperationsAndFaults")
{
  // Symptom: an accepted request is gone, is sent twice, or ends in two ways.
  // Sequence: operations of all entries at once, between losses, freezes,
  // cuts, epochs, lost and doubled messages.
  rc::prop("KeepsEachPromise", [] {
    const std::uint64_t seed = *rc::gen::inRange<std::uint64_t>(0, 1U << 30);
    const std::vector<ChaosCommand> schedule = GenerateSchedule();
    ChaosDriver driver(seed);
    TestCluster& cluster = driver.Cluster();
    std::map<CallId, std::pair<RequestKey, Operation>> calls;
    std::map<CallId, MemberId> askers;
    for (const ChaosCommand& command : schedule) {
      if (command.mKind >= kFirstFault) {
        driver.Fault(command);
        continue;
      }
      const RequestKey key = KeyOf(command.mFirst);
      const MemberId gateway = driver.Gateway(command.mSecond);
      const Operation operation = OperationOf(command, gateway);
      const CallId call = cluster.Propose(gateway, key, operation);
      calls.emplace(call, std::pair{ key, operation });
      askers.emplace(call, gateway);
      cluster.Run(std::chrono::milliseconds(command.mSecond % 4));
    }
    driver.Settle();
    cluster.Run(seconds(15));
    std::map<RequestKey, Witness> witnesses;
    for (const auto& [call, asked] : calls) {
      const OperationAnswer* answer = cluster.AnswerTo(call);
      RC_ASSERT(answer != nullptr || !cluster.IsAlive(askers.at(call)));
      Witness& witness = witnesses[asked.first];
      if (const auto* unsent =
            std::get_if<VoidIntentOperation>(&asked.second)) {
        witness.mVoided.insert(unsent->mAttempt);
      }
      witness.mForgotten |=
        std::holds_alternative<ForgetOperation>(asked.second);
      if (answer == nullptr) {
        continue;
      }
      RC_ASSERT(answer->mVerdict != Verdict::kLost);
      const bool done = answer->mVerdict == Verdict::kDone;
      const auto* intend = std::get_if<IntendOperation>(&asked.second);
      if (done && intend != nullptr) {
        witness.mGivenIntents.insert(intend->mIntent);
      }
      witness.mAccepted |= answer->mRecord.has_value();
      if (answer->mRecord && answer->mRecord->mOutcome) {
        const OutcomeKind kind = answer->mRecord->mOutcome->mKind;
        RC_ASSERT(!witness.mOutcome || witness.mOutcome->mKind == kind);
        witness.mOutcome = answer->mRecord->mOutcome;
      }
    }
    for (const auto& [key, witness] : witnesses) {
      const auto read = cluster.Do(driver.Gateway(0), key, ReadOperation());
      if (witness.mAccepted) {
        RC_ASSERT(read.mVerdict == Verdict::kDone);
      }
      if (witness.mOutcome) {
        RC_ASSERT(read.mRecord->mOutcome.has_value());
        RC_ASSERT(read.mRecord->mOutcome->mKind == witness.mOutcome->mKind);
      }
      const auto standing =
        std::count_if(witness.mGivenIntents.begin(),
                      witness.mGivenIntents.end(),
                      [&](const DispatchIntent& aIntent) {
                        return !witness.mVoided.contains(aIntent.mAttempt);
                      });
      if (read.mRecord && !read.mRecord->mTerms.mIdempotent) {
        RC_ASSERT(standing <= 1);
      }
      const bool refused =
        read.mRecord && read.mRecord->mOutcome &&
        read.mRecord->mOutcome->mKind == OutcomeKind::kRefused;
      RC_ASSERT(!refused || standing == 0);
    }
    RC_ASSERT(cluster.AnsweredTwice().empty());
  });
}

} // namespace peridotspool::ledger
