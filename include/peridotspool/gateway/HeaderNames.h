#pragma once

#include <string>
#include <vector>

namespace peridotspool::gateway {

/**
 * Names of the header fields that the gateway reads and sets. Each deployment
 * chooses its own.
 */
struct HeaderNames
{
  /** Identifies one attempt of a caller; echoed in responses. */
  std::string mRequestId;
  /** Milliseconds that the caller or the gateway waits for the response. */
  std::string mDeadline;
  /** Set in upstream requests: the customer that holds the caller's key. */
  std::string mCustomer;
  /** Set in upstream requests: only the upstream of this name may run it. */
  std::string mExpectUpstream;
  /** In an upstream's response: the request did not run. */
  std::string mNotRun;
  /** In every response that an upstream generated: proof of its origin. */
  std::string mStamp;
  /** In an upstream's response: "RUNNING,WAITING,SLOTS". */
  std::string mLoad;
  /** In an upstream's response: the requests per second that it accepts from
   * all entries together, as long as responses state it. */
  std::string mRateLimit;
  /** In an upstream's response: the rejections in a second that it survives, as
   * long as it is brittle. */
  std::string mBrittle;
  /** In an upstream's response: "1" if the upstream leaves. */
  std::string mLeaving;
  /** "PROMPT,ANSWER": prompt tokens and the maximum of generated tokens. */
  std::string mTokenCounts;
  /** Parts of the prompt in order, each as ID:TOKENS. */
  std::string mPrefix;
  /** Set in upstream requests: the scheduling priority at an engine. */
  std::string mPriority;
  /** Set in upstream requests: where a cached prompt prefix can be copied from.
   */
  std::string mFetchFrom;
  /** Id of the last event that was delivered before a stream is resumed. */
  std::string mLastEvent;
  /** In a caller's request that resumes a stream: the id of the request that
   * brought the stream's first event. */
  std::string mResumes;
  /** Further fields that are removed from callers' requests. */
  std::vector<std::string> mReserved;
};

} // namespace peridotspool::gateway
