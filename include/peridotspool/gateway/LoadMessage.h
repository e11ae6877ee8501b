#pragma once

#include "peridotspool/base/Ids.h"
#include "peridotspool/gateway/PromptPart.h"

#include <boost/describe/class.hpp>
#include <compare>
#include <cstdint>
#include <vector>

namespace peridotspool::gateway {

/** To a coordinator: how loaded are these upstreams? */
struct LoadQuery
{
  /** The asking entry's number of the question. */
  std::uint64_t mTag = 0;
  std::vector<UpstreamName> mUpstreams;
  /** Of the prompt that one of them is to read. */
  std::vector<PromptPart> mParts;

  auto operator<=>(const LoadQuery&) const = default;
};
BOOST_DESCRIBE_STRUCT(LoadQuery, (), (mTag, mUpstreams, mParts))

/** What a coordinator knows of one upstream. */
struct UpstreamLoad
{
  UpstreamName mUpstream;
  /** Until the prompts that were sent there will have been read. */
  std::uint32_t mWaitUs = 0;
  /** Requests that all entries together have there. */
  std::uint32_t mRunning = 0;
  /** Tokens of the prompt asked for that it need not read again. */
  std::uint32_t mCachedTokens = 0;
  /** Of 100 sends that ended lately, how many it failed. */
  std::uint32_t mFailurePercent = 0;

  auto operator<=>(const UpstreamLoad&) const = default;
};
BOOST_DESCRIBE_STRUCT(
  UpstreamLoad,
  (),
  (mUpstream, mWaitUs, mRunning, mCachedTokens, mFailurePercent))

/** From a coordinator: a line for each upstream that was asked for. */
struct LoadResponse
{
  std::uint64_t mTag = 0;
  std::vector<UpstreamLoad> mLoads;

  auto operator<=>(const LoadResponse&) const = default;
};
BOOST_DESCRIBE_STRUCT(LoadResponse, (), (mTag, mLoads))

/** To a coordinator: a request was sent to this upstream. */
struct SendStartedReport
{
  UpstreamName mUpstream;
  Incarnation mIncarnation;
  /** Names the send among those of all entries. */
  std::uint64_t mSendId = 0;
  /** What reading its prompt is expected to take. */
  std::uint32_t mPrefillUs = 0;
  std::vector<PromptPart> mParts;
  /** Tokens that the engine's memory holds; 0 if unknown. */
  std::uint64_t mCacheTokens = 0;

  auto operator<=>(const SendStartedReport&) const = default;
};
BOOST_DESCRIBE_STRUCT(
  SendStartedReport,
  (),
  (mUpstream, mIncarnation, mSendId, mPrefillUs, mParts, mCacheTokens))

/** To a coordinator: its prompt has just been read. */
struct PrefillDoneReport
{
  UpstreamName mUpstream;
  std::uint64_t mSendId = 0;

  auto operator<=>(const PrefillDoneReport&) const = default;
};
BOOST_DESCRIBE_STRUCT(PrefillDoneReport, (), (mUpstream, mSendId))

/** To a coordinator: the upstream has nothing to do for it any more. */
struct SendEndedReport
{
  UpstreamName mUpstream;
  std::uint64_t mSendId = 0;
  /** It gave an event, so its prompt has been read. */
  bool mPrefillDone = false;
  /** The upstream failed it, or its connection broke. */
  bool mFailed = false;

  auto operator<=>(const SendEndedReport&) const = default;
};
BOOST_DESCRIBE_STRUCT(SendEndedReport,
                      (),
                      (mUpstream, mSendId, mPrefillDone, mFailed))

} // namespace peridotspool::gateway
