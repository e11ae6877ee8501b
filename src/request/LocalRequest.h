#pragma once

#include "request/AnswerSubscribers.h"
#include "request/Execution.h"

#include <memory>
#include <optional>

namespace peridotspool::request {

/** This entry's view of an answer that another entry's execution makes. */
struct FollowState
{
  MemberId mExecutor;
  AttemptNumber mExecutorTurn;
  TimePoint mLastReceivedAt;
  TimePoint mNextQueryAt;
  std::uint32_t mUnansweredQueries = 0;
  std::uint32_t mDenials = 0;
};

/** All that this entry knows of one request. */
struct LocalRequest
{
  AnswerSubscribers mSubscribers;
  /** Set while this entry is the executor. */
  std::unique_ptr<Execution> mExecution;
  /** Set while another entry is, and somebody here wants the answer. */
  std::optional<FollowState> mFollowing;
  /** What came from the executor that is followed. */
  Answer mReceivedAnswer;
  /** When admission let it go on here; empty before, and after a takeover. */
  std::optional<TimePoint> mAdmittedAt;
  /** True while the ledger is being asked about it. */
  bool mResolving = false;
  /** When something is due; TimePoint::max() if nothing is. */
  TimePoint mWake = TimePoint::max();
};

} // namespace peridotspool::request
