#include "peridotspool/streams/VersionPoll.h"

namespace peridotspool::streams {

namespace {

constexpr Duration kTimeout = std::chrono::milliseconds(300);

VersionDecision
Undetermined(std::uint64_t aTag)
{
  return { .mTag = aTag,
           .mAnswer = { .mKnowledge = OriginKnowledge::kUndetermined } };
}

} // namespace

VersionQuery
VersionPoll::Begin(const StreamOrigin& aOrigin,
                   const std::vector<Address>& aTo,
                   TimePoint aNow)
{
  Poll& poll = mPolls[++mLastTag];
  poll = { .mOrigin = aOrigin,
           .mMissing = { aTo.begin(), aTo.end() },
           .mStartedAt = aNow };
  // Of those asked and this entry.
  poll.mNeeded = (poll.mMissing.size() + 1) / 2;
  return { .mTag = mLastTag, .mService = aOrigin.mService };
}

// One entry that knows another version is proof enough. One that knows no
// upstream has just started, and shows nothing.
std::optional<VersionDecision>
VersionPoll::HandleResponse(const Address& aFrom,
                            const VersionResponse& aResponse)
{
  const auto found = mPolls.find(aResponse.mTag);
  if (found == mPolls.end() || found->second.mMissing.erase(aFrom) == 0) {
    return std::nullopt;
  }
  Poll& poll = found->second;
  const OriginAnswer& answer = aResponse.mAnswer;
  VersionDecision decision = Undetermined(aResponse.mTag);
  if (answer.mKnowledge == OriginKnowledge::kAmbiguous ||
      (answer.mKnowledge == OriginKnowledge::kKnown &&
       !answer.mOrigin.IsCompatibleWith(poll.mOrigin))) {
    decision.mAnswer = {};
  } else if (answer.mKnowledge == OriginKnowledge::kKnown &&
             --poll.mNeeded == 0) {
    decision.mAnswer = { .mKnowledge = OriginKnowledge::kKnown,
                         .mOrigin = poll.mOrigin };
  } else if (!poll.mMissing.empty()) {
    return std::nullopt;
  }
  mPolls.erase(found);
  return decision;
}

std::vector<VersionDecision>
VersionPoll::Tick(TimePoint aNow)
{
  std::vector<VersionDecision> timedOut;
  std::erase_if(mPolls, [&](const auto& aPair) {
    if (aNow - aPair.second.mStartedAt < kTimeout) {
      return false;
    }
    timedOut.push_back(Undetermined(aPair.first));
    return true;
  });
  return timedOut;
}

} // namespace peridotspool::streams
