#include "gateway/StreamOrigins.h"

#include "peridotspool/base/Overloaded.h"

#include <chrono>
#include <utility>
#include <variant>

namespace peridotspool::gateway {

namespace {

using observe::CounterId;
using streams::OriginKnowledge;

/** Keeps the tags of polls apart from those of writes and lookups. */
constexpr std::uint64_t kPollTags = std::uint64_t{ 1 } << 63U;

} // namespace

void
StreamOrigins::Start(const Address& aSelf,
                     const Region& aRegion,
                     std::uint64_t aFirstTag)
{
  mSelf = aSelf;
  mRegion = aRegion;
  mClient = streams::OriginClient(aFirstTag & ~kPollTags);
  mPoll = streams::VersionPoll(aFirstTag | kPollTags);
}

void
StreamOrigins::SetMembers(const std::vector<streams::Replica>& aMembers)
{
  mRepair.Begin(mSelector);
  mSelector.SetMembers(aMembers);
}

void
StreamOrigins::AddOthers(std::vector<Address>& aAddresses,
                         const std::vector<streams::Replica>& aReplicas) const
{
  for (const streams::Replica& replica : aReplicas) {
    if (replica.mAddress != mSelf) {
      aAddresses.push_back(replica.mAddress);
    }
  }
}

// Records stay in the region of the entry that serves the stream, unless it is
// alone there.
std::vector<Address>
StreamOrigins::HoldersOf(const streams::StreamKey& aKey) const
{
  std::vector<Address> holders;
  AddOthers(holders, mSelector.Holders(aKey, mRegion));
  if (!holders.empty()) {
    return holders;
  }
  for (const Region& region : mSelector.Regions()) {
    AddOthers(holders, mSelector.Holders(aKey, region));
  }
  return holders;
}

std::vector<Address>
StreamOrigins::PossibleHoldersOf(const streams::StreamKey& aKey) const
{
  std::vector<Address> holders;
  for (const Region& region : mSelector.Regions()) {
    AddOthers(holders, mSelector.PossibleHolders(aKey, region));
  }
  return holders;
}

std::uint64_t
StreamOrigins::Record(const streams::StreamKey& aKey,
                      const streams::StreamOrigin& aOrigin,
                      Duration aLifetime,
                      std::function<void()> aOnReplicated)
{
  const TimePoint now = mNow();
  const auto lifetime =
    std::chrono::duration_cast<std::chrono::milliseconds>(aLifetime);
  const streams::OriginRecord record{
    .mKey = aKey,
    .mAnswer = { .mKnowledge = OriginKnowledge::kKnown,
                 .mOrigin = aOrigin,
                 .mLifetimeMs = static_cast<std::uint32_t>(lifetime.count()) }
  };
  mStore.Add(record, now);
  const auto holders = HoldersOf(aKey);
  if (holders.empty()) {
    return 0;
  }
  const streams::OriginCall call = mClient.Write(record, holders, now);
  if (aOnReplicated) {
    mWriteWaiters[call.mTag] = std::move(aOnReplicated);
  }
  Send(call.mMessages);
  return call.mTag;
}

std::uint64_t
StreamOrigins::LookUp(
  const streams::StreamKey& aKey,
  const std::function<void(const streams::OriginAnswer&)>& aOnFound)
{
  const TimePoint now = mNow();
  const streams::OriginAnswer own = mStore.Find(aKey, now);
  const auto holders = PossibleHoldersOf(aKey);
  if (own.mKnowledge != OriginKnowledge::kUnknown) {
    aOnFound(own);
    return 0;
  }
  if (holders.empty()) {
    // Before the first list of members there may be other entries.
    aOnFound({ .mKnowledge = mSelector.HasMembers()
                               ? OriginKnowledge::kUnknown
                               : OriginKnowledge::kUndetermined });
    return 0;
  }
  const streams::OriginCall call = mClient.LookUp(aKey, holders, now);
  mLookupWaiters[call.mTag] = aOnFound;
  Send(call.mMessages);
  return call.mTag;
}

streams::OriginAnswer
StreamOrigins::KnownVersion(const ServiceName& aService) const
{
  const auto versions = mUpstreams.VersionsOf(aService);
  if (versions.empty()) {
    return {};
  }
  if (versions.size() > 1) {
    return { .mKnowledge = OriginKnowledge::kAmbiguous };
  }
  return { .mKnowledge = OriginKnowledge::kKnown,
           .mOrigin = { .mService = aService, .mVersion = *versions.begin() } };
}

std::uint64_t
StreamOrigins::ConfirmVersion(
  const streams::StreamOrigin& aOrigin,
  const std::function<void(const streams::OriginAnswer&)>& aOnFound)
{
  const auto others =
    PossibleHoldersOf(streams::StreamKeyOf({}, aOrigin.mService.Value()));
  if (others.empty()) {
    aOnFound({ .mKnowledge = mSelector.HasMembers()
                               ? OriginKnowledge::kKnown
                               : OriginKnowledge::kUndetermined,
               .mOrigin = aOrigin });
    return 0;
  }
  const streams::VersionQuery query = mPoll.Begin(aOrigin, others, mNow());
  mLookupWaiters[query.mTag] = aOnFound;
  for (const Address& other : others) {
    mSendToEntry(other, query);
  }
  return query.mTag;
}

void
StreamOrigins::Cancel(std::uint64_t aTag)
{
  mWriteWaiters.erase(aTag);
  mLookupWaiters.erase(aTag);
  mClient.CancelLookup(aTag);
  mPoll.Cancel(aTag);
}

void
StreamOrigins::HandlePeerMessage(const Address& aFrom,
                                 const PeerMessage& aMessage)
{
  std::visit(
    Overloaded{
      [&](const streams::OriginWrite& aWrite) { Handle(aFrom, aWrite); },
      [&](const streams::OriginAck& aAck) { Handle(aFrom, aAck); },
      [&](const streams::OriginQuery& aQuery) { Handle(aFrom, aQuery); },
      [&](const streams::OriginResponse& aResponse) {
        Handle(aFrom, aResponse);
      },
      [&](const streams::VersionQuery& aQuery) { Handle(aFrom, aQuery); },
      [&](const streams::VersionResponse& aResponse) {
        Handle(aFrom, aResponse);
      },
      [](const auto& /*aOther*/) {} },
    aMessage);
}

void
StreamOrigins::Handle(const Address& aFrom, const streams::OriginWrite& aWrite)
{
  const TimePoint now = mNow();
  for (const streams::OriginRecord& record : aWrite.mRecords) {
    mStore.Add(record, now);
  }
  if (aWrite.mTag != 0) {
    mSendToEntry(aFrom, streams::OriginAck{ .mTag = aWrite.mTag });
  }
}

void
StreamOrigins::Handle(const Address& aFrom, const streams::OriginAck& aAck)
{
  if (!mClient.HandleAck(aFrom, aAck)) {
    return;
  }
  const auto waiter = mWriteWaiters.find(aAck.mTag);
  if (waiter != mWriteWaiters.end()) {
    const auto call = std::move(waiter->second);
    mWriteWaiters.erase(waiter);
    call();
  }
}

void
StreamOrigins::Handle(const Address& aFrom, const streams::OriginQuery& aQuery)
{
  mSendToEntry(
    aFrom,
    streams::OriginResponse{ .mTag = aQuery.mTag,
                             .mAnswer = mStore.Find(aQuery.mKey, mNow()) });
}

void
StreamOrigins::Handle(const Address& aFrom,
                      const streams::OriginResponse& aResponse)
{
  if (const auto decided = mClient.HandleResponse(aFrom, aResponse)) {
    OnDecided(*decided);
  }
}

void
StreamOrigins::Handle(const Address& aFrom, const streams::VersionQuery& aQuery)
{
  mSendToEntry(
    aFrom,
    streams::VersionResponse{ .mTag = aQuery.mTag,
                              .mAnswer = KnownVersion(aQuery.mService) });
}

void
StreamOrigins::Handle(const Address& aFrom,
                      const streams::VersionResponse& aResponse)
{
  if (const auto decided = mPoll.HandleResponse(aFrom, aResponse)) {
    CallWaiter(decided->mTag, decided->mAnswer);
  }
}

void
StreamOrigins::OnDecided(const streams::OriginLookup& aLookup)
{
  mStore.Add({ .mKey = aLookup.mKey, .mAnswer = aLookup.mAnswer }, mNow());
  CallWaiter(aLookup.mTag, aLookup.mAnswer);
}

void
StreamOrigins::CallWaiter(std::uint64_t aTag,
                          const streams::OriginAnswer& aAnswer)
{
  const auto waiter = mLookupWaiters.find(aTag);
  if (waiter != mLookupWaiters.end()) {
    const auto call = std::move(waiter->second);
    mLookupWaiters.erase(waiter);
    call(aAnswer);
  }
}

void
StreamOrigins::Tick()
{
  const TimePoint now = mNow();
  const streams::OriginTick tick = mClient.Tick(now);
  Send(tick.mMessages);
  for (const streams::OriginLookup& lookup : tick.mTimedOut) {
    OnDecided(lookup);
  }
  for (const streams::VersionDecision& decided : mPoll.Tick(now)) {
    CallWaiter(decided.mTag, decided.mAnswer);
  }
  mStore.RemoveExpired(now);
  Send(mRepair.Step(mStore, mSelector, mRegion, mSelf, now));
  mCounters.Set(CounterId::kStreamOriginsHeld, mStore.Size());
}

void
StreamOrigins::Send(
  const std::vector<streams::AddressedOriginMessage>& aMessages)
{
  for (const streams::AddressedOriginMessage& message : aMessages) {
    std::visit(
      [&](const auto& aAny) { mSendToEntry(message.mTo, PeerMessage(aAny)); },
      message.mMessage);
  }
}

} // namespace peridotspool::gateway
