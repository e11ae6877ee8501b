#pragma once

#include "peridotspool/ledger/Ledger.h"
#include "peridotspool/membership/EntryDirectory.h"
#include "peridotspool/request/EntryNode.h"
#include "peridotspool/request/RequestManager.h"

#include <map>
#include <optional>
#include <random>

namespace peridotspool::request {

/** Implements EntryNode. */
class EntryNodeState
{
public:
  EntryNodeState(EntryNodeOptions aOptions, TimePoint aNow);

  EntryNodeEffects Step(const EntryNodeEvent& aEvent, TimePoint aNow);

  membership::DirectoryResponse Directory(const Region& aRegion);
  EntryNodeStatus Status(TimePoint aNow) const;
  std::optional<TimePoint> SettingsConfirmedAt() const
  {
    return mSession ? mSession->SettingsConfirmedAt() : std::nullopt;
  }
  EntryName NameOf(MemberId aMember) const;

private:
  void On(const FromMemberEvent& aEvent);
  void On(const FromControlReplicaEvent& aEvent);
  void On(const CallerEvent& aEvent);
  void On(const UpstreamEvent& aEvent);
  void On(const AnnouncedEvent& aEvent);
  void On(const SettingsAppliedEvent& aEvent);
  void On(const UnreachableEvent& aEvent);
  void On(const LeaveNodeEvent& aEvent);
  void On(const TickEvent& aEvent);

  void OnCaller(const SubmitEvent& aEvent);
  void OnCaller(const AttachEvent& aEvent);
  void OnCaller(const CancelEvent& aEvent);
  void OnCaller(const AcknowledgeEvent& aEvent);
  void OnCaller(const ShowEvent& aEvent);
  void OnCaller(const CallerGoneEvent& aEvent);

  /** Forwards an event to the request manager, or replies StatusUnknownReply
   * while this entry is not a member. */
  template<typename CallerRequest>
  void ForwardOrReject(const CallerRequest& aEvent);

  void StepSession(const membership::ControlSessionEvent& aEvent);
  void Perform(const membership::ToControlEffect& aEffect);
  void Perform(const membership::ToRelayEffect& aEffect);
  void Perform(const membership::JoinedEffect& aEffect);
  void Perform(const membership::RemovedEffect& aEffect);
  void Perform(const membership::DrainEffect& aEffect);
  void Perform(const membership::NewSettingsEffect& aEffect);
  void Perform(const membership::NewEpochEffect& aEffect);

  /** Passes the member list to the ledger and the request manager. */
  void DistributeMembers(const membership::EpochMap& aMap);
  void StepLedger(const ledger::Event& aEvent);
  void Perform(const ledger::SendEffect& aEffect);
  void Perform(const ledger::AnsweredEffect& aEffect);
  void Perform(const ledger::OrphanedEffect& aEffect);

  void StepRequests(const Event& aEvent);
  void Perform(const ProposeEffect& aEffect);
  void Perform(const RelayEffect& aEffect);
  template<typename Other>
  void Perform(const Other& aEffect);

  void StartIncarnation();
  void BeginLeaving();
  void CheckDeparture();
  bool AnyActiveMember() const;
  void ForwardAnnouncement(const routing::UpstreamAnnouncement& aAnnouncement);
  void SendToMember(MemberId aTo, FromMemberMessage aMessage);
  void ReplyTo(CallId aExchange, Reply aReply);
  /** Returns true iff this entry may accept new requests now. */
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
  bool mDepartureReported = false;
  bool mDepartureComplete = false;
  TimePoint mLeaveDeadline = TimePoint::max();

  // Valid only during a step.
  TimePoint mNow;
  EntryNodeEffects* mEffects = nullptr;
};

} // namespace peridotspool::request
