#pragma once

#include "gateway/Gateway.h"
#include "gateway/TunnelServer.h"
#include "peridotspool/http/HttpServer.h"
#include "peridotspool/membership/ControlSession.h"
#include "peridotspool/runtime/GatewayHost.h"
#include "peridotspool/wire/PeerEnvelope.h"
#include "peridotspool/wire/PeerTransport.h"
#include "runtime/FrameInbox.h"
#include "runtime/PeerTally.h"
#include "runtime/UpstreamFeed.h"

#include <atomic>
#include <memory>
#include <optional>
#include <thread>

namespace peridotspool::runtime {

/**
 * The one thread of an entry that relays verbatim exchanges: callers,
 * upstreams, the session with control, and what entries share. The decisions
 * are those of the steps that it hosts.
 */
class GatewayRelay
{
public:
  GatewayRelay(settings::NodeSettings aSettings, GatewayDialect aDialect);
  ~GatewayRelay();
  GatewayRelay(const GatewayRelay&) = delete;
  GatewayRelay& operator=(const GatewayRelay&) = delete;
  bool Start(LastReason& aReason);
  void Reload(settings::NodeSettings aSettings);
  void Leave();
  /** Returns once the process has left. */
  void Wait();

private:
  void MakeParts();
  void MakeServers();
  http::HttpResponse OnReadyRequest(const http::HttpRequest& aRequest);
  void StartSession();
  void OnFrame(const std::string& aFrame);
  /** Runs the relay thread's work until the process has left. */
  void RunWork();
  void TakeFrame(const ReceivedFrame& aFrame);
  void TakePush(const Address& aFrom, const membership::RegistryPush& aPush);
  void NoteLeader(const Address& aFrom,
                  const membership::ToEntryMessage& aMessage);
  void MeetLeader(const Address& aLeader);
  void TakeShared(const Address& aFrom, const gateway::PeerMessage& aMessage);
  void TakeQuotaResponse(const gateway::QuotaResponse& aResponse,
                         TimePoint aNow);
  void Decide(const std::vector<gateway::DeferredQuotaDecision>& aDecided);
  void SendPull(const Address& aTo);
  void SendPeer(const Address& aTo, wire::PeerPayload aPayload);
  void Step(const membership::ControlSessionEvent& aEvent);
  void Carry(const membership::ToControlEffect& aEffect);
  void Carry(const membership::ToRelayEffect& aEffect);
  void Carry(const membership::JoinedEffect& aEffect);
  void Carry(const membership::RemovedEffect& aEffect);
  void Carry(const membership::DrainEffect& aEffect);
  void Carry(const membership::NewSettingsEffect& aEffect);
  void Carry(const membership::NewEpochEffect& aEffect);
  void Tick();
  void PullUpstreams(TimePoint aNow);
  void ReportUsage(TimePoint aNow);
  void SendReport(const gateway::PeerMessage& aReport, bool aToAllVoters);
  void TellEntry(const Address& aTo, gateway::PeerMessage aMessage);
  void NoteLostLeader(TimePoint aNow);
  void BeginStop();
  bool GoOnStopping(TimePoint aNow);

  // First: it is aligned to cache lines.
  observe::Counters mCounters;
  settings::NodeSettings mSettings;
  GatewayDialect mDialect;
  http::net::io_context mIo{ 1 };
  http::net::steady_timer mTimer;
  std::unique_ptr<observe::Logger> mLogger;
  std::unique_ptr<wire::PeerTransport> mTransport;
  std::unique_ptr<http::HttpServer> mReadyServer;
  std::unique_ptr<gateway::GatewayCore> mCore;
  std::unique_ptr<gateway::Gateway> mGateway;
  std::unique_ptr<gateway::TunnelServer> mTunnelServer;
  std::optional<membership::ControlSession> mSession;
  std::optional<UpstreamFeed> mFeed;
  std::atomic<bool> mReady{ false };
  unsigned mReports = 0;
  FrameInbox mInbox;
  /** When the frame that is being handled was read from its connection. */
  TimePoint mFrameReceivedAt;
  TimePoint mPulledAt;
  TimePoint mPulledAllAt;
  TimePoint mReportedAt;
  /** The control leader, as it said itself, and when it last did. */
  std::optional<Address> mLeader;
  TimePoint mLeaderHeardAt;
  TrafficLog mTraffic;
  std::thread mRelay;
};

} // namespace peridotspool::runtime
