#pragma once

#include "peridotspool/http/CallerExchange.h"
#include "peridotspool/http/HttpClient.h"
#include "peridotspool/http/HttpServer.h"
#include "peridotspool/http/UpstreamAdapter.h"
#include "peridotspool/observe/Counters.h"
#include "peridotspool/observe/Logger.h"
#include "peridotspool/request/EntryNode.h"
#include "peridotspool/wire/PeerTransport.h"
#include "runtime/EntryInput.h"
#include "runtime/ExplainLog.h"
#include "runtime/SettingsHolder.h"

#include <memory>
#include <string>
#include <unordered_map>

namespace peridotspool::runtime {

/** When things happened on a caller's exchange. */
struct ExchangeTimes
{
  TimePoint mBegan;
  std::optional<TimePoint> mLastPiece;
};

/** The parts around the node that its effects are carried out with. */
struct EntryParts
{
  http::HttpServer& mServer;
  http::HttpClient& mClient;
  wire::PeerTransport& mTransport;
  SettingsHolder& mSettings;
  observe::Counters& mCounters;
  observe::Logger& mLogger;
};

/**
 * The deciding thread's work: feeds the node and carries its effects out.
 * Lives on that thread only.
 */
class EntryDecider
{
public:
  EntryDecider(request::EntryNodeOptions aOptions,
               std::string aName,
               EntryParts aParts,
               TimePoint aNow);

  void Take(EntryInput aInput, TimePoint aNow);
  void Tick(TimePoint aNow);
  /** Returns true once everything is handed over. */
  bool Left() const { return mLeft; }

private:
  void On(CommandInput& aInput);
  void On(GoneInput& aInput);
  void On(CallInput& aInput);
  void On(PeerInput& aInput);
  void On(LeaveInput& aInput);

  void OnCommand(http::ExchangeId aExchange, http::DirectoryCommand& aCommand);
  void OnCommand(http::ExchangeId aExchange, http::SubmitCommand& aCommand);
  void OnCommand(http::ExchangeId aExchange, http::AttachCommand& aCommand);
  void OnCommand(http::ExchangeId aExchange, http::CancelCommand& aCommand);
  void OnCommand(http::ExchangeId aExchange,
                 http::AcknowledgeCommand& aCommand);
  void OnCommand(http::ExchangeId aExchange, http::AnnounceCommand& aCommand);
  void OnCommand(http::ExchangeId aExchange, http::StatusCommand& aCommand);
  void OnCommand(http::ExchangeId aExchange, http::ExplainCommand& aCommand);
  void OnCommand(http::ExchangeId aExchange, http::ShowCommand& aCommand);
  void OnCommand(http::ExchangeId aExchange, http::DrainCommand& aCommand);
  void OnCommand(http::ExchangeId aExchange, http::MetricsCommand& aCommand);
  void OnCommand(http::ExchangeId aExchange, http::RefusedCommand& aCommand);

  void OnPayload(const Address& aFrom, const control::ReplicaEnvelope& aOne);
  void OnPayload(const Address& aFrom, const membership::EntryEnvelope& aOne);
  void OnPayload(const Address& aFrom, const wire::ToEntryEnvelope& aOne);
  void OnPayload(const Address& aFrom, const wire::MemberEnvelope& aOne);
  void OnPayload(const Address& aFrom, const membership::RegistryMessage& aOne);
  void OnPayload(const Address& aFrom, const gateway::PeerMessage& aOne);
  void OnPayload(const Address& aFrom, const control::RelayRequest& aOne);
  void OnPayload(const Address& aFrom, const control::RelayedRequests& aOne);
  void OnPayload(const Address& aFrom, const control::RelayedReplies& aOne);

  void Step(const request::EntryNodeEvent& aEvent);
  void Carry(const request::ToControlReplicaEffect& aEffect);
  void Carry(const request::ToMemberEffect& aEffect);
  void Carry(const request::ApplySettingsEffect& aEffect);
  void Carry(const request::BecameMemberEffect& aEffect);
  void Carry(const request::EpochAdoptedEffect& aEffect);
  void Carry(const request::LostMembershipEffect& aEffect);
  void Carry(const request::LeftEffect& aEffect);
  void Carry(const request::StartUpstreamEffect& aEffect);
  void Carry(const request::DropUpstreamEffect& aEffect);
  void Carry(const request::CancelUpstreamEffect& aEffect);
  void Carry(const request::ReplyEffect& aEffect);
  void Carry(const request::CountEffect& aEffect);
  void Carry(const request::ExplainEffect& aEffect);

  void LogTally(request::Tally aTally);
  void SetGauges();
  void SendPeer(const Address& aTo, wire::PeerPayload aPayload);
  void Measure(http::ExchangeId aExchange, const request::Reply& aReply);
  void Forget(http::ExchangeId aExchange);
  void Write(http::ExchangeId aExchange, http::CallerOutput aOutput);
  void BeginExchange(http::ExchangeId aExchange,
                     bool aStream,
                     const RequestKey& aKey);
  void RespondJson(http::ExchangeId aExchange, std::string aBody);

  std::string mName;
  EntryParts mParts;
  request::EntryNode mNode;
  /** When each exchange of a request began, for the histograms. */
  std::unordered_map<http::ExchangeId, ExchangeTimes> mTimes;
  std::unordered_map<http::ExchangeId, http::CallerExchange> mExchanges;
  std::unordered_map<http::ClientCallId, http::AnswerReader> mReaders;
  ExplainLog mExplain;
  /** Calls that tell an engine to stop; nobody waits for their answers. */
  http::ClientCallId mLastSideCall;
  bool mLeft = false;
  TimePoint mNextReachCheck;
  TimePoint mNow;
};

} // namespace peridotspool::runtime
