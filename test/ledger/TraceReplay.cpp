#include "ledger/TraceReplay.h"

#include <boost/describe/enum_from_string.hpp>
#include <boost/describe/enum_to_string.hpp>

#include <stdexcept>

namespace peridotspool::ledger {

namespace {

std::string
NameOf(Verdict aVerdict)
{
  return boost::describe::enum_to_string(aVerdict, "?");
}

OutcomeKind
OutcomeKindOf(const std::string& aName)
{
  OutcomeKind kind = OutcomeKind::kUnknown;
  if (!boost::describe::enum_from_string(aName.c_str(), kind)) {
    throw std::runtime_error("no such outcome: " + aName);
  }
  return kind;
}

} // namespace

TraceReplay::TraceReplay(const YAML::Node& aTrace)
  : mTrace(aTrace)
  , mEntries(aTrace["entries-per-domain"].as<int>())
  , mShard(aTrace["shard"].as<std::uint64_t>())
{
  const auto& set = mEntries.mCluster.Places().ReplicasOf(mShard);
  mRoles["primary"] = set.at(0);
  mRoles["second"] = set.at(1);
  mRoles["third"] = set.at(2);
  mRoles["outsider"] = mEntries.Other(set);
}

std::vector<std::string>
TraceReplay::Run()
{
  for (const YAML::Node& step : mTrace["steps"]) {
    ++mStep;
    Do(step);
  }
  return mDifferences;
}

void
TraceReplay::Do(const YAML::Node& aStep)
{
  static const std::map<std::string, StepFunction> kSteps{
    { "accept", &TraceReplay::DoOperation },
    { "intend", &TraceReplay::DoOperation },
    { "finish", &TraceReplay::DoOperation },
    { "take-over", &TraceReplay::DoOperation },
    { "kill", &TraceReplay::DoKill },
    { "drain", &TraceReplay::DoDrain },
    { "remove", &TraceReplay::DoRemove },
    { "replace", &TraceReplay::DoReplace },
    { "wake", &TraceReplay::DoWake },
    { "cut", &TraceReplay::DoCut },
    { "mend", &TraceReplay::DoMend },
    { "join", &TraceReplay::DoJoin },
    { "settle", &TraceReplay::DoSettle },
    { "run", &TraceReplay::DoRun },
    { "accept-many", &TraceReplay::DoAcceptMany },
    { "read-many", &TraceReplay::DoReadMany },
    { "held", &TraceReplay::DoHeld },
    { "losses", &TraceReplay::DoLosses },
    { "answer", &TraceReplay::DoAnswer },
    { "tally", &TraceReplay::DoTally },
  };
  const auto found = kSteps.find(aStep["do"].as<std::string>());
  if (found == kSteps.end()) {
    throw std::runtime_error("unknown step " + std::to_string(mStep));
  }
  (this->*found->second)(aStep);
}

Operation
TraceReplay::OperationOf(const YAML::Node& aStep, MemberId aGateway) const
{
  const auto kind = aStep["do"].as<std::string>();
  const auto turn = aStep["turn"].as<std::uint64_t>(1);
  if (kind == "accept") {
    return AcceptOrder(aGateway);
  }
  if (kind == "intend") {
    return IntendTo(aStep["upstream"].as<std::string>(),
                    aStep["attempt"].as<std::uint64_t>(),
                    turn);
  }
  if (kind == "finish") {
    return FinishWith(
      OutcomeKindOf(aStep["outcome"].as<std::string>()), "", turn);
  }
  return TakeOverOperation{ .mExecutorTurn = AttemptNumber(turn),
                            .mExecutor = aGateway };
}

// With `expect`, waits for the answer. With `call`, the answer is checked
// later. With `frozen`, the entry is suspended as soon as it has proposed the
// operation.
void
TraceReplay::DoOperation(const YAML::Node& aStep)
{
  const MemberId gateway = mRoles.at(aStep["at"].as<std::string>());
  const RequestKey key = KeyIn(mShard);
  const Operation operation = OperationOf(aStep, gateway);
  TestCluster& cluster = mEntries.mCluster;
  if (aStep["call"]) {
    mCalls[aStep["call"].as<std::string>()] =
      cluster.Propose(gateway, key, operation);
    if (aStep["frozen"].as<bool>(false)) {
      cluster.Freeze(gateway);
    }
    return;
  }
  Expect(aStep["expect"].as<std::string>(),
         NameOf(cluster.Do(gateway, key, operation).mVerdict));
}

void
TraceReplay::DoKill(const YAML::Node& aStep)
{
  for (const MemberId member : Who(aStep["who"])) {
    mEntries.mCluster.Kill(member);
  }
}

void
TraceReplay::DoDrain(const YAML::Node& aStep)
{
  for (const MemberId member : Who(aStep["who"])) {
    mEntries.mCluster.Drain(member);
  }
  mEntries.mCluster.Publish();
}

void
TraceReplay::DoRemove(const YAML::Node& aStep)
{
  for (const MemberId member : Who(aStep["who"])) {
    mEntries.mCluster.Remove(member);
  }
  mEntries.mCluster.Publish();
}

void
TraceReplay::DoReplace(const YAML::Node& aStep)
{
  mEntries.Replace(Who(aStep["who"]));
}

void
TraceReplay::DoWake(const YAML::Node& aStep)
{
  for (const MemberId member : Who(aStep["who"])) {
    mEntries.mCluster.Wake(member);
  }
}

void
TraceReplay::DoCut(const YAML::Node& aStep)
{
  for (const MemberId member : Who(aStep["who"])) {
    mEntries.mCluster.Cut(member);
  }
}

void
TraceReplay::DoMend(const YAML::Node& aStep)
{
  for (const MemberId member : Who(aStep["who"])) {
    mEntries.mCluster.Mend(member);
  }
}

void
TraceReplay::DoJoin(const YAML::Node& aStep)
{
  mEntries.mIds.push_back(
    mEntries.mCluster.Join(aStep["domain"].as<std::string>()));
  mEntries.mCluster.Publish();
}

void
TraceReplay::DoSettle(const YAML::Node& /*aStep*/)
{
  mEntries.Settle();
}

void
TraceReplay::DoRun(const YAML::Node& aStep)
{
  mEntries.mCluster.Run(
    std::chrono::milliseconds(aStep["ms"].as<std::int64_t>(0)) +
    Duration(aStep["us"].as<std::int64_t>(0)));
}

void
TraceReplay::DoAcceptMany(const YAML::Node& aStep)
{
  mKeys = mEntries.AcceptMany(aStep["count"].as<int>());
}

void
TraceReplay::DoReadMany(const YAML::Node& aStep)
{
  Expect(aStep["expect"].as<std::string>(),
         std::to_string(mEntries.CountReadable(mKeys)));
}

void
TraceReplay::DoHeld(const YAML::Node& aStep)
{
  for (const MemberId member : Who(aStep["who"])) {
    Expect(aStep["expect"].as<std::string>(),
           std::to_string(mEntries.mCluster.CountersOf(member).mHeldShards));
  }
}

void
TraceReplay::DoLosses(const YAML::Node& aStep)
{
  Expect(aStep["expect"].as<std::string>(),
         std::to_string(mEntries.Sum(&LedgerCounters::mPossibleLosses)));
}

void
TraceReplay::DoAnswer(const YAML::Node& aStep)
{
  const std::string actual = VerdictOf(aStep["call"].as<std::string>());
  if (aStep["not"]) {
    const auto unwanted = aStep["not"].as<std::string>();
    Expect("not " + unwanted, (actual == unwanted ? "" : "not ") + unwanted);
  } else {
    Expect(aStep["expect"].as<std::string>(), actual);
  }
}

void
TraceReplay::DoTally(const YAML::Node& aStep)
{
  for (const char* verdict : { "kDone", "kKnown" }) {
    int count = 0;
    for (const YAML::Node& call : aStep["calls"]) {
      count += VerdictOf(call.as<std::string>()) == verdict ? 1 : 0;
    }
    Expect(aStep[verdict].as<std::string>() + " " + verdict,
           std::to_string(count) + " " + verdict);
  }
}

std::vector<MemberId>
TraceReplay::Who(const YAML::Node& aNames) const
{
  const std::string domainPrefix = "domain ";
  std::vector<MemberId> members;
  for (const YAML::Node& node : aNames) {
    const auto name = node.as<std::string>();
    if (!name.starts_with(domainPrefix)) {
      members.push_back(mRoles.at(name));
      continue;
    }
    for (const membership::Member& member : mEntries.mCluster.Map().mMembers) {
      if (member.mDomain.Value() == name.substr(domainPrefix.size())) {
        members.push_back(member.mId);
      }
    }
  }
  return members;
}

std::string
TraceReplay::VerdictOf(const std::string& aCall) const
{
  const OperationAnswer* answer = mEntries.mCluster.AnswerTo(mCalls.at(aCall));
  return answer == nullptr ? "none" : NameOf(answer->mVerdict);
}

void
TraceReplay::Expect(const std::string& aExpected, const std::string& aActual)
{
  if (aExpected != aActual) {
    mDifferences.push_back("step " + std::to_string(mStep) + ": expected " +
                           aExpected + ", got " + aActual);
  }
}

} // namespace peridotspool::ledger
