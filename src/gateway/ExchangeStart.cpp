// Start of a request: admission, choice of a service, and deadline.

#include "gateway/Exchange.h"

#include "peridotspool/base/Invariant.h"
#include "peridotspool/gateway/SharedParts.h"
#include "peridotspool/gateway/TokenCounts.h"

#include <xxhash.h>

#include <algorithm>

namespace peridotspool::gateway {

namespace {

using observe::CounterId;

/** Another entry can serve the request immediately. */
constexpr double kStoppingRetryAfterSeconds = 0.05;
constexpr double kNoSettingsRetryAfterSeconds = 1.0;
constexpr double kNotConfirmedRetryAfterSeconds = 0.5;

constexpr unsigned kUnauthorized = 401;
constexpr unsigned kNotFound = 404;
constexpr unsigned kUnavailable = 503;

} // namespace

// Returns true iff the exchange waits for settings or updates that the process
// has not received yet. ResumeAfterStartup is called when some have come, or
// when the wait has timed out.
bool
Exchange::WaitForStartup()
{
  const TimePoint now = mCore.mNow();
  const auto wait = mCore.mRefusing
                      ? std::nullopt
                      : mCore.mStartupPolicy.RemainingWait(mArrivedAt, now);
  if (!wait) {
    return false;
  }
  ResumeWithin(*wait);
  return true;
}

void
Exchange::ResumeWithin(Duration aWait)
{
  const std::weak_ptr<Exchange> weak = weak_from_this();
  const auto resume = [weak] {
    if (const auto self = weak.lock(); self && self->mWaitingForStartup) {
      self->ResumeAfterStartup();
    }
  };
  mWaitingForStartup = true;
  mCore.mStartupWaiters.emplace_back(resume);
  mWaitTimer.expires_after(aWait);
  mWaitTimer.async_wait([resume](http::ErrorCode aError) {
    if (!aError) {
      resume();
    }
  });
}

void
Exchange::ResumeAfterStartup()
{
  mWaitingForStartup = false;
  mWaitTimer.cancel();
  if (mTable) {
    Dispatch();
  } else {
    mTable = mCore.mTable;
    Start();
  }
}

void
Exchange::Start()
{
  if ((!mTable && WaitForStartup()) || !Admit()) {
    return;
  }
  Duration wait = mRoute->mTimeout;
  if (const auto callers =
        ReadNumber(FieldOf(mRequest.mFields, mCore.mNames.mDeadline))) {
    wait = std::min(wait, Duration(std::chrono::milliseconds(*callers)));
  }
  mDeadline = mArrivedAt + wait;
  ChooseService();
  DescribeToGate();
  mDeadlineTimer.expires_after(wait);
  mDeadlineTimer.async_wait(
    [self = shared_from_this()](http::ErrorCode aError) {
      if (!aError && !self->mEnded) {
        self->OnTimeout();
      }
    });
  if (IsResumption()) {
    LookUpOrigin();
  } else {
    Proceed();
  }
}

void
Exchange::DescribeToGate()
{
  const CustomerName customer =
    mCustomer == nullptr ? CustomerName() : mCustomer->mName;
  mGateRequest = {
    .mContent = ContentOf({ .mCustomer = customer,
                            .mMethod = mRequest.mMethod,
                            .mHost = FieldOf(mRequest.mFields, "host"),
                            .mTarget = mRequest.mTarget,
                            .mBody = mRequest.mBody }),
    .mParts = ParseSharedParts(FieldOf(mRequest.mFields, mCore.mNames.mPrefix)),
    .mCustomer = customer
  };
}

void
Exchange::Proceed()
{
  mCore.mRetryBudget.RecordRequest(mService, mArrivedAt);
  RequestQuota();
}

bool
Exchange::Admit()
{
  if (!mTable) {
    mCore.mCounters.Add(CounterId::kRefusedNotConfirmed);
    SendLocalResponse(
      kUnavailable, "no settings yet", kNoSettingsRetryAfterSeconds);
    return false;
  }
  if (mCore.mRefusing || MayOutliveProcess()) {
    RefuseAsStopping();
    return false;
  }
  mRoute = mTable->Find(FieldOf(mRequest.mFields, "host"), mRequest.Path());
  if (mRoute == nullptr) {
    RefuseBySettings(kNotFound, "no route", CounterId::kRefusedUnknownService);
    return false;
  }
  if (mTable->HasCustomers()) {
    mCustomer = mTable->CustomerOf(
      BearerToken(FieldOf(mRequest.mFields, "authorization")));
    if (mCustomer == nullptr && !mRoute->mPublic) {
      RefuseBySettings(
        kUnauthorized, "unknown key", CounterId::kRefusedWrongKey);
      return false;
    }
  }
  if (mRoute->mSticky) {
    mSelectionQuery.mPrompt =
      ParsePromptParts(FieldOf(mRequest.mFields, mCore.mNames.mPrefix));
  }
  return true;
}

// The caller takes the refusal for final, so settings that may have been
// replaced must not decide it. Newer ones may be on their way, and a
// confirmation takes one exchange with the leader.
void
Exchange::RefuseBySettings(unsigned aStatus,
                           const char* aReason,
                           CounterId aCounter)
{
  const TimePoint now = mCore.mNow();
  const SettingsConfirmation& confirmation = mCore.mSettingsConfirmation;
  switch (confirmation.Judge(mArrivedAt, now)) {
    case RefusalVerdict::kRefuse:
      mCore.mCounters.Add(aCounter);
      LogRefusalBySettings(aReason);
      SendLocalResponse(aStatus, aReason);
      return;
    case RefusalVerdict::kConfirm:
      mTable.reset();
      mRoute = nullptr;
      mCore.mConfirmSettings();
      ResumeWithin(confirmation.RemainingWait(mArrivedAt, now));
      return;
    case RefusalVerdict::kUnavailable:
      mCore.mCounters.Add(CounterId::kRefusedNotConfirmed);
      LogRefusalBySettings("settings not confirmed");
      SendLocalResponse(
        kUnavailable, "settings not confirmed", kNotConfirmedRetryAfterSeconds);
  }
}

void
Exchange::LogRefusalBySettings(const char* aReason)
{
  const auto age = mCore.mSettingsConfirmation.Age(mCore.mNow());
  mCore.mLogger.Log(observe::EventId::kRequestRefused,
                    { { "request", mId },
                      { "reason", aReason },
                      { "settings", mTable->Version() },
                      { "confirmed", age ? "yes" : "never" },
                      { "confirmed_ms_ago", age.value_or(Duration(0)) } });
}

void
Exchange::RefuseAsStopping()
{
  mCore.mCounters.Add(CounterId::kRefusedDraining);
  SendLocalResponse(kUnavailable, "stopping", kStoppingRetryAfterSeconds);
}

bool
Exchange::MayOutliveProcess() const
{
  const auto counts =
    ParseTokenCounts(FieldOf(mRequest.mFields, mCore.mNames.mTokenCounts));
  return mCore.mShutdownPolicy && counts &&
         !mCore.mShutdownPolicy->MayAccept(MaxGenerationTime(*counts),
                                           mCore.mNow());
}

void
Exchange::ChooseService()
{
  std::uint64_t total = 0;
  for (const ServiceShare& share : mRoute->mShares) {
    total += share.mWeight;
  }
  // A validated table has no route with a total weight of 0.
  PERIDOTSPOOL_INVARIANT(total > 0);
  mSelectionQuery.mSeed = XXH3_64bits(mId.data(), mId.size());
  std::uint64_t place = mSelectionQuery.mSeed % total;
  for (const ServiceShare& share : mRoute->mShares) {
    if (place < share.mWeight) {
      mService = share.mService;
      break;
    }
    place -= share.mWeight;
  }
  mSelectionQuery.mService = mService;
}

} // namespace peridotspool::gateway
