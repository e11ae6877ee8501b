#include "peridotspool/control/ReplyRouter.h"

#include "control/EncodedSize.h"

#include <utility>

namespace peridotspool::control {

namespace {

ReplyKind
KindOf(const RelayReplyPayload& aPayload)
{
  return { aPayload.index(),
           std::visit([](const auto& aMessage) { return aMessage.index(); },
                      aPayload) };
}

} // namespace

void
ReplyRouter::RecordRelayed(const Address& aEntry, const Address& aRelay)
{
  if (mRelayOf.size() >= kMaxEntries) {
    mRelayOf.clear();
  }
  mRelayOf[aEntry] = aRelay;
}

void
ReplyRouter::RecordDirect(const Address& aEntry)
{
  mRelayOf.erase(aEntry);
}

// A change that all entries are told is queued for one of them after the other,
// with the responses to their own messages in between.
bool
ReplyRouter::Queue(const RelayTarget& aTarget,
                   const RelayReplyPayload& aPayload)
{
  const auto relay = mRelayOf.find(aTarget.mAddress);
  if (relay == mRelayOf.end()) {
    return false;
  }
  RelayQueue& queue = mQueued[relay->second];
  auto& replies = queue.mReplies.mReplies;
  const auto latest = queue.mLatest.find(KindOf(aPayload));
  if (latest != queue.mLatest.end() &&
      replies[latest->second].mPayload == aPayload) {
    replies[latest->second].mTargets.push_back(aTarget);
    return true;
  }
  const std::size_t bytes = EncodedSize(aPayload);
  if (!replies.empty() && queue.mBytes + bytes > kMaxBatchBytes) {
    mFull.push_back(
      { .mRelay = relay->second, .mReplies = std::move(queue.mReplies) });
    queue = RelayQueue{};
  }
  queue.mLatest[KindOf(aPayload)] = replies.size();
  queue.mBytes += bytes;
  replies.push_back({ .mTargets = { aTarget }, .mPayload = aPayload });
  return true;
}

std::vector<ReplyBatch>
ReplyRouter::TakeAll()
{
  std::vector<ReplyBatch> batches = std::exchange(mFull, {});
  for (auto& [relay, queue] : std::exchange(mQueued, {})) {
    batches.push_back(
      { .mRelay = relay, .mReplies = std::move(queue.mReplies) });
  }
  return batches;
}

} // namespace peridotspool::control
