#include "ledger/ChaosDriver.h"

#include "peridotspool/base/RequestKey.h"

#include <algorithm>
#include <stdexcept>

namespace peridotspool::ledger {

namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t kEntries = 7;
constexpr std::uint32_t kDomains = 5;
constexpr int kSettleSteps = 600;

} // namespace

LedgerOptions
ChaosDriver::Options()
{
  LedgerOptions options;
  options.mResendInterval = milliseconds(30);
  options.mLeftoverInterval = milliseconds(100);
  options.mLogEntries = 8;
  options.mChunkBytes = 600;
  return options;
}

ChaosDriver::ChaosDriver(std::uint64_t aSeed, LedgerOptions aOptions)
  : mCluster(aOptions, aSeed)
  , mLossesAllowed(aOptions.mCommitRule == CommitRule::kAllReplicas ? 2 : 1)
  , mLossesLeft(mLossesAllowed)
{
  for (std::uint32_t i = 0; i < kEntries; ++i) {
    mCluster.Join("domain-" + std::to_string(mNextDomain++ % kDomains));
  }
  mCluster.Publish();
  Settle();
}

std::vector<MemberId>
ChaosDriver::Members() const
{
  std::vector<MemberId> members;
  for (const membership::Member& member : mCluster.Map().mMembers) {
    if (mCluster.IsAlive(member.mId) && !mLost.contains(member.mId)) {
      members.push_back(member.mId);
    }
  }
  return members;
}

MemberId
ChaosDriver::Gateway(std::uint32_t aChoice) const
{
  const std::vector<MemberId> members = Members();
  return members[aChoice % members.size()];
}

void
ChaosDriver::Lose(MemberId aMember)
{
  if (mLossesLeft > 0) {
    --mLossesLeft;
    mLost.insert(aMember);
  }
}

// Removes the lost members from the list and adds as many new ones.
void
ChaosDriver::Replace()
{
  for (const MemberId member : mLost) {
    mDraining.erase(member);
    mCluster.Remove(member);
    mCluster.Join("domain-" + std::to_string(mNextDomain++ % kDomains));
  }
  mLost.clear();
}

void
ChaosDriver::Drain(MemberId aMember)
{
  if (mDraining.size() < 2) {
    mDraining.insert(aMember);
    mCluster.Drain(aMember);
    mCluster.Publish();
  }
}

void
ChaosDriver::EndDrained()
{
  for (const MemberId member : std::set<MemberId>(mDraining)) {
    const bool runs = mCluster.IsAlive(member) && !mLost.contains(member) &&
                      !mFrozen.contains(member) && !mCut.contains(member);
    if (!runs || mCluster.CountersOf(member).mHeldShards > 0) {
      continue;
    }
    mCluster.Kill(member);
    mCluster.Remove(member);
    mCluster.Join("domain-" + std::to_string(mNextDomain++ % kDomains));
    mCluster.Publish();
    mDraining.erase(member);
  }
}

void
ChaosDriver::Fault(const ChaosCommand& aCommand)
{
  const MemberId member = Gateway(aCommand.mFirst);
  switch (aCommand.mKind % 12) {
    case 0:
      if (mLossesLeft > 0) {
        Lose(member);
        mFrozen.erase(member);
        mCut.erase(member);
        mCluster.Kill(member);
      }
      break;
    case 1:
      mFrozen.insert(member);
      mCluster.Freeze(member);
      break;
    case 2:
      mCut.insert(member);
      mCluster.Cut(member);
      break;
    case 3:
      for (const MemberId each : mFrozen) {
        mCluster.Wake(each);
      }
      mFrozen.clear();
      break;
    case 4:
      for (const MemberId each : mCut) {
        mCluster.Mend(each);
      }
      mCut.clear();
      break;
    case 5:
      // A frozen or disconnected member is declared lost while it is still
      // running.
      if (mFrozen.contains(member) || mCut.contains(member)) {
        Lose(member);
      }
      Replace();
      mCluster.Publish();
      break;
    case 6:
      // Publishes an epoch that one member never receives.
      mCluster.Join("domain-" + std::to_string(mNextDomain++ % kDomains));
      mCluster.Publish({ member });
      break;
    case 7:
      mCluster.SetFaults(
        { .mLoss = 0.05 * (aCommand.mFirst % 5),
          .mDuplicate = 0.1 * (aCommand.mSecond % 4),
          .mMinDelay = Duration(100),
          .mMaxDelay = Duration(200 + 8000 * (aCommand.mSecond % 5)) });
      break;
    case 8:
      Settle();
      break;
    case 9:
      Drain(member);
      break;
    case 10:
      EndDrained();
      break;
    default:
      mCluster.Run(milliseconds(aCommand.mFirst % 120));
      break;
  }
}

std::uint64_t
ChaosDriver::Served() const
{
  std::uint64_t served = 0;
  for (const MemberId member : mCluster.Alive()) {
    served += mCluster.CountersOf(member).mServedShards;
  }
  return served;
}

void
ChaosDriver::Settle()
{
  for (const MemberId member : mFrozen) {
    mCluster.Wake(member);
  }
  for (const MemberId member : mCut) {
    mCluster.Mend(member);
  }
  mFrozen.clear();
  mCut.clear();
  mCluster.SetFaults({});
  Replace();
  mCluster.Publish();
  mCluster.Run(milliseconds(100));
  for (int i = 0; Served() != kShardCount; ++i) {
    if (i > kSettleSteps) {
      throw std::runtime_error("not all shards are served: " +
                               std::to_string(Served()));
    }
    mCluster.Run(milliseconds(20));
  }
  mLossesLeft = mLossesAllowed;
}

} // namespace peridotspool::ledger
