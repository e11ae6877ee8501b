#pragma once

#include "peridotspool/base/Ids.h"
#include "peridotspool/base/Time.h"
#include "peridotspool/request/Effect.h"
#include "peridotspool/request/RequestOptions.h"
#include "peridotspool/routing/Router.h"
#include "request/AdmissionController.h"

#include <random>

namespace peridotspool::request {

/** The context of one step; valid only during the step. */
struct StepContext
{
  TimePoint mNow;
  MemberId mSelf;
  const RequestOptions& mOptions;
  routing::Router& mRouter;
  AdmissionController& mAdmission;
  std::mt19937_64& mRandom;
  /** The last call ID assigned. */
  CallId& mLastCall;
  Effects& mEffects;

  CallId NewCall() { return mLastCall = mLastCall.Next(); }
  void Count(Tally aTally, std::uint64_t aAmount = 1)
  {
    mEffects.emplace_back(CountEffect{ aTally, aAmount });
  }
};

} // namespace peridotspool::request
