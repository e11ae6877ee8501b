#include "runtime/DutyRunner.h"

#include "peridotspool/base/Overloaded.h"
#include "peridotspool/base/PackedText.h"
#include "peridotspool/http/RetryAfterField.h"
#include "peridotspool/runtime/SystemClock.h"
#include "runtime/HostParts.h"

#include <boost/describe/enum_to_string.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace peridotspool::runtime {

namespace {

constexpr Duration kEndedAfter = std::chrono::seconds(30);
constexpr Duration kLimitLogPeriod = std::chrono::seconds(1);
constexpr Duration kDutyPeriod = std::chrono::milliseconds(100);
constexpr std::chrono::milliseconds kCloudTimeout{ 2000 };
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kUnavailable = 503;
/** This replica's own clock among those of the entries' lives. */
constexpr std::uint64_t kOwnClock = 0;

std::string
TextOf(const fleet::CloudCall& aCall)
{
  return std::visit(
    Overloaded{ [](const gateway::UsageWindow& aWindow) {
                 return "usage window=" + std::to_string(aWindow.mNumber);
               },
                [](const fleet::PoolOrder& aOrder) {
                  return "pool " + aOrder.mService.Value() + " " +
                         aOrder.mDomain.Value() +
                         (aOrder.mReclaimable ? " reclaimable=" : " lasting=") +
                         std::to_string(aOrder.mDesired);
                } },
    aCall);
}

/** Returns how long the cloud wants no further call. */
Duration
CallPauseOf(const http::CallHead& aHead)
{
  const bool isTurnedAway =
    aHead.mStatus == kTooManyRequests || aHead.mStatus == kUnavailable;
  return isTurnedAway ? http::RetryAfterOf(aHead.mHeaders) : Duration(0);
}

} // namespace

DutyRunner::DutyRunner(const DutyHostOptions& aOptions,
                       const ControlDialect& aDialect,
                       const membership::UpstreamDirectory& aDirectory,
                       observe::Logger& aLogger,
                       TakeCloud aTakeCloud,
                       Propose aPropose,
                       Tell aTell)
  : mOptions(aOptions)
  , mDialect(aDialect)
  , mDirectory(aDirectory)
  , mLogger(aLogger)
  , mPropose(std::move(aPropose))
  , mTell(std::move(aTell))
  , mTasks(aOptions.mDuties)
  , mBank(aOptions.mQuota, 0, 0, {}, TimePoint())
  , mRollouts(aOptions.mRollout)
{
  if (!mOptions.mCloud) {
    return;
  }
  mClient = std::make_unique<http::HttpClient>(
    http::HttpClientOptions{ .mConnectTimeout = kCloudTimeout,
                             .mSilenceTimeout = kCloudTimeout },
    [take = std::move(aTakeCloud)](http::ClientCallId aCall,
                                   const http::CallEvent& aEvent) {
      if (const auto* head = std::get_if<http::CallHead>(&aEvent)) {
        take({ .mNumber = aCall,
               .mStatus = head->mStatus,
               .mRetryAfter = CallPauseOf(*head) });
      } else if (std::holds_alternative<http::CallFailed>(aEvent)) {
        take({ .mNumber = aCall, .mStatus = 0 });
      }
    });
}

void
DutyRunner::Take(const Address& aFrom,
                 const gateway::PeerMessage& aMessage,
                 const control::ControlNode& aNode,
                 TimePoint aNow)
{
  if (const auto* report = std::get_if<gateway::UsageReport>(&aMessage)) {
    mTasks.RecordReport(*report, aNow);
  }
  if (!aNode.Leads(aNow)) {
    return;
  }
  UseSettings(aNode, aNow);
  mHeard[aFrom].mAt = aNow;
  const routing::QuarantineTable& table = aNode.State().mQuarantine;
  std::visit(
    Overloaded{
      [&](const gateway::UsageReport& aReport) {
        TakeReport(aFrom, aReport, aNode, aNow);
      },
      [&](const gateway::QuotaRequest& aAsk) {
        TakeAsk(aFrom, aAsk, aNode, aNow);
      },
      [&](const routing::CrashReport& aReport) {
        LogReport(aFrom, aReport);
        mTell(aFrom, mQuarantine.HandleReport(aFrom, aReport, table, aNow));
      },
      [&](const routing::PermitRequest& aAsk) {
        mTell(aFrom, mQuarantine.HandlePermitRequest(aFrom, aAsk, table, aNow));
      },
      [&](const rollout::RolloutReport& aReport) {
        TakeReport(aFrom, aReport, aNode, aNow);
      },
      [&](const routing::RunEnded& aEnded) {
        mQuarantine.HandleRunEnded(aFrom, aEnded, aNow);
      },
      [](const auto&) {} },
    aMessage);
}

