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
/** Command kinds below this value are operations; the others are faults. */
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

/** The combined content of all answers about one request. */
struct Witness
{
  /**
   * The granted intents, each with the executor turn in which it was granted.
   */
  std::map<DispatchIntent, AttemptNumber> mGivenIntents;
  std::set<AttemptNumber> mVoided;
  /** The outcome reported for each executor turn. */
  std::map<AttemptNumber, OutcomeKind> mOutcomes;
  bool mAccepted = false;
};

/** An operation that was proposed while others were in progress. */
struct ProposedCall
{
  CallId mCall;
  MemberId mProposer;
  RequestKey mKey;
  Operation mOperation;
};

void
AddAnswer(Witness& aWitness,
          const ProposedCall& aCall,
          const OperationAnswer& aAnswer)
{
  RC_ASSERT(aAnswer.mVerdict != Verdict::kLost);
  const auto* intend = std::get_if<IntendOperation>(&aCall.mOperation);
  if (aAnswer.mVerdict == Verdict::kDone && intend != nullptr) {
    aWitness.mGivenIntents.emplace(intend->mIntent, intend->mExecutorTurn);
  }
  aWitness.mAccepted |= aAnswer.mRecord.has_value();
  if (aAnswer.mRecord && aAnswer.mRecord->mOutcome) {
    const OutcomeKind kind = aAnswer.mRecord->mOutcome->mKind;
    const auto reported =
      aWitness.mOutcomes.emplace(aAnswer.mRecord->mExecutorTurn, kind);
    RC_ASSERT(reported.first->second == kind);
  }
}

std::map<RequestKey, Witness>
WitnessesOf(const TestCluster& aCluster,
            const std::vector<ProposedCall>& aCalls)
{
  std::map<RequestKey, Witness> witnesses;
  for (const ProposedCall& call : aCalls) {
    const OperationAnswer* answer = aCluster.AnswerTo(call.mCall);
    RC_ASSERT(answer != nullptr || !aCluster.IsAlive(call.mProposer));
    Witness& witness = witnesses[call.mKey];
    const auto* unsent = std::get_if<VoidIntentOperation>(&call.mOperation);
    if (unsent != nullptr) {
      witness.mVoided.insert(unsent->mAttempt);
    }
    if (answer != nullptr) {
      AddAnswer(witness, call, *answer);
    }
  }
  return witnesses;
}

/** Checks the answers about a request against the final state of its record. */
void
CheckPromises(const Witness& aWitness, const OperationAnswer& aRead)
{
  if (aWitness.mAccepted) {
    RC_ASSERT(aRead.mVerdict == Verdict::kDone);
  }
  if (!aRead.mRecord) {
    RC_ASSERT(aWitness.mOutcomes.empty());
    return;
  }
  const RequestRecord& record = *aRead.mRecord;
  for (const auto& [turn, kind] : aWitness.mOutcomes) {
    // A reported outcome is permanent. Only a refusal, after which the request
    // certainly did not run, may be followed by a later turn.
    if (turn < record.mExecutorTurn) {
      RC_ASSERT(kind == OutcomeKind::kRefused);
      continue;
    }
    RC_ASSERT(turn == record.mExecutorTurn);
    RC_ASSERT(record.mOutcome.has_value());
    RC_ASSERT(record.mOutcome->mKind == kind);
  }
  int standing = 0;
  for (const auto& [intent, turn] : aWitness.mGivenIntents) {
    if (aWitness.mVoided.contains(intent.mAttempt)) {
      continue;
    }
    ++standing;
    // If the turn was reported as "did not run", no intent of it may stand.
    const auto reported = aWitness.mOutcomes.find(turn);
    RC_ASSERT(reported == aWitness.mOutcomes.end() ||
              reported->second != OutcomeKind::kRefused);
  }
  RC_ASSERT(record.mTerms.mIdempotent || standing <= 1);
  const bool refused =
    record.mOutcome && record.mOutcome->mKind == OutcomeKind::kRefused;
  RC_ASSERT(!refused || standing == 0);
}

} // namespace

/** Prints a command of a failing schedule. Called by rapidcheck. */
void
showValue(const ChaosCommand& aCommand, std::ostream& aStream)
{
  aStream << '{' << aCommand.mKind << ',' << aCommand.mFirst << ','
          << aCommand.mSecond << '}';
}

/**
 * Runs one schedule, one operation at a time, and compares the answers with
 * those of the naive map.
 */
void
CompareWithNaive(std::uint64_t aSeed,
                 const std::vector<ChaosCommand>& aSchedule,
                 CommitRule aRule)
{
  LedgerOptions options = ChaosDriver::Options();
  options.mCallTimeout = seconds(3600);
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
  // Guards against any answer that a single map without faults would not give.
  // Runs operations one at a time, each until it is answered, between losses,
  // freezes, network cuts, epoch changes, and lost and duplicated messages.
  rc::prop("AnswersLikeOneMapThatNeverFails", [] {
    const std::uint64_t seed = *rc::gen::inRange<std::uint64_t>(0, 1U << 30);
    CompareWithNaive(seed, GenerateSchedule(), CommitRule::kAllReplicas);
  });
}

TEST_CASE("AnswersLikeOneMapWithPrimaryPlusOneAndSingleLosses")
{
  // As above, but at most one entry is lost permanently between two
  // settlements.
  rc::prop("AnswersLikeOneMapWithPrimaryPlusOne", [] {
    const std::uint64_t seed = *rc::gen::inRange<std::uint64_t>(0, 1U << 30);
    CompareWithNaive(seed, GenerateSchedule(), CommitRule::kPrimaryPlusOne);
  });
}

TEST_CASE("KeepsEachPromiseUnderConcurrentOperationsAndFaults")
{
  // Guards against an accepted request that is lost, is sent twice or gets two
  // different outcomes. Runs concurrent operations of all entries between
  // losses, freezes, network cuts, epoch changes, and lost and duplicated
  // messages.
  rc::prop("KeepsEachPromise", [] {
    const std::uint64_t seed = *rc::gen::inRange<std::uint64_t>(0, 1U << 30);
    const std::vector<ChaosCommand> schedule = GenerateSchedule();
    ChaosDriver driver(seed);
    TestCluster& cluster = driver.Cluster();
    std::vector<ProposedCall> calls;
    for (const ChaosCommand& command : schedule) {
      if (command.mKind >= kFirstFault) {
        driver.Fault(command);
        continue;
      }
      const RequestKey key = KeyOf(command.mFirst);
      const MemberId gateway = driver.Gateway(command.mSecond);
      const Operation operation = OperationOf(command, gateway);
      const CallId call = cluster.Propose(gateway, key, operation);
      calls.push_back({ call, gateway, key, operation });
      cluster.Run(std::chrono::milliseconds(command.mSecond % 4));
    }
    driver.Settle();
    cluster.Run(seconds(15));
    for (const auto& [key, witness] : WitnessesOf(cluster, calls)) {
      CheckPromises(witness,
                    cluster.Do(driver.Gateway(0), key, ReadOperation()));
    }
    RC_ASSERT(cluster.AnsweredTwice().empty());
  });
}

} // namespace peridotspool::ledger
