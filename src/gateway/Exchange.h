#pragma once

#include "gateway/CallerLink.h"
#include "gateway/EventSplitter.h"
#include "gateway/GatewayCore.h"
#include "gateway/UpstreamLink.h"
#include "peridotspool/gateway/AttemptPolicy.h"
#include "peridotspool/gateway/HeaderRules.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace peridotspool::gateway {

/**
 * The life of one caller's request: its route, the upstreams that it is sent
 * to, and its one answer. Decisions are AttemptPolicy's and UpstreamSelector's;
 * this carries them out on the two connections.
 */
class Exchange
  : public UpstreamListener
  , public std::enable_shared_from_this<Exchange>
{
public:
  Exchange(GatewayCore& aCore,
           std::shared_ptr<CallerLink> aCaller,
           CallerRequest aRequest);

  /** Called once when the exchange is over. */
  void OnOver(std::function<void()> aCall) { mOnOver = std::move(aCall); }
  void Start();
  /** The caller left. */
  void Cancel();

  bool OnHead(UpstreamHead aHead) override;
  void OnBody(std::string aBytes) override;
  void OnEnd() override;
  void OnBroken(const LinkFailure& aFailure) override;

private:
  bool WaitForStart();
  void GoOn();
  bool Admit();
  bool OutlivesProcess() const;
  void AskQuota();
  void OnQuota(const QuotaDecided& aDecided);
  void TakeGranted(const QuotaReceipt& aReceipt);
  void GiveBack(const QuotaReceipt& aReceipt);
  void RefuseForQuota(Duration aComeBack, QuotaSource aDecidedBy);
  double Units() const;
  void CountUsage();
  void ChooseService();
  Duration TimeLeft() const;
  AttemptFacts Facts() const;
  void Dispatch();
  void ChooseVersion();
  rollout::VersionAnswer VersionAnswerOf(bool aFailed) const;
  void NoteVersion(bool aFailed);
  void NoteOverlong();
  bool QueryLoad();
  void OnLoadQueryDone();
  void CancelLoadQuery();
  void Place();
  std::optional<Duration> LoadSheddingRetryAfter(
    const UpstreamChoice& aChoice) const;
  void RefuseAsLate(const UpstreamChoice& aChoice, Duration aRetryAfter);
  void SendTo(const UpstreamChoice& aChoice);
  void NoteChosen(const UpstreamChoice& aChoice);
  void LogSent(const UpstreamChoice& aChoice);
  void ReportSent(const UpstreamChoice& aChoice);
  std::uint64_t EngineCacheTokens() const;
  void ReportPrefillDone();
  bool TellEnded(SendResult aResult);
  void TakeLoad();
  bool SaysNotRun() const;
  std::optional<unsigned> EnginePriority() const;
  void EndSend(SendResult aResult);
  void TryAnother(observe::CounterId aRetry);
  void Follow(NextStep aStep, const char* aReason, observe::CounterId aRetry);
  void WaitForCaller();
  void RelayEvents(std::string_view aEvents);
  void WitnessBreak(const LinkFailure& aFailure);
  bool PassGate();
  void OnGate(std::uint64_t aTag, routing::GateOutcome aOutcome);
  void GoOnFromGate();
  void RefuseAtGate(routing::GateOutcome aOutcome);
  void LeaveGate();
  void NoteAnswered();
  void LogTurn(const char* aOutcome);
  void FinishWhole();
  void FinishStream();
  void OnTimeout();
  void AnswerOwn(unsigned aStatus, const char* aReason, double aRetryAfter = 0);
  void BreakOff(const char* aReason);
  void End(unsigned aStatus, const char* aReason);
  bool KeepAlive() const;

  GatewayCore& mCore;
  std::shared_ptr<CallerLink> mCaller;
  CallerRequest mRequest;
  std::shared_ptr<const RouteTable> mTable;
  const Route* mRoute = nullptr;
  const Customer* mCustomer = nullptr;
  ServiceName mService;
  std::string mId;
  ContentId mContent;
  TimePoint mArrivedAt;
  TimePoint mDeadline;
  http::net::steady_timer mTimer;
  http::net::steady_timer mSlowTimer;
  http::net::steady_timer mAskTimer;
  SelectionQuery mQuestion;

  std::shared_ptr<UpstreamLink> mLink;
  UpstreamName mUpstream;
  Address mUpstreamAddress;
  VersionName mVersion;
  /** Why it goes to upstreams of these versions, for the log. */
  const char* mVersionReason = "";
  /** Pieces of its stream from the present upstream. */
  std::uint64_t mPieces = 0;
  TimePoint mFirstPieceAt;
  SentRequest mSent;
  std::uint64_t mQuotaTag = 0;
  /** The gate's tag that it waits under; 0 for none. */
  std::uint64_t mGateTag = 0;
  /** The turn of its content, until its run has ended; 0 for none. */
  std::uint64_t mTurn = 0;
  TimePoint mAtGateSince;
  /** The inquiry that it waits for; 0 for none. */
  std::uint64_t mAskTag = 0;
  TimePoint mAskedAt;
  Duration mAskTook{ 0 };
  /** Who keeps account of the send under way. */
  std::optional<Address> mCoordinator;
  std::uint64_t mLoadSend = 0;
  /** It counts against its customer's limit. */
  bool mGranted = false;
  QuotaReceipt mReceipt;
  bool mCounted = false;
  std::uint32_t mRuns = 0;
  std::uint32_t mRefusals = 0;
  UpstreamHead mHead;
  std::string mBody;
  EventSplitter mEvents;
  bool mWaitsForStart = false;
  bool mIsStream = false;
  /** The head of the answer is on its way to the caller. */
  bool mBegun = false;
  TimePoint mFirstEventAt;
  TimePoint mLastEventAt;
  Duration mWorstGap{ 0 };
  bool mOver = false;
  std::function<void()> mOnOver;
};

} // namespace peridotspool::gateway