void
DutyRunner::TakeAsk(const Address& aFrom,
                    const gateway::QuotaRequest& aAsk,
                    const control::ControlNode& aNode,
                    TimePoint aNow)
{
  if (mBank.ApplyCommittedFloors(aNode.State().mQuotaFloors)) {
    AnswerHeld(aNow);
  }
  gateway::QuotaResponse grant = mBank.HandleRequest(aFrom, aAsk, aNow);
  if (!grant.mResults.empty()) {
    mTell(aFrom, std::move(grant));
  }
  TellQueued(mBank.TakeQueueResponses());
  ProposeFloors(aNow);
}

void
DutyRunner::AnswerHeld(TimePoint aNow)
{
  TellQueued(mBank.TakeDeferredResponses(aNow));
}

void
DutyRunner::ProposeFloors(TimePoint aNow)
{
  if (auto floors = mBank.ProposeFloors(aNow)) {
    mPropose(control::QuotaFloorsRequest{ std::move(*floors) });
  }
}

void
DutyRunner::TakeReport(const Address& aFrom,
                       const gateway::UsageReport& aReport,
                       const control::ControlNode& aNode,
                       TimePoint aNow)
{
  if (const auto micros = mTasks.CommonMicros(aNow)) {
    mTell(aFrom, gateway::MedianTime{ *micros });
  }
  for (const ContentId& content : aReport.mResubmittedContents) {
    mQuarantine.RecordResubmission(content, aNow);
  }
  if (mBank.HasLimits()) {
    mTell(aFrom, mBank.Renew(aFrom, aReport.mQuotaLease, aNow));
  }
  Heard& heard = mHeard[aFrom];
  heard.mQuarantine = aReport.mQuarantine;
  heard.mLife = aReport.mEntryIncarnation;
  TellQuarantine(aFrom, heard, aNode.State().mQuarantine);
  if (aReport.mRollouts != aNode.State().mRollouts.mNumber) {
    TellRollouts(aFrom, heard, aNode);
  }
}

// Each report says what its entry knows: what got lost on the way, or was told
// by a leader that is gone, is told with the next one.
void
DutyRunner::TellQuarantine(const Address& aTo,
                           Heard& aHeard,
                           const routing::QuarantineTable& aTable)
{
  if (aHeard.mQuarantine != aTable.mNumber) {
    mTell(aTo, aTable.UpdateSince(aHeard.mQuarantine));
    aHeard.mQuarantine = aTable.mNumber;
  }
}

// Entries are told of a change as soon as it is committed; by their own reports
// alone an upstream more would end meanwhile.
void
DutyRunner::KeepQuarantine(const control::ControlNode& aNode, TimePoint aNow)
{
  const routing::QuarantineTable& table = aNode.State().mQuarantine;
  for (auto& [address, heard] : mHeard) {
    if (heard.mQuarantine != 0) {
      TellQuarantine(address, heard, table);
    }
  }
  auto changes = mQuarantine.PendingChanges(table, aNow);
  if (!changes.empty()) {
    std::for_each(changes.begin(), changes.end(), [&](const auto& aChange) {
      LogChange(aChange);
    });
    mPropose(control::QuarantineChangeRequest{ std::move(changes) });
  }
}

void
DutyRunner::LogReport(const Address& aFrom, const routing::CrashReport& aReport)
{
  constexpr std::size_t kMaxLoggedParts = 16;
  for (const routing::ReportedCrash& crash : aReport.mLines) {
    std::string parts;
    const std::size_t named = std::min(kMaxLoggedParts, crash.mParts.size());
    for (std::size_t i = 0; i < named; ++i) {
      parts += (i == 0 ? "" : ",") + ToText(crash.mParts[i]);
    }
    mLogger.Log(observe::EventId::kCrashReported,
                { { "content", ToText(crash.mContent) },
                  { "parts", parts },
                  { "upstream", crash.mUpstream },
                  { "incarnation", crash.mIncarnation },
                  { "entry", ToText(aFrom) },
                  { "sent_age_ms", crash.mSentAgeMs },
                  { "lost_age_ms", crash.mLostAgeMs },
                  { "permit", crash.mHadPermit } });
  }
}

