#pragma once

#include "peridotspool/gateway/HeaderNames.h"

namespace peridotspool::gateway {

/** Returns field names that no deployment uses, so that a dependence on the
 * names of one would show in tests. */
inline HeaderNames
TestNames()
{
  return { .mRequestId = "X-Id",
           .mDeadline = "X-Deadline",
           .mCustomer = "X-Customer",
           .mExpectUpstream = "X-Expect",
           .mNotRun = "X-Not-Run",
           .mStamp = "X-Stamp",
           .mLoad = "X-Load",
           .mRateLimit = "X-Rate-Limit",
           .mBrittle = "X-Brittle",
           .mLeaving = "X-Leaving",
           .mTokenCounts = "X-Tokens",
           .mPrefix = "X-Prefix",
           .mPriority = "X-Priority",
           .mFetchFrom = "X-Fetch",
           .mLastEvent = "Last-Event-Id",
           .mResumes = "X-Resumes",
           .mReserved = { "X-Hold" } };
}

} // namespace peridotspool::gateway
