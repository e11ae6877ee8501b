#include "peridotspool/membership/WithdrawalAcks.h"

namespace peridotspool::membership {

WithdrawalAcks::WithdrawalAcks(WithdrawalAckOptions aOptions)
  : mOptions(aOptions)
{
}

bool
WithdrawalAcks::Add(std::uint64_t aCall, std::uint64_t aVersion, TimePoint aNow)
{
  if (mWaiting.size() >= mOptions.mMaxWaiting) {
    return false;
  }
  mWaiting.push_back({ .mCall = aCall, .mVersion = aVersion, .mSince = aNow });
  return true;
}

std::vector<WithdrawalDecision>
WithdrawalAcks::Step(std::uint64_t aHeld, TimePoint aNow)
{
  std::vector<WithdrawalDecision> decisions;
  std::erase_if(mWaiting, [&](const Waiting& aOne) {
    const bool isHeld = aOne.mVersion <= aHeld;
    if (!isHeld && aNow - aOne.mSince < mOptions.mTimeout) {
      return false;
    }
    decisions.push_back({ .mCall = aOne.mCall, .mAcknowledged = isHeld });
    return true;
  });
  return decisions;
}

} // namespace peridotspool::membership
