#pragma once

#include "ledger/TestEntries.h"

#include <yaml-cpp/yaml.h>

#include <map>
#include <string>
#include <vector>

namespace peridotspool::ledger {

/**
 * Replays a recorded trace on a cluster and checks the outcomes stated in the
 * trace.
 *
 * Entries are named by their role for the trace's shard at the start:
 * `primary`, `second`, `third`, `outsider` (no replica). `domain NAME` means
 * all entries of a failure domain.
 */
class TraceReplay
{
public:
  explicit TraceReplay(const YAML::Node& aTrace);

  /**
   * Returns one line for each step whose outcome differs from the stated one.
   */
  std::vector<std::string> Run();

private:
  using StepFunction = void (TraceReplay::*)(const YAML::Node&);

  void Do(const YAML::Node& aStep);
  void DoOperation(const YAML::Node& aStep);
  void DoKill(const YAML::Node& aStep);
  void DoDrain(const YAML::Node& aStep);
  void DoRemove(const YAML::Node& aStep);
  void DoReplace(const YAML::Node& aStep);
  void DoWake(const YAML::Node& aStep);
  void DoCut(const YAML::Node& aStep);
  void DoMend(const YAML::Node& aStep);
  void DoJoin(const YAML::Node& aStep);
  void DoSettle(const YAML::Node& aStep);
  void DoRun(const YAML::Node& aStep);
  void DoAcceptMany(const YAML::Node& aStep);
  void DoReadMany(const YAML::Node& aStep);
  void DoHeld(const YAML::Node& aStep);
  void DoLosses(const YAML::Node& aStep);
  void DoAnswer(const YAML::Node& aStep);
  void DoTally(const YAML::Node& aStep);

  Operation OperationOf(const YAML::Node& aStep, MemberId aGateway) const;
  std::vector<MemberId> Who(const YAML::Node& aNames) const;
  std::string VerdictOf(const std::string& aCall) const;
  void Expect(const std::string& aExpected, const std::string& aActual);

  YAML::Node mTrace;
  TestEntries mEntries;
  ShardId mShard;
  std::map<std::string, MemberId> mRoles;
  std::map<std::string, CallId> mCalls;
  std::vector<RequestKey> mKeys;
  std::vector<std::string> mDifferences;
  std::size_t mStep = 0;
};

} // namespace peridotspool::ledger
