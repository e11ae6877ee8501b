#pragma once

#include "peridotspool/ledger/Ledger.h"
#include "peridotspool/membership/EntryDirectory.h"
#include "peridotspool/request/EntryNode.h"
#include "peridotspool/request/RequestManager.h"

#include <map>
#include <optional>
#include <random>

namespace peridotspool::request {

/** The state and the steps behind EntryNode. */
class EntryNodeState
{
public:
  EntryNodeState(EntryNodeOptions aOptions, TimePoint aNow);

  EntryNodeEffects Step(const EntryNodeEvent& aEvent, TimePoint aNow);

  membership::DirectoryResponse Directory(const Region& aRegion);
  EntryNodeStatus Status(TimePoint aNow) const;
  EntryName NameOf(MemberId aMember) const;

private:
  void On(const FromMemberEvent& aEvent);
  void On(const FromControlReplicaEvent& aEvent);
  void On(const CallerEvent& aEvent);
  void On(const UpstreamEvent& aEvent);
  void On(const AnnouncedEvent& aEvent);
  void On(const SettingsTakenEvent& aEvent);
  void On(const UnreachableEvent& aEvent);
  void On(const LeaveNodeEvent& aEvent);
  void On(const TickEvent& aEvent);

  void OnCaller(const SubmitEvent& aEvent);
  void OnCaller(const AttachEvent& aEvent);
  void OnCaller(const CancelEvent& aEvent);
  void OnCaller(const AcknowledgeEvent& aEvent);
  void OnCaller(const ShowEvent& aEvent);
  void OnCaller(const CallerGoneEvent& aEvent);

  /** Passes an event on, or answers it while this entry is no member. */
  template<typename Asked>
  void PassOn(const Asked& aEvent);

  void StepSession(const membership::ControlSessionEvent& aEvent);
  void Carry(const membership::ToControlEffect& aEffect);
  void Carry(const membership::JoinedEffect& aEffect);
  void Carry(const membership::RemovedEffect& aEffect);
  void Carry(const membership::DrainEffect& aEffect);
  void Carry(const membership::NewSettingsEffect& aEffect);
  void Carry(const membership::NewEpochEffect& aEffect);

  /** Tells the parts that hold requests who the members are. */
  void HandOn(const membership::EpochMap& aMap);
  void StepLedger(const ledger::Event& aEvent);
  void Carry(const ledger::SendEffect& aEffect);
  void Carry(const ledger::AnsweredEffect& aEffect);
  void Carry(const ledger::OrphanedEffect& aEffect);

  void StepRequests(const Event& aEvent);
  void Carry(const ProposeEffect& aEffect);
  void Carry(const RelayEffect& aEffect);
  template<typename Other>
  void Carry(const Other& aEffect);

  void BeginLife();
  void BeginLeaving();
  void CheckLeft();
  bool AnyActiveMember() const;
  void SpreadAnnouncement(const routing::UpstreamAnnouncement& aAnnouncement);
  void SendToMember(MemberId aTo, FromMemberMessage aMessage);
  void ReplyTo(CallId aExchange, Reply aReply);
  /** Returns true iff this entry may begin new work now. */
  bool MayServe() const;

  EntryNodeOptions mOptions;
  std::mt19937_64 mRandom;
  routing::Router mRouter;
  membership::EntryDirectory mDirectory;
  std::optional<membership::ControlSession> mSession;
  std::shared_ptr<const settings::SettingsTree> mTree;
  membership::EntryNonce mNonce;
  MemberId mSelf;
  std::optional<ledger::Ledger> mLedger;
  std::optional<RequestManager> mRequests;
  std::map<MemberId, membership::Member> mMembers;
  bool mLeaving = false;
  bool mDrainStarted = false;
  bool mToldDone = false;
  bool mLeft = false;
  TimePoint mLeaveBy = TimePoint::max();

  // Valid during one step only.
  TimePoint mNow;
  EntryNodeEffects* mEffects = nullptr;
};

} // namespace peridotspool::request
