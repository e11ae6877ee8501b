#pragma once

#include "peridotspool/control/ControlNode.h"
#include "peridotspool/http/HttpServer.h"
#include "peridotspool/http/OperatorApi.h"
#include "peridotspool/observe/Logger.h"
#include "peridotspool/runtime/BoundedRing.h"
#include "peridotspool/wire/PeerTransport.h"
#include "runtime/ControlInput.h"

#include <unordered_map>

namespace peridotspool::runtime {

/** The parts around the node that its effects are carried out with. */
struct ControlParts
{
  http::HttpServer& mServer;
  wire::PeerTransport& mTransport;
  BoundedRing<control::PersistEffect>& mDisk;
  http::FindHttpAddress mFindHttp;
  observe::Logger& mLogger;
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
  void On(OperatorInput& aInput);
  void On(ControlPeerInput& aInput);
  void On(SyncedInput& aInput);
  void On(StopInput& aInput);

  void Step(const control::ControlEvent& aEvent);
  void Carry(const control::ToReplicaEffect& aEffect);
  void Carry(const control::ToEntryEffect& aEffect);
  void Carry(const control::PersistEffect& aEffect);
  void Carry(const control::AnswerEffect& aEffect);
  void Carry(const control::NoticeEffect& aEffect);
  void SendPeer(const Address& aTo, wire::PeerPayload aPayload);
  void Remember(const Address& aFrom, membership::EntryNonce aNonce);

  control::ControlNode mNode;
  ControlParts mParts;
  /** Where each entry process listens. */
  std::unordered_map<membership::EntryNonce, Address> mEntries;
  bool mStopped = false;
  TimePoint mNow;
};

} // namespace peridotspool::runtime