void
DutyRunner::LogChange(const routing::QuarantineChange& aChange)
{
  std::string ends;
  for (const routing::CrashRecord& crash : aChange.mCrashes) {
    ends += (ends.empty() ? "" : ",") + crash.mUpstream.Value() + "/" +
            std::to_string(crash.mIncarnation.Value()) + " by " + crash.mSeenBy;
  }
  const auto part = PartOf(aChange.mContent);
  const bool isWatched = aChange.mStage == routing::QuarantineStage::kWatched;
  mLogger.Log(
    isWatched ? observe::EventId::kPromptPartWatched
              : observe::EventId::kQuarantineChanged,
    { { "content", ToText(aChange.mContent) },
      { "part", part ? ToText(*part) : "" },
      { "stage", boost::describe::enum_to_string(aChange.mStage, "") },
      { "counted", aChange.mCounted },
      { "customers", aChange.mCustomers.size() },
      { "answered_before", aChange.mAnsweredBefore },
      { "others_allowed", aChange.mOthersAllowed },
      { "late_permits", aChange.mLatePermits },
      { "ends", ends } });
}

// A new leader begins with what the log says of the accounts of earlier ones.
void
DutyRunner::UseSettings(const control::ControlNode& aNode, TimePoint aNow)
{
  const auto& settings = aNode.State().mSettings;
  if (!mLed) {
    mLed = true;
    mRevision = Revision();
    mEpoch = EpochNumber();
    mBank = gateway::QuotaAllocator(mOptions.mQuota,
                                    RandomNumber(),
                                    aNode.CurrentTerm().Value(),
                                    aNode.State().mQuotaFloors,
                                    aNow);
    mQuarantine = routing::QuarantineLeader(aNode.State().mQuarantine, aNow);
    mRollouts = rollout::RolloutController(mOptions.mRollout);
    mHeard.clear();
  }
  const membership::EpochMap& members = aNode.State().mMembership.mCurrent;
  if (members.mEpoch != mEpoch) {
    mEpoch = members.mEpoch;
    std::vector<Address> entries;
    for (const membership::Member& member : members.mMembers) {
      entries.push_back(member.mPeerAddress);
    }
    mBank.SetEntries(entries, aNow);
  }
  if (settings.mRevision == mRevision || !mDialect.mReadDocument) {
    return;
  }
  const bool begins = mRevision == Revision();
  mRevision = settings.mRevision;
  LastReason reason;
  const auto text = UnpackText(settings.mText);
  mTable = text ? mDialect.mReadDocument(*text, reason) : std::nullopt;
  if (mTable) {
    mBank.SetCustomers(mTable->Source().mCustomers, aNow);
    TellQueued(mBank.ServeQueues(aNow));
    if (begins) {
      OfferLeases(aNode, aNow);
      mLogger.Log(observe::EventId::kLimitAccountsBegun,
                  { { "term", aNode.CurrentTerm() },
                    { "customers", mTable->Source().mCustomers.size() },
                    { "floors", aNode.State().mQuotaFloors.mNumber },
                    { "listed", aNode.State().mQuotaFloors.mUnits.size() } });
    }
  }
}

// Entries would find a new leader by themselves some time later.
void
DutyRunner::OfferLeases(const control::ControlNode& aNode, TimePoint aNow)
{
  if (!mBank.HasLimits()) {
    return;
  }
  for (const auto& member : aNode.State().mMembership.mCurrent.mMembers) {
    mTell(member.mPeerAddress, mBank.Renew(member.mPeerAddress, {}, aNow));
  }
}

