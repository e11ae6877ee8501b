#pragma once

#include "peridotspool/base/Address.h"
#include "peridotspool/base/Time.h"
#include "peridotspool/gateway/PeerMessage.h"
#include "peridotspool/gateway/UpstreamSelector.h"
#include "peridotspool/observe/Counters.h"
#include "peridotspool/streams/OriginClient.h"
#include "peridotspool/streams/OriginRepair.h"
#include "peridotspool/streams/OriginStore.h"
#include "peridotspool/streams/ReplicaSelector.h"
#include "peridotspool/streams/VersionPoll.h"

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace peridotspool::gateway {

struct StreamOriginsOptions
{
  std::function<void(const Address&, PeerMessage)>& mSendToEntry;
  std::function<TimePoint()>& mNow;
  observe::Counters& mCounters;
  const UpstreamSelector& mUpstreams;
};

/**
 * Records which version of a service began each stream, at this entry and at
 * others, and looks it up for callers that resume a stream at this entry. Used
 * on the relay thread only.
 */
class StreamOrigins
{
public:
  /** @param aOptions outlive this object */
  explicit StreamOrigins(const StreamOriginsOptions& aOptions)
    : mSendToEntry(aOptions.mSendToEntry)
    , mNow(aOptions.mNow)
    , mCounters(aOptions.mCounters)
    , mUpstreams(aOptions.mUpstreams)
  {
  }

  /** @param aFirstTag random, so that tags of an earlier process don't match */
  void Start(const Address& aSelf,
             const Region& aRegion,
             std::uint64_t aFirstTag);
  /** Sets the entries that hold records, this one included. */
  void SetMembers(const std::vector<streams::Replica>& aMembers);

  /** Records a stream's origin.
   * @param aOnReplicated called once another entry holds the record; not called
   *   after Cancel
   * @return the write's tag; 0 if there is no other entry */
  std::uint64_t Record(const streams::StreamKey& aKey,
                       const streams::StreamOrigin& aOrigin,
                       Duration aLifetime,
                       std::function<void()> aOnReplicated);
  /** Finds a stream's origin.
   * @param aOnFound called once, possibly before this returns; not called after
   *   Cancel
   * @return the lookup's tag; 0 if it has been decided */
  std::uint64_t LookUp(
    const streams::StreamKey& aKey,
    const std::function<void(const streams::OriginAnswer&)>& aOnFound);
  /** Asks other entries whether a service has had a single version, the one
   * that this entry knows. As LookUp, with the service and the version if they
   * agree, unknown if there are others. */
  std::uint64_t ConfirmVersion(
    const streams::StreamOrigin& aOrigin,
    const std::function<void(const streams::OriginAnswer&)>& aOnFound);
  /** Returns the version of the service that this entry knows, or that there
   * are several. */
  streams::OriginAnswer KnownVersion(const ServiceName& aService) const;
  /** Cancels the call for a write, a lookup or a poll; writes go on. */
  void Cancel(std::uint64_t aTag);

  /** Handles a message of another entry if it is about origins. */
  void HandlePeerMessage(const Address& aFrom, const PeerMessage& aMessage);
  /** Called every 50 ms. */
  void Tick();

private:
  void Handle(const Address& aFrom, const streams::OriginWrite& aWrite);
  void Handle(const Address& aFrom, const streams::OriginAck& aAck);
  void Handle(const Address& aFrom, const streams::OriginQuery& aQuery);
  void Handle(const Address& aFrom, const streams::OriginResponse& aResponse);
  void Handle(const Address& aFrom, const streams::VersionQuery& aQuery);
  void Handle(const Address& aFrom, const streams::VersionResponse& aResponse);
  void CallWaiter(std::uint64_t aTag, const streams::OriginAnswer& aAnswer);
  std::vector<Address> HoldersOf(const streams::StreamKey& aKey) const;
  std::vector<Address> PossibleHoldersOf(const streams::StreamKey& aKey) const;
  void AddOthers(std::vector<Address>& aAddresses,
                 const std::vector<streams::Replica>& aReplicas) const;
  void Send(const std::vector<streams::AddressedOriginMessage>& aMessages);
  void OnDecided(const streams::OriginLookup& aLookup);

  std::function<void(const Address&, PeerMessage)>& mSendToEntry;
  std::function<TimePoint()>& mNow;
  observe::Counters& mCounters;
  const UpstreamSelector& mUpstreams;
  Address mSelf;
  Region mRegion;
  streams::OriginStore mStore;
  streams::ReplicaSelector mSelector;
  streams::OriginClient mClient{ 0 };
  streams::VersionPoll mPoll{ 0 };
  streams::OriginRepair mRepair;
  std::map<std::uint64_t, std::function<void()>> mWriteWaiters;
  std::map<std::uint64_t, std::function<void(const streams::OriginAnswer&)>>
    mLookupWaiters;
};

} // namespace peridotspool::gateway
