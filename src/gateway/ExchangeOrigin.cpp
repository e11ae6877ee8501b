// The version that began a stream: recorded before the first event is sent, and
// kept to when the stream is resumed.

#include "gateway/Exchange.h"
#include "peridotspool/streams/ResumePolicy.h"

#include <boost/describe/enum_to_string.hpp>

#include <algorithm>
#include <utility>

namespace peridotspool::gateway {

namespace {

using observe::CounterId;
using observe::EventId;
using streams::ResumeVerdict;

/** A caller may resume a stream until this long after the deadline of the
 * request that began it. */
constexpr Duration kOriginRetention = std::chrono::seconds(60);
/** How long the first event waits for another entry to hold the origin. */
constexpr Duration kReplicationTimeout = std::chrono::milliseconds(30);
/** Upstreams that have left are known for at least this long. A stream without
 * a name began no earlier. */
constexpr Duration kVersionHistory = std::chrono::seconds(60);
constexpr double kUndeterminedRetryAfterSeconds = 0.5;
constexpr unsigned kUnavailable = 503;

CounterId
CounterOf(ResumeVerdict aVerdict)
{
  switch (aVerdict) {
    case ResumeVerdict::kUndetermined:
      return CounterId::kRefusedResumeUndetermined;
    case ResumeVerdict::kNotResumable:
    case ResumeVerdict::kRouteMoved:
      return CounterId::kRefusedResumeRoute;
    case ResumeVerdict::kUpstreamUpgraded:
      return CounterId::kRefusedResumeVersion;
    default:
      return CounterId::kRefusedResumeUnknown;
  }
}

} // namespace

bool
Exchange::IsResumption() const
{
  const HeaderNames& names = mCore.mNames;
  return mRoute->mKind == RequestKind::kStreaming &&
         (!FieldOf(mRequest.mFields, names.mLastEvent).empty() ||
          !FieldOf(mRequest.mFields, names.mResumes).empty());
}

// Empty if the request names no stream, or several.
std::string_view
Exchange::ResumedRequest() const
{
  const auto values = FieldsOf(mRequest.mFields, mCore.mNames.mResumes);
  return values.size() == 1 ? values.front() : std::string_view();
}

streams::StreamKey
Exchange::StreamKeyFor(std::string_view aRequestId) const
{
  return streams::StreamKeyOf(
    mCustomer == nullptr ? CustomerName() : mCustomer->mName, aRequestId);
}

// Callers that know nothing of versions name no stream. They are served while
// the service has had a single version for as long as such a stream may have
// lasted. Only an entry that has been in contact with control all that time can
// tell: one that has started since doesn't know the versions that left before
// it, nor all that are there.
streams::OriginAnswer
Exchange::OriginWithoutName() const
{
  const bool hasField =
    !FieldsOf(mRequest.mFields, mCore.mNames.mResumes).empty();
  streams::OriginAnswer known = mCore.mOrigins.KnownVersion(mService);
  if (hasField || known.mKnowledge != streams::OriginKnowledge::kKnown ||
      mRoute->mShares.size() != 1) {
    return {};
  }
  if (!mCore.mContact.Covers(kVersionHistory, mCore.mNow())) {
    return { .mKnowledge = streams::OriginKnowledge::kUndetermined };
  }
  return known;
}

// What this entry knows of versions is out of date if it was cut off or stood
// still a moment ago, which it can't tell, so that others have to agree.
void
Exchange::LookUpOrigin()
{
  const std::weak_ptr<Exchange> weak = weak_from_this();
  const auto found = [weak](const streams::OriginAnswer& aAnswer) {
    if (const auto self = weak.lock()) {
      self->mOriginTag = 0;
      self->OnOriginFound(aAnswer);
    }
  };
  if (const std::string_view name = ResumedRequest(); !name.empty()) {
    mOriginTag = mCore.mOrigins.LookUp(StreamKeyFor(name), found);
    return;
  }
  const streams::OriginAnswer own = OriginWithoutName();
  if (own.mKnowledge == streams::OriginKnowledge::kKnown) {
    mOriginTag = mCore.mOrigins.ConfirmVersion(own.mOrigin, found);
  } else {
    OnOriginFound(own);
  }
}

void
Exchange::OnOriginFound(const streams::OriginAnswer& aAnswer)
{
  const streams::StreamOrigin& origin = aAnswer.mOrigin;
  const auto current = mCore.mSelector.VersionOf(origin.mUpstream);
  const ResumeVerdict verdict = streams::JudgeResume(
    { .mIsResumable = mRoute->mResumable,
      .mIsNamed = !ResumedRequest().empty(),
      .mKnowledge = aAnswer.mKnowledge,
      .mRouteHasService = std::any_of(mRoute->mShares.begin(),
                                      mRoute->mShares.end(),
                                      [&](const ServiceShare& aShare) {
                                        return aShare.mWeight > 0 &&
                                               aShare.mService ==
                                                 origin.mService;
                                      }),
      .mIsUpgraded = current && *current != origin.mVersion });
  LogResume(aAnswer, verdict);
  if (verdict != ResumeVerdict::kResume) {
    RefuseResume(verdict);
    return;
  }
  mCore.mCounters.Add(CounterId::kStreamResumed);
  mOrigin = origin;
  mService = origin.mService;
  mSelectionQuery.mService = mService;
  Proceed();
}

void
Exchange::LogResume(const streams::OriginAnswer& aAnswer,
                    ResumeVerdict aVerdict)
{
  mCore.mLogger.Log(
    EventId::kStreamResumeDecided,
    { { "request", mId },
      { "resumes", LoggedField(mCore.mNames.mResumes) },
      { "last_event", LoggedField(mCore.mNames.mLastEvent) },
      { "route", mRoute->mName },
      { "settings", mTable->Version() },
      { "knowledge", boost::describe::enum_to_string(aAnswer.mKnowledge, "") },
      { "service", aAnswer.mOrigin.mService },
      { "version", aAnswer.mOrigin.mVersion },
      { "upstream", aAnswer.mOrigin.mUpstream },
      { "lifetime_ms", aAnswer.mLifetimeMs },
      { "asked_ms", mCore.mNow() - mArrivedAt },
      { "verdict", boost::describe::enum_to_string(aVerdict, "") } });
}

void
Exchange::RefuseResume(ResumeVerdict aVerdict)
{
  mCore.mCounters.Add(CounterOf(aVerdict));
  SendLocalResponse(
    kUnavailable,
    streams::ReasonOf(aVerdict),
    streams::MayRetryResume(aVerdict) ? kUndeterminedRetryAfterSeconds : 0.0);
}

// Returns true iff the events have to wait until the origin is recorded.
bool
Exchange::HoldFirstEvents(std::string_view aEvents)
{
  if (mBegun || !mRoute->mResumable || mOriginState == OriginState::kRecorded) {
    return false;
  }
  if (mOriginState == OriginState::kNone) {
    RecordOrigin();
  }
  if (mOriginState == OriginState::kRecorded) {
    return false;
  }
  mHeldEvents.append(aEvents);
  return true;
}

// An upstream that announced another version after the request was sent may
// have run either one.
bool
Exchange::IsVersionUncertain() const
{
  const auto version = mCore.mSelector.VersionOf(mUpstream);
  const auto incarnation = mCore.mSelector.IncarnationOf(mUpstream);
  return (version && *version != mVersion) ||
         (incarnation && *incarnation != mSent.mIncarnation);
}

// The request isn't retried: the last event's id is that of an event that the
// caller doesn't get.
void
Exchange::DropUncertainEvents()
{
  mConnection->Drop();
  ++mRuns;
  EndAttempt(SendResult::kAnswered);
  ApplyNextStep(mBegun ? NextStep::kAbort : NextStep::kFail,
                "the upstream's version is uncertain",
                CounterId::kRetryCrossedAnswer);
}

void
Exchange::RecordOrigin()
{
  const Duration lifetime = TimeLeft() + kOriginRetention;
  if (const auto name = ResumedRequest(); mOrigin && !name.empty()) {
    mCore.mOrigins.Record(StreamKeyFor(name), *mOrigin, lifetime, {});
  } else if (!mOrigin && !IsVersionUncertain()) {
    mOrigin = streams::StreamOrigin{ .mService = mService,
                                     .mVersion = mVersion,
                                     .mUpstream = mUpstream };
  }
  mOriginState = OriginState::kRecorded;
  if (!mOrigin || mId.empty()) {
    return;
  }
  if (IsResumption()) {
    mCore.mOrigins.Record(StreamKeyFor(mId), *mOrigin, lifetime, {});
    return;
  }
  const std::weak_ptr<Exchange> weak = weak_from_this();
  mOriginTag =
    mCore.mOrigins.Record(StreamKeyFor(mId), *mOrigin, lifetime, [weak] {
      if (const auto self = weak.lock()) {
        self->ReleaseFirstEvents();
      }
    });
  if (mOriginTag != 0) {
    mOriginState = OriginState::kReplicating;
    WaitForReplication();
  }
}

void
Exchange::WaitForReplication()
{
  mOriginSentAt = mCore.mNow();
  mOriginTimer.expires_after(kReplicationTimeout);
  mOriginTimer.async_wait([weak = weak_from_this()](http::ErrorCode aError) {
    const auto self = weak.lock();
    if (!aError && self && self->mOriginState == OriginState::kReplicating) {
      self->mCore.mCounters.Add(CounterId::kStreamOriginUnconfirmed);
      self->ReleaseFirstEvents();
    }
  });
}

void
Exchange::ReleaseFirstEvents()
{
  if (mEnded || mOriginState != OriginState::kReplicating) {
    return;
  }
  mOriginState = OriginState::kRecorded;
  mOriginTook = mCore.mNow() - mOriginSentAt;
  CancelOriginCall();
  RelayEvents(std::exchange(mHeldEvents, {}));
  if (!mEnded && std::exchange(mHeldEnd, false)) {
    OnEnd();
  }
}

void
Exchange::CancelOriginCall()
{
  mOriginTimer.cancel();
  if (mOriginTag != 0) {
    mCore.mOrigins.Cancel(std::exchange(mOriginTag, 0));
  }
}

} // namespace peridotspool::gateway