void
DutyRunner::LogLimits(TimePoint aNow)
{
  if (aNow - mLimitsLoggedAt < kLimitLogPeriod) {
    return;
  }
  mLimitsLoggedAt = aNow;
  for (const gateway::QuotaStatistics& one : mBank.TakeStatistics()) {
    mLogger.Log(observe::EventId::kLimitAccount,
                { { "customer", one.mCustomer },
                  { "granted", one.mGranted },
                  { "stock", one.mPrefetched },
                  { "refused", one.mRefused },
                  { "balance", one.mBalance },
                  { "most", one.mMaxBalance } });
  }
}

void
DutyRunner::ForgetSilent(TimePoint aNow)
{
  std::erase_if(mHeard, [&](const auto& aPair) {
    return aNow - aPair.second.mAt > kEndedAfter;
  });
}

void
DutyRunner::KeepLimits(const control::ControlNode& aNode, TimePoint aNow)
{
  mBank.ApplyCommittedFloors(aNode.State().mQuotaFloors);
  AnswerHeld(aNow);
  ProposeFloors(aNow);
  const std::size_t uncovered = mBank.Leases().UnleasedEntries();
  if (uncovered != mUncovered) {
    mUncovered = uncovered;
    mLogger.Log(observe::EventId::kLimitFlow,
                { { "part", mBank.LeaderShare() },
                  { "entries", mBank.Leases().MemberCount() },
                  { "uncovered", uncovered } });
  }
  LogLimits(aNow);
}

void
DutyRunner::Tick(const control::ControlNode& aNode, TimePoint aNow)
{
  ServeQueues(aNode, aNow);
  if (aNow - mTickedAt < kDutyPeriod) {
    return;
  }
  mTickedAt = aNow;
  const bool leads = aNode.Leads(aNow);
  if (leads) {
    UseSettings(aNode, aNow);
    mTasks.RecordWallClock(kOwnClock, ReadWallMicros(), aNow);
    ForgetSilent(aNow);
    KeepLimits(aNode, aNow);
    KeepQuarantine(aNode, aNow);
    KeepRollouts(aNode, aNow);
  } else {
    mLed = false;
  }
  if (!mClient) {
    return;
  }
  const auto pools = Pools(aNode.State().mRollouts, aNow);
  const auto effects =
    mTasks.Tick(fleet::LeaderTaskView{ .mLeads = leads,
                                       .mTerm = aNode.CurrentTerm().Value(),
                                       .mCommitted = &aNode.State().mUsage,
                                       .mTable = mTable ? &*mTable : nullptr,
                                       .mPools = &pools },
                aNow);
  for (const fleet::LeaderTaskEffect& effect : effects) {
    std::visit(
      Overloaded{ [&](const fleet::CommitUsage& aOne) {
                   mPropose(control::UsageRequest{ aOne.mWindow });
                 },
                  [&](const fleet::SendCloudCall& aOne) { Call(aOne); },
                  [&](const fleet::CancelCloudCall& aOne) { Cancel(aOne); } },
      effect);
  }
}

void
DutyRunner::Call(const fleet::SendCloudCall& aCall)
{
  mCalls[aCall.mNumber] = TextOf(aCall.mCall);
  mLogger.Log(observe::EventId::kDutyCalled,
              { { "call", aCall.mNumber },
                { "what", TextOf(aCall.mCall) },
                { "fence", aCall.mFence } });
  mClient->Start(
    aCall.mNumber,
    *mOptions.mCloud,
    mDialect.mWriteDuty(
      aCall.mCall, { .mHolder = mOptions.mHolder, .mFence = aCall.mFence }));
}

void
DutyRunner::Cancel(const fleet::CancelCloudCall& aCall)
{
  mClient->Cancel(aCall.mNumber);
  mLogger.Log(observe::EventId::kDutyCancelled,
              { { "call", aCall.mNumber }, { "what", mCalls[aCall.mNumber] } });
  mCalls.erase(aCall.mNumber);
}

void
DutyRunner::Take(const CloudInput& aInput, TimePoint aNow)
{
  mLogger.Log(observe::EventId::kDutyAnswered,
              { { "call", aInput.mNumber },
                { "what", mCalls[aInput.mNumber] },
                { "status", aInput.mStatus },
                { "retry_after_ms", aInput.mRetryAfter } });
  mCalls.erase(aInput.mNumber);
  mTasks.HandleResult(aInput.mNumber, aInput.mStatus, aInput.mRetryAfter, aNow);
}

} // namespace peridotspool::runtime
