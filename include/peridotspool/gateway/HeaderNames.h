#pragma once

#include <string>
#include <vector>

namespace peridotspool::gateway {

/** The header fields that the gateway reads and sets; a deployment's choice. */
struct HeaderNames
{
  /** Names one attempt of a caller; echoed in answers. */
  std::string mRequestId;
  /** Milliseconds that the caller, or the gateway, will wait. */
  std::string mDeadline;
  /** Set for upstreams: the customer that holds the caller's key. */
  std::string mCustomer;
  /** Set for upstreams: only the one of this name is to run the request. */
  std::string mExpectUpstream;
  /** In an upstream's answer: the request did not run. */
  std::string mNotRun;
  /** In every answer that an upstream made: its proof. */
  std::string mStamp;
  /** In an upstream's answer: running, waiting, slots. */
  std::string mLoad;
  /** Tokens of the prompt, and most tokens of the answer. */
  std::string mTokenCounts;
  /** Parts of the prompt, ID:TOKENS, in order. */
  std::string mPrefix;
  /** Set for upstreams: which request goes first at an engine. */
  std::string mPriority;
  /** Set for upstreams: where a shared prompt prefix may be copied from. */
  std::string mFetchFrom;
  /** The last event that a resumed stream has delivered. */
  std::string mLastEvent;
  /** Further fields that a caller must not set for an upstream. */
  std::vector<std::string> mReserved;
};

} // namespace peridotspool::gateway
