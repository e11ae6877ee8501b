#include "peridotspool/streams/OriginClient.h"

#include <chrono>
#include <utility>

namespace peridotspool::streams {

namespace {

constexpr Duration kResendPeriod = std::chrono::milliseconds(100);
constexpr Duration kWriteTimeout = std::chrono::milliseconds(1500);
constexpr Duration kLookupTimeout = std::chrono::milliseconds(300);

template<typename Message>
void
AddMessages(std::vector<AddressedOriginMessage>& aMessages,
            const std::set<Address>& aTo,
            const Message& aMessage)
{
  for (const Address& to : aTo) {
    aMessages.push_back({ .mTo = to, .mMessage = aMessage });
  }
}

} // namespace

OriginCall
OriginClient::Write(const OriginRecord& aRecord,
                    const std::vector<Address>& aTo,
                    TimePoint aNow)
{
  OriginCall call{ .mTag = ++mLastTag, .mMessages = {} };
  PendingWrite& write = mWrites[call.mTag];
  write = { .mRecord = aRecord,
            .mMissing = { aTo.begin(), aTo.end() },
            .mStartedAt = aNow,
            .mSentAt = aNow };
  AddMessages(call.mMessages,
              write.mMissing,
              OriginWrite{ .mTag = call.mTag, .mRecords = { aRecord } });
  return call;
}

bool
OriginClient::HandleAck(const Address& aFrom, const OriginAck& aAck)
{
  const auto found = mWrites.find(aAck.mTag);
  if (found == mWrites.end() || found->second.mMissing.erase(aFrom) == 0) {
    return false;
  }
  const bool isFirst = !std::exchange(found->second.mIsAcknowledged, true);
  if (found->second.mMissing.empty()) {
    mWrites.erase(found);
  }
  return isFirst;
}

OriginCall
OriginClient::LookUp(const StreamKey& aKey,
                     const std::vector<Address>& aTo,
                     TimePoint aNow)
{
  OriginCall call{ .mTag = ++mLastTag, .mMessages = {} };
  PendingLookup& lookup = mLookups[call.mTag];
  lookup = { .mKey = aKey,
             .mMissing = { aTo.begin(), aTo.end() },
             .mStartedAt = aNow,
             .mSentAt = aNow };
  AddMessages(call.mMessages,
              lookup.mMissing,
              OriginQuery{ .mTag = call.mTag, .mKey = aKey });
  return call;
}

// An entry that restarted, or that is no holder, knows nothing of the record:
// only the responses of all of them show that nobody does.
std::optional<OriginLookup>
OriginClient::HandleResponse(const Address& aFrom,
                             const OriginResponse& aResponse)
{
  const auto found = mLookups.find(aResponse.mTag);
  if (found == mLookups.end() || found->second.mMissing.erase(aFrom) == 0) {
    return std::nullopt;
  }
  const OriginKnowledge knowledge = aResponse.mAnswer.mKnowledge;
  const bool isDecisive = knowledge == OriginKnowledge::kKnown ||
                          knowledge == OriginKnowledge::kAmbiguous;
  if (!isDecisive && !found->second.mMissing.empty()) {
    return std::nullopt;
  }
  OriginLookup lookup{ .mTag = aResponse.mTag,
                       .mKey = found->second.mKey,
                       .mAnswer =
                         isDecisive ? aResponse.mAnswer : OriginAnswer{} };
  mLookups.erase(found);
  return lookup;
}

void
OriginClient::ResendWrites(std::vector<AddressedOriginMessage>& aMessages,
                           TimePoint aNow)
{
  std::erase_if(mWrites, [&](const auto& aPair) {
    return aNow - aPair.second.mStartedAt >= kWriteTimeout;
  });
  for (auto& [tag, write] : mWrites) {
    if (aNow - write.mSentAt >= kResendPeriod) {
      write.mSentAt = aNow;
      AddMessages(aMessages,
                  write.mMissing,
                  OriginWrite{ .mTag = tag, .mRecords = { write.mRecord } });
    }
  }
}

OriginTick
OriginClient::Tick(TimePoint aNow)
{
  OriginTick tick;
  ResendWrites(tick.mMessages, aNow);
  std::erase_if(mLookups, [&](const auto& aPair) {
    const auto& [tag, lookup] = aPair;
    const bool isOver = aNow - lookup.mStartedAt >= kLookupTimeout;
    if (isOver) {
      tick.mTimedOut.push_back(
        { .mTag = tag,
          .mKey = lookup.mKey,
          .mAnswer = { .mKnowledge = OriginKnowledge::kUndetermined } });
    }
    return isOver;
  });
  for (auto& [tag, lookup] : mLookups) {
    if (aNow - lookup.mSentAt >= kResendPeriod) {
      lookup.mSentAt = aNow;
      AddMessages(tick.mMessages,
                  lookup.mMissing,
                  OriginQuery{ .mTag = tag, .mKey = lookup.mKey });
    }
  }
  return tick;
}

} // namespace peridotspool::streams
