#pragma once

#include "request/AnswerSubscribers.h"
#include "request/Execution.h"

#include <memory>
#include <optional>

namespace peridotspool::request {

/** The state of following an answer that another entry's execution produces. */
struct FollowState
{
  MemberId mExecutor;
  AttemptNumber mExecutorTurn;
  TimePoint mLastReceivedAt;
  TimePoint mNextQueryAt;
  std::uint32_t mUnansweredQueries = 0;
  std::uint32_t mDenials = 0;
};

/** The state of one request at this entry. */
struct LocalRequest
{
  AnswerSubscribers mSubscribers;
  /** Set while this entry is the executor. */
  std::unique_ptr<Execution> mExecution;
  /** Set while another entry is the executor and this entry has subscribers. */
  std::optional<FollowState> mFollowing;
  /** The part of the answer received from the followed executor, or the outcome
   * read from the ledger. */
  Answer mReceivedAnswer;
  /** When the request was admitted at this entry; empty before that, and after
   * a takeover by this entry. */
  std::optional<TimePoint> mAdmittedAt;
  /** True while a read of the request's record is pending. */
  bool mResolving = false;
  /** When work is due for the request; TimePoint::max() if none is. */
  TimePoint mWake = TimePoint::max();
};

} // namespace peridotspool::request
