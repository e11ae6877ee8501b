#include "ledger/TestEntries.h"

#include <algorithm>
#include <stdexcept>

namespace peridotspool::ledger {

namespace {

constexpr const char* kDomains[] = { "kariakoo",
                                     "ubungo",
                                     "msasani",
                                     "temeke" };
constexpr int kSettleSteps = 1000;

} // namespace

TestEntries::TestEntries(int aPerDomain, LedgerOptions aOptions)
  : mCluster(aOptions)
{
  for (int i = 0; i < 4 * aPerDomain; ++i) {
    mIds.push_back(mCluster.Join(NextDomain()));
  }
  mCluster.Publish();
  Settle();
}

std::string
TestEntries::NextDomain()
{
  return kDomains[mNextDomain++ % 4];
}

void
TestEntries::Replace(const std::vector<MemberId>& aLost)
{
  for (const MemberId member : aLost) {
    std::string domain;
    for (const membership::Member& each : mCluster.Map().mMembers) {
      domain = each.mId == member ? each.mDomain.Value() : domain;
    }
    mCluster.Remove(member);
    mIds.push_back(mCluster.Join(domain));
  }
  mCluster.Publish();
  mCluster.Run(std::chrono::milliseconds(20));
}

void
TestEntries::Settle()
{
  mCluster.Run(std::chrono::milliseconds(20));
  for (int i = 0; Served() != kShardCount; ++i) {
    if (i > kSettleSteps) {
      throw std::runtime_error("not all shards are served");
    }
    mCluster.Run(std::chrono::milliseconds(20));
  }
}

std::uint64_t
TestEntries::Served() const
{
  std::uint64_t served = 0;
  for (const membership::Member& member : mCluster.Map().mMembers) {
    if (mCluster.IsAlive(member.mId)) {
      served += mCluster.CountersOf(member.mId).mServedShards;
    }
  }
  return served;
}

std::vector<RequestKey>
TestEntries::AcceptMany(int aCount)
{
  std::vector<RequestKey> keys;
  for (int i = 0; i < aCount; ++i) {
    const MemberId gateway = Other({});
    const RequestKey key{ CustomerName("mwambao"),
                          "check-in-" + std::to_string(i) };
    const OperationAnswer answer =
      mCluster.Do(gateway, key, AcceptOrder(gateway));
    if (answer.mVerdict != Verdict::kDone) {
      throw std::runtime_error("an accept was refused");
    }
    keys.push_back(key);
  }
  return keys;
}

int
TestEntries::CountReadable(const std::vector<RequestKey>& aKeys)
{
  int readable = 0;
  for (const RequestKey& key : aKeys) {
    const OperationAnswer answer = mCluster.Do(Other({}), key, ReadOperation());
    readable += answer.mVerdict == Verdict::kDone ? 1 : 0;
  }
  return readable;
}

std::uint64_t
TestEntries::Sum(std::uint64_t LedgerCounters::*aCounter) const
{
  std::uint64_t sum = 0;
  for (const MemberId member : mCluster.Alive()) {
    sum += mCluster.CountersOf(member).*aCounter;
  }
  return sum;
}

MemberId
TestEntries::Other(const std::vector<MemberId>& aOthers) const
{
  for (const membership::Member& member : mCluster.Map().mMembers) {
    const bool taken =
      std::find(aOthers.begin(), aOthers.end(), member.mId) != aOthers.end();
    if (mCluster.IsAlive(member.mId) && !taken) {
      return member.mId;
    }
  }
  throw std::runtime_error("no other entry is left");
}

} // namespace peridotspool::ledger
