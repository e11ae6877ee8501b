// How a request begins: may it be served, by whom, and until when.

#include "gateway/Exchange.h"

#include "peridotspool/base/Invariant.h"
#include "peridotspool/gateway/TokenCounts.h"

#include <xxhash.h>

#include <algorithm>

namespace peridotspool::gateway {

namespace {

using observe::CounterId;

/** Another entry is as good at once. */
constexpr double kComeBackElsewhere = 0.05;
constexpr double kComeBackLater = 1.0;

constexpr unsigned kUnauthorized = 401;
constexpr unsigned kNotFound = 404;
constexpr unsigned kUnavailable = 503;

} // namespace

// Returns true iff the exchange waits for what the process lacks yet: GoOn
// follows when something has come, or the wait is over.
bool
Exchange::WaitForStart()
{
  const TimePoint now = mCore.mNow();
  const auto wait =
    mCore.mRefusing ? std::nullopt : mCore.mStartPlan.MayWait(mArrivedAt, now);
  if (!wait) {
    return false;
  }
  const std::weak_ptr<Exchange> weak = weak_from_this();
  const auto goOn = [weak] {
    if (const auto self = weak.lock(); self && self->mWaitsForStart) {
      self->GoOn();
    }
  };
  mWaitsForStart = true;
  mCore.mStarting.emplace_back(goOn);
  mSlowTimer.expires_after(*wait);
  mSlowTimer.async_wait([goOn](http::ErrorCode aError) {
    if (!aError) {
      goOn();
    }
  });
  return true;
}

void
Exchange::GoOn()
{
  mWaitsForStart = false;
  mSlowTimer.cancel();
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
  if ((!mTable && WaitForStart()) || !Admit()) {
    return;
  }
  Duration wait = mRoute->mTimeout;
  if (const auto callers =
        ReadNumber(FieldOf(mRequest.mFields, mCore.mNames.mDeadline))) {
    wait = std::min(wait, Duration(std::chrono::milliseconds(*callers)));
  }
  mDeadline = mArrivedAt + wait;
  ChooseService();
  mContent = ContentOf(
    { .mCustomer = mCustomer == nullptr ? CustomerName() : mCustomer->mName,
      .mMethod = mRequest.mMethod,
      .mHost = FieldOf(mRequest.mFields, "host"),
      .mTarget = mRequest.mTarget,
      .mBody = mRequest.mBody });
  mCore.mBudget.TakeRequest(mService, mArrivedAt);
  mTimer.expires_after(wait);
  mTimer.async_wait([self = shared_from_this()](http::ErrorCode aError) {
    if (!aError && !self->mOver) {
      self->OnTimeout();
    }
  });
  AskQuota();
}

bool
Exchange::Admit()
{
  if (!mTable) {
    mCore.mCounters.Add(CounterId::kRefusedNotConfirmed);
    AnswerOwn(kUnavailable, "no settings yet", kComeBackLater);
    return false;
  }
  if (mCore.mRefusing || OutlivesProcess()) {
    mCore.mCounters.Add(CounterId::kRefusedDraining);
    AnswerOwn(kUnavailable, "stopping", kComeBackElsewhere);
    return false;
  }
  mRoute = mTable->Find(FieldOf(mRequest.mFields, "host"), mRequest.Path());
  if (mRoute == nullptr) {
    mCore.mCounters.Add(CounterId::kRefusedUnknownService);
    AnswerOwn(kNotFound, "no route");
    return false;
  }
  if (mTable->HasCustomers()) {
    mCustomer =
      mTable->CustomerOf(BearerOf(FieldOf(mRequest.mFields, "authorization")));
    if (mCustomer == nullptr && !mRoute->mPublic) {
      mCore.mCounters.Add(CounterId::kRefusedWrongKey);
      AnswerOwn(kUnauthorized, "unknown key");
      return false;
    }
  }
  if (mRoute->mSticky) {
    mQuestion.mPrompt =
      ParsePromptParts(FieldOf(mRequest.mFields, mCore.mNames.mPrefix));
  }
  return true;
}

bool
Exchange::OutlivesProcess() const
{
  const auto counts =
    ReadTokenCounts(FieldOf(mRequest.mFields, mCore.mNames.mTokenCounts));
  return mCore.mStopPlan && counts &&
         !mCore.mStopPlan->MayTake(LongestTime(*counts), mCore.mNow());
}

void
Exchange::ChooseService()
{
  std::uint64_t total = 0;
  for (const ServiceShare& share : mRoute->mShares) {
    total += share.mWeight;
  }
  // A checked table has no route without weight.
  PERIDOTSPOOL_INVARIANT(total > 0);
  mQuestion.mSeed = XXH3_64bits(mId.data(), mId.size());
  std::uint64_t place = mQuestion.mSeed % total;
  for (const ServiceShare& share : mRoute->mShares) {
    if (place < share.mWeight) {
      mService = share.mService;
      break;
    }
    place -= share.mWeight;
  }
  mQuestion.mService = mService;
}
} // namespace peridotspool::gateway
