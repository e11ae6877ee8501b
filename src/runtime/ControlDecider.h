#pragma once

#include "peridotspool/control/ControlNode.h"
#include "peridotspool/control/RelayBatcher.h"
#include "peridotspool/control/ReplyRouter.h"
#include "peridotspool/http/HttpServer.h"
#include "peridotspool/membership/UpstreamDirectory.h"
#include "peridotspool/membership/UpstreamRegistry.h"
#include "peridotspool/membership/WithdrawalAcks.h"
#include "peridotspool/observe/Counters.h"
#include "peridotspool/observe/Logger.h"
#include "peridotspool/runtime/BoundedRing.h"
#include "peridotspool/wire/PeerTransport.h"
#include "runtime/ControlInput.h"
#include "runtime/PeerTally.h"

#include <unordered_map>

namespace peridotspool::runtime {

/** The parts around the node that its effects are carried out with. */
struct ControlParts
{
  wire::PeerTransport& mTransport;
  BoundedRing<control::PersistEffect>& mDisk;
  const ControlDialect& mDialect;
  /** Null where there are no duties. */
  const DutyHostOptions* mDuties = nullptr;
  /** Takes results of calls to the cloud from another thread. */
  DutyRunner::TakeCloud mTakeCloud;
  observe::Logger& mLogger;
  observe::Counters& mCounters;
};

/**
 * The deciding thread's work of a control replica: feeds the node and carries
 * its effects out. Lives on that thread only.
 */
class ControlDecider
{
public:
  ControlDecider(control::ControlNode aNode, ControlParts aParts);

  void Take(ControlInput aInput, TimePoint aNow);
  void Tick(TimePoint aNow);
  bool Stopped() const { return mStopped; }

private:
  void On(HttpInput& aInput);
  void On(ControlPeerInput& aInput);
  void On(SyncedInput& aInput);
  void On(CloudInput& aInput);
  void On(StopInput& aInput);

  void Take(HttpInput& aInput, control::OperatorRequest& aRequest);
  void StampTime(control::OperatorRequest& aRequest) const;
  bool RefuseRollout(HttpInput& aInput,
                     const control::OperatorRequest& aRequest);
  void LogOrder(const control::OperatorResponse& aAnswer);
  void Take(HttpInput& aInput, DirectoryCall& aCall);
  void Take(HttpInput& aInput, AnsweredCall& aCall);
  void TakeShared(const Address& aFrom, const gateway::PeerMessage& aMessage);

  // ControlUpstreams.cpp: upstreams' announcements and the registries
  void Take(HttpInput& aInput, AnnounceCall& aCall);
  void Take(HttpInput& aInput, DeregisterCall& aCall);
  bool RefuseAnnouncement(HttpInput& aInput);
  void Acknowledge(const HttpInput& aInput);
  void HoldWithdrawal(HttpInput& aInput, const UpstreamName& aName);
  void AnswerWithdrawals();
  void TakeRegistry(const Address& aFrom,
                    const membership::RegistryMessage& aMessage);
  void PullRegistries();
  void SendAll(std::vector<membership::RegistrySend> aSends);

  // ControlRelay.cpp: entries' messages that relays forward
  void TakeEntryMessage(const Address& aFrom,
                        control::RelayRequestPayload aPayload);
  void TakeRelay(const Address& aFrom, control::RelayRequest& aRequest);
  void TakeRelay(const Address& aFrom, control::RelayedRequests& aRequests);
  void TakeRelay(const Address& aFrom, const control::RelayedReplies& aReplies);
  std::vector<Address> RelayDestinations(membership::RelayScope aScope) const;
  bool QueueForRelay(const Address& aTo, const wire::PeerPayload& aPayload);
  void SendRelayBatches();

  void Step(const control::ControlEvent& aEvent);
  void Carry(const control::ToReplicaEffect& aEffect);
  void Carry(const control::ToEntryEffect& aEffect);
  void Carry(const control::PersistEffect& aEffect);
  void Carry(const control::ResponseEffect& aEffect);
  void Carry(const control::NoticeEffect& aEffect);
  void SendPeer(const Address& aTo, wire::PeerPayload aPayload);
  void SendFrame(const Address& aTo, const wire::PeerEnvelope& aEnvelope);
  void Remember(const Address& aFrom, membership::EntryNonce aNonce);

  control::ControlNode mNode;
  ControlParts mParts;
  membership::UpstreamRegistry mRegistry;
  /** What all registries contain, as far as this replica has been told. */
  membership::UpstreamDirectory mDirectory;
  membership::WithdrawalAcks mWithdrawals;
  /** Upstreams' calls that wait until their withdrawal is replicated. */
  std::unordered_map<std::uint64_t, HttpInput> mWithdrawing;
  std::uint64_t mLastWithdrawal = 0;
  /** Operators' calls that wait for an answer. */
  std::unordered_map<CallId, HttpInput> mCalls;
  CallId mLastCall;
  TimePoint mPulledAt;
  std::optional<DutyRunner> mDuties;
  /** Where each entry process listens. */
  std::unordered_map<membership::EntryNonce, Address> mEntries;
  control::RelayBatcher mRelayBatcher;
  control::ReplyRouter mReplyRouter;
  TrafficLog mTraffic;
  bool mStopped = false;
  TimePoint mNow;
};

} // namespace peridotspool::runtime
