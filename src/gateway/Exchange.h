#pragma once

#include "gateway/CallerConnection.h"
#include "gateway/EventSplitter.h"
#include "gateway/GatewayCore.h"
#include "gateway/SlotWait.h"
#include "gateway/UpstreamConnection.h"
#include "peridotspool/gateway/AttemptPolicy.h"
#include "peridotspool/gateway/HeaderRules.h"
#include "peridotspool/gateway/StreamEnd.h"
#include "peridotspool/routing/EngineUrgency.h"
#include "peridotspool/routing/GateRequest.h"
#include "peridotspool/streams/ResumePolicy.h"
#include "peridotspool/streams/StreamOrigin.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peridotspool::gateway {

/**
 * Serves one caller's request: finds its route, sends it to one or more
 * upstreams and relays exactly one response. AttemptPolicy and UpstreamSelector
 * decide; this class applies their decisions to the caller's and the
 * upstream's connection.
 */
class Exchange
  : public UpstreamListener
  , public std::enable_shared_from_this<Exchange>
{
public:
  Exchange(GatewayCore& aCore,
           std::shared_ptr<CallerConnection> aCaller,
           CallerRequest aRequest);

  /** Sets a function that is called once when the exchange has ended. */
  void SetOnEnded(std::function<void()> aCall) { mOnEnded = std::move(aCall); }
  void Start();
  /** Called when the caller has disconnected. */
  void Cancel();
  /** The process stops: refuses the request if it hasn't been sent yet. */
  void RefuseIfUnsent();
  /** The process ends: answers the request unless its response has begun. */
  void EndWithProcess();
  /** Sends the request elsewhere if it waits on a connection whose path is lost
   * and may run again.
   * @param aAreOwnSilent connections that no other entry relays carry nothing
   */
  void FailIfStalled(bool aAreOwnSilent);

  bool OnConnected() override;
  bool OnHead(ResponseHead aHead) override;
  void OnBody(std::string aBytes) override;
  void OnEnd() override;
  void OnConnectionFailed(const ConnectionFailure& aFailure) override;
  limits::ResponseGuard& Guard() override { return mGuard; }
  void OnHeld(std::size_t aBytes) override;
  void OnBoundBroken(const limits::BrokenBound& aBroken) override;

private:
  /** Whether the version that began the stream is recorded. */
  enum class OriginState
  {
    kNone,
    /** The first events wait until another entry holds the record. */
    kReplicating,
    kRecorded,
  };

  bool WaitForStartup();
  /** Lets the request wait until something changes, for aWait at most. */
  void ResumeWithin(Duration aWait);
  void ResumeAfterStartup();
  bool Admit();
  /** Answers a request that the settings in force don't allow. */
  void RefuseBySettings(unsigned aStatus,
                        const char* aReason,
                        observe::CounterId aCounter);
  void LogRefusalBySettings(const char* aReason);
  void RefuseAsStopping();
  bool MayOutliveProcess() const;
  void RequestQuota();
  /** Returns how the request may wait for its customer's limit; empty if
   * requests don't wait. */
  std::optional<limits::QuotaWait> WaitForQuota();
  std::optional<Duration> ExpectedTime() const;
  void LeaveQuotaWait();
  void RecordQuotaWait(const DeferredQuotaDecision& aDecided);
  void CancelQuota();
  void LogQuotaWait(const char* aOutcome, std::optional<Duration> aExpected);
  void RecordPlainCallTime(unsigned aStatus);
  void OnQuotaResponse(const DeferredQuotaDecision& aDecided);
  void OnQuotaGranted(const QuotaReceipt& aReceipt);
  void ReturnQuota(const QuotaReceipt& aReceipt);
  void RefuseForQuota(Duration aRetryAfter, QuotaSource aDecidedBy);
  double Units() const;
  void CountUsage();
  void ChooseService();
  /** Fills in what the quarantine knows the request by. */
  void DescribeToGate();
  void Proceed();
  /** Returns true iff the caller resumes a stream of an earlier request. */
  bool IsResumption() const;
  std::string_view ResumedRequest() const;
  streams::StreamKey StreamKeyFor(std::string_view aRequestId) const;
  streams::OriginAnswer OriginWithoutName() const;
  void LookUpOrigin();
  void OnOriginFound(const streams::OriginAnswer& aAnswer);
  void LogResume(const streams::OriginAnswer& aAnswer,
                 streams::ResumeVerdict aVerdict);
  void RefuseResume(streams::ResumeVerdict aVerdict);
  bool HoldFirstEvents(std::string_view aEvents);
  bool IsVersionUncertain() const;
  void DropUncertainEvents();
  void RecordOrigin();
  void WaitForReplication();
  void ReleaseFirstEvents();
  void CancelOriginCall();
  Duration TimeLeft() const;
  AttemptState CurrentState() const;
  void Dispatch();
  void ChooseVersion();
  rollout::VersionAnswer MakeVersionAnswer(bool aFailed) const;
  void RecordVersionAnswer(bool aFailed);
  void RecordOverdueAnswer();
  bool QueryLoad();
  void OnLoadQueryDone();
  void CancelLoadQuery();
  void ChooseAndSend();
  std::optional<Duration> LoadSheddingRetryAfter(
    const UpstreamChoice& aChoice) const;
  void RefuseAsLate(const UpstreamChoice& aChoice, Duration aRetryAfter);
  void SendTo(const UpstreamChoice& aChoice);
  void RecordChoice(const UpstreamChoice& aChoice);
  /** Returns the beginning of a field of the caller's request. */
  std::string LoggedField(std::string_view aName) const;
  void LogSent(const UpstreamChoice& aChoice, bool aOnOpenConnection);
  void ReportSent(const UpstreamChoice& aChoice);
  std::uint64_t EngineCacheTokens() const;
  void ReportPrefillDone();
  bool TellEnded(SendResult aResult);
  void RecordEstimateError(TimePoint aNow);
  std::optional<routing::WorkObservation> ObservePrefill(TimePoint aNow);
  void ObserveEnd();
  void RecordLoad();
  void RecordStatedLimit();
  void RecordBrittleness();
  void RecordWithdrawal(const ResponseHead& aHead);
  /** Returns how much rest a response asks for. */
  Duration StatedRest(const ResponseHead& aHead);
  void ReportToRelayingEntry(Duration aRest, bool aLeaves);
  void LogTurnedAway(const ResponseHead& aHead);
  /** Returns the rest of the current upstream that is left. */
  Duration RestLeft() const;
  /** Returns true iff the current response asks for rest. */
  bool AsksForRest() const;
  void OnSendCancelled();
  /** Returns the seconds after which a refused request may return.
   * @param aElse used unless all upstreams rest */
  double RefusalRetryAfter(double aElse) const;
  /** Returns the time to a rest's end, or a little more if that is too short to
   * return in. */
  Duration TimeUntil(TimePoint aRestEnd) const;
  void RefuseForRest(TimePoint aUntil);
  void LogInvalidLimit(const std::vector<std::string_view>& aValues);
  void ReportLimit(double aPerSecond);
  Duration MaxPermitWait(const UpstreamChoice& aChoice) const;
  void SendIfPermitted(const UpstreamChoice& aChoice);
  void OnPermitDecision(const limits::PermitDecision& aDecision);
  void ChooseOther(const UpstreamName& aDenied, Duration aRetryAfter);
  void RefuseForUpstreamLimit();
  void RefuseForBrittleUpstreams();
  /** Returns one to two times the wait, in seconds. */
  double SpreadRetryAfter(Duration aWait) const;
  void LogPermitDecision(const UpstreamChoice& aChoice,
                         const char* aOutcome,
                         Duration aRetryAfter);
  void CancelPermit();
  void SendWhenSlotIsFree(const UpstreamChoice& aChoice);
  bool NeedsSlot(const UpstreamChoice& aChoice) const;
  std::optional<UpstreamChoice> FindFreeUpstream() const;
  routing::SlotDemand MakeSlotDemand(const UpstreamChoice& aChoice) const;
  double CustomerWeight() const;
  void AskForSlot(const UpstreamChoice& aChoice);
  void OnSlotDecision(const routing::SlotDecision& aDecision);
  void OnSlotDenied(const routing::SlotDecision& aDecision);
  void RefuseForSlot(const routing::SlotDecision& aDecision);
  void LogSlotDecision(const routing::SlotDecision& aDecision);
  void CancelSlot();
  /** Returns the granted slot's tag, or a new number. */
  std::uint64_t TakeSendId();
  /** Learns how long calls without a prompt usually take. */
  void RecordCallTime(SendResult aResult);
  bool IsNotRun() const;
  std::optional<unsigned> EnginePriority() const;
  /** Returns the customer's priority, or else the route's. */
  /** Returns true iff priorities, deadlines and customers share the service's
   * capacity. */
  bool SharesCapacity() const;
  std::uint32_t EffectivePriority() const;
  std::optional<routing::SendAccount> AccountFor(
    std::uint64_t aPrefillTokens) const;
  /** Returns what the ended send used, where customers share capacity; empty
   * if it can't be known. */
  std::optional<std::uint64_t> UsedTokens() const;
  void ExcludeRateSample(const UpstreamChoice& aChoice);
  void DecideEngineUrgency(const UpstreamChoice& aChoice);
  /** Returns the level that the engine is told; empty for no engine. */
  std::optional<unsigned> EngineLevel() const;
  const char* LevelReason() const;
  /** Returns -1 if unknown. */
  std::int64_t SharePercent() const;
  void EndAttempt(SendResult aResult);
  void RetryElsewhere(observe::CounterId aRetry);
  void ApplyNextStep(NextStep aStep,
                     const char* aReason,
                     observe::CounterId aRetry);
  void ApplyBackpressure();
  void BeginStream();
  void RelayEvents(std::string_view aEvents);
  /** How the current upstream's response is framed; for the log. */
  const char* FramingText() const;
  void LogConnectionFailure(const ConnectionFailure& aFailure);
  routing::LostResponse LostResponseNow() const;
  void RecordConnectionLoss(const ConnectionFailure& aFailure);
  bool RequestPermit();
  void OnGateOutcome(std::uint64_t aTag, routing::GateOutcome aOutcome);
  void ResumeAfterGate();
  void RefuseQuarantined(routing::GateOutcome aOutcome,
                         const ContentId& aRefused);
  void LeaveQuarantineGate();
  void ReleasePermit();
  void RecordAnswered(routing::AnswerEvidence aEvidence);
  /** Records a whole successful response for the quarantine. */
  void RecordCompletion();
  void LogPermit(const char* aOutcome);
  void FinishBuffered();
  void FinishStream();
  void OnStreamBrokenOff(StreamEnd aEnd);
  /** Ends the attempt if a bound is broken. */
  void ApplyBound(const std::optional<limits::BrokenBound>& aBroken);
  void CheckAnnouncedLength();
  void LogBrokenBound(const limits::BrokenBound& aBroken);
  /** Gives back what the entry's budget counts for the response. */
  void ReleaseHeldBytes();
  void OnTimeout();
  void SendLocalResponse(unsigned aStatus,
                         const char* aReason,
                         double aRetryAfter = 0);
  void AbortResponse(const char* aReason);
  void End(unsigned aStatus, const char* aReason);
  bool KeepAlive() const;
  /** Returns true iff what happens on the connection says nothing about the
   * upstream, as this entry's path is lost. */
  bool IsPathLost() const;
  bool IsRelaySilent() const;

  GatewayCore& mCore;
  std::shared_ptr<CallerConnection> mCaller;
  CallerRequest mRequest;
  std::shared_ptr<const RouteTable> mTable;
  const Route* mRoute = nullptr;
  const Customer* mCustomer = nullptr;
  ServiceName mService;
  std::string mId;
  routing::GateRequest mGateRequest;
  TimePoint mArrivedAt;
  TimePoint mDeadline;
  http::net::steady_timer mDeadlineTimer;
  http::net::steady_timer mWaitTimer;
  http::net::steady_timer mLoadQueryTimer;
  SelectionQuery mSelectionQuery;

  std::shared_ptr<UpstreamConnection> mConnection;
  UpstreamName mUpstream;
  Address mUpstreamAddress;
  FailureDomain mUpstreamDomain;
  VersionName mVersion;
  /** Why these versions of the service were chosen; for the log. */
  const char* mVersionReason = "";
  /** Where the stream began: of a resumed one, or of one whose first event has
   * come. */
  std::optional<streams::StreamOrigin> mOrigin;
  OriginState mOriginState = OriginState::kNone;
  /** Tag of the pending write or lookup of the origin; 0 for none. */
  std::uint64_t mOriginTag = 0;
  http::net::steady_timer mOriginTimer;
  TimePoint mOriginSentAt;
  /** How long the first events waited for the origin to be recorded. */
  Duration mOriginTook{ 0 };
  /** Events that wait for the origin to be recorded. */
  std::string mHeldEvents;
  /** The response ended while its events waited. */
  bool mHeldEnd = false;
  /** Number of batches of events that the current upstream has sent. */
  std::uint64_t mEventBatches = 0;
  TimePoint mFirstBatchAt;
  SentRequest mSent;
  std::uint64_t mQuotaTag = 0;
  /** Set while the request counts as one that waits for its customer's limit.
   */
  bool mInQuotaWaitRoom = false;
  TimePoint mQuotaRequestedAt;
  /** Tag of the pending request for a permit; 0 for none. */
  std::uint64_t mGateTag = 0;
  /** Permit to run a quarantined content, held until the run ends; 0 for none.
   */
  std::uint64_t mPermit = 0;
  TimePoint mGateWaitStart;
  /** Tag of the pending load query; 0 for none. */
  std::uint64_t mLoadQueryTag = 0;
  TimePoint mLoadQueriedAt;
  Duration mLoadQueryTook{ 0 };
  /** What the customer used lately of upstreams, in percent of its share there,
   * as their coordinators answered. */
  std::map<UpstreamName, std::uint32_t> mSharePercents;
  /** Of the current send; empty where requests share no capacity. */
  std::optional<routing::Urgency> mUrgency;
  /** The load coordinator of the upstream that runs the request. */
  std::optional<Address> mCoordinator;
  std::uint64_t mLoadSendId = 0;
  /** Expected time to the first event, or to a plain call's end; empty once
   * it has been compared, or where upstreams' speeds are not learned. */
  std::optional<Duration> mExpected;
  /** What the end of the send shows of the upstream's speed. */
  std::optional<routing::WorkObservation> mEndObservation;
  /** Tag of the pending permit request; 0 for none. */
  std::uint64_t mPermitTag = 0;
  Address mPermitCoordinator;
  TimePoint mPermitRequestedAt;
  /** The choice that waits for a permit. */
  UpstreamChoice mPermitChoice;
  /** The permit of the current send; empty without one. */
  std::optional<limits::PermitReceipt> mSendPermit;
  /** The shortest time after which a limited upstream can take the request. */
  std::optional<Duration> mPermitRetryAfter;
  /** Null until the request has asked for a slot. */
  std::unique_ptr<SlotWait> mSlotWait;
  /** The request has been counted against its customer's limit. */
  bool mQuotaGranted = false;
  QuotaReceipt mReceipt;
  bool mUsageCounted = false;
  std::uint32_t mRuns = 0;
  std::uint32_t mRefusals = 0;
  ResponseHead mHead;
  std::string mBody;
  EventSplitter mEvents;
  limits::ResponseGuard mGuard;
  /** Identifies the response in the entry's budget; 0 while it holds nothing.
   */
  std::uint64_t mHeldTag = 0;
  bool mWaitingForStartup = false;
  bool mIsStream = false;
  /** The head of the response has been sent to the caller. */
  bool mBegun = false;
  TimePoint mFirstEventAt;
  TimePoint mLastEventAt;
  Duration mMaxGap{ 0 };
  bool mEnded = false;
  std::function<void()> mOnEnded;
};

} // namespace peridotspool::gateway
