#pragma once

#include "peridotspool/base/Ids.h"
#include "peridotspool/gateway/PromptPart.h"

#include <boost/describe/class.hpp>
#include <compare>
#include <cstdint>
#include <vector>

namespace peridotspool::gateway {

/** To a keeper: how loaded are these upstreams? */
struct LoadAsk
{
  /** The asking entry's number of the question. */
  std::uint64_t mTag = 0;
  std::vector<UpstreamName> mUpstreams;
  /** Of the prompt that one of them is to read. */
  std::vector<PromptPart> mParts;

  auto operator<=>(const LoadAsk&) const = default;
};
BOOST_DESCRIBE_STRUCT(LoadAsk, (), (mTag, mUpstreams, mParts))

/** What a keeper knows of one upstream. */
struct LoadLine
{
  UpstreamName mUpstream;
  /** Until the prompts that were sent there will have been read. */
  std::uint32_t mWaitUs = 0;
  /** Requests that all entries together have there. */
  std::uint32_t mRunning = 0;
  /** Tokens of the prompt asked for that it need not read again. */
  std::uint32_t mKept = 0;
  /** Of 100 sends that ended lately, how many it failed. */
  std::uint32_t mFailing = 0;

  auto operator<=>(const LoadLine&) const = default;
};
BOOST_DESCRIBE_STRUCT(LoadLine,
                      (),
                      (mUpstream, mWaitUs, mRunning, mKept, mFailing))

/** From a keeper: a line for each upstream that was asked for. */
struct LoadTold
{
  std::uint64_t mTag = 0;
  std::vector<LoadLine> mLines;

  auto operator<=>(const LoadTold&) const = default;
};
BOOST_DESCRIBE_STRUCT(LoadTold, (), (mTag, mLines))

/** To a keeper: a request was sent to this upstream. */
struct LoadSent
{
  UpstreamName mUpstream;
  Incarnation mIncarnation;
  /** Names the send among those of all entries. */
  std::uint64_t mSend = 0;
  /** What reading its prompt is expected to take. */
  std::uint32_t mReadUs = 0;
  std::vector<PromptPart> mParts;
  /** Tokens that the engine's memory holds; 0 if unknown. */
  std::uint64_t mMemory = 0;

  auto operator<=>(const LoadSent&) const = default;
};
BOOST_DESCRIBE_STRUCT(
  LoadSent,
  (),
  (mUpstream, mIncarnation, mSend, mReadUs, mParts, mMemory))

/** To a keeper: its prompt has just been read. */
struct LoadBegun
{
  UpstreamName mUpstream;
  std::uint64_t mSend = 0;

  auto operator<=>(const LoadBegun&) const = default;
};
BOOST_DESCRIBE_STRUCT(LoadBegun, (), (mUpstream, mSend))

/** To a keeper: the upstream has nothing to do for it any more. */
struct LoadEnded
{
  UpstreamName mUpstream;
  std::uint64_t mSend = 0;
  /** It gave an event, so its prompt has been read. */
  bool mWasRead = false;
  /** The upstream failed it, or its connection broke. */
  bool mFailed = false;

  auto operator<=>(const LoadEnded&) const = default;
};
BOOST_DESCRIBE_STRUCT(LoadEnded, (), (mUpstream, mSend, mWasRead, mFailed))

} // namespace peridotspool::gateway
