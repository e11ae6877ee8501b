#pragma once

#include "peridotspool/base/Ids.h"
#include "peridotspool/gateway/PromptPart.h"
#include "peridotspool/limits/BrittleMessage.h"
#include "peridotspool/limits/PermitMessage.h"
#include "peridotspool/routing/SendAccount.h"
#include "peridotspool/routing/SpeedMessage.h"

#include <boost/describe/class.hpp>
#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

namespace peridotspool::gateway {

/** To a coordinator: requests the load of these upstreams. */
struct LoadQuery
{
  /** Identifies the query at the entry that sends it. */
  std::uint64_t mTag = 0;
  std::vector<UpstreamName> mUpstreams;
  /** Parts of the prompt to be placed. */
  std::vector<PromptPart> mParts;
  /** Set where customers share capacity: whose request is to be placed. */
  std::optional<routing::SendAccount> mAccount;
  /** Upstreams that the entry asks about, also at other coordinators; set where
   * each upstream's own speed is learned. */
  std::optional<std::uint32_t> mCandidates;

  auto operator<=>(const LoadQuery&) const = default;
};
BOOST_DESCRIBE_STRUCT(LoadQuery,
                      (),
                      (mTag, mUpstreams, mParts, mAccount, mCandidates))

/** A coordinator's estimate for one upstream. */
struct UpstreamLoad
{
  UpstreamName mUpstream;
  /** Time until all prompts sent there so far have been prefilled. */
  std::uint32_t mWaitUs = 0;
  /** Requests of all entries in flight there. */
  std::uint32_t mRunning = 0;
  /**
   * Tokens of the queried prompt that the upstream holds in its prefix cache.
   */
  std::uint32_t mCachedTokens = 0;
  /** Percentage of recently ended sends that the upstream failed. */
  std::uint32_t mFailurePercent = 0;
  /** Set where each upstream's own speed is learned. */
  std::optional<routing::SpeedEstimate> mSpeed;
  /** What the query's customer has used lately, in percent of its share; set
   * where customers share capacity. */
  std::optional<std::uint32_t> mSharePercent;

  auto operator<=>(const UpstreamLoad&) const = default;
};
BOOST_DESCRIBE_STRUCT(UpstreamLoad,
                      (),
                      (mUpstream,
                       mWaitUs,
                       mRunning,
                       mCachedTokens,
                       mFailurePercent,
                       mSpeed,
                       mSharePercent))

/** From a coordinator: the load of each queried upstream. */
struct LoadResponse
{
  std::uint64_t mTag = 0;
  std::vector<UpstreamLoad> mLoads;
  /** The limits of those upstreams that have one. */
  std::vector<limits::LimitState> mLimits;
  /** Those upstreams that are brittle. */
  std::vector<limits::BrittleState> mBrittle;

  auto operator<=>(const LoadResponse&) const = default;
};
BOOST_DESCRIBE_STRUCT(LoadResponse, (), (mTag, mLoads, mLimits, mBrittle))

/** To a coordinator: a request was sent to this upstream. */
struct SendStartedReport
{
  UpstreamName mUpstream;
  Incarnation mIncarnation;
  /** Unique among the sends of all entries. */
  std::uint64_t mSendId = 0;
  /** Expected prefill time of its prompt. */
  std::uint32_t mPrefillUs = 0;
  std::vector<PromptPart> mParts;
  /** Capacity of the engine's memory in tokens; 0 if unknown. */
  std::uint64_t mCacheTokens = 0;
  /** The send was permitted by the upstream's coordinator. */
  bool mHasPermit = false;
  /** Set where customers share capacity. */
  std::optional<routing::SendAccount> mAccount;

  auto operator<=>(const SendStartedReport&) const = default;
};
BOOST_DESCRIBE_STRUCT(SendStartedReport,
                      (),
                      (mUpstream,
                       mIncarnation,
                       mSendId,
                       mPrefillUs,
                       mParts,
                       mCacheTokens,
                       mHasPermit,
                       mAccount))

/** To a coordinator: the prefill of this send has just finished. */
struct PrefillDoneReport
{
  UpstreamName mUpstream;
  std::uint64_t mSendId = 0;
  /** Set where each upstream's own speed is learned. */
  std::optional<routing::WorkObservation> mObservation;

  auto operator<=>(const PrefillDoneReport&) const = default;
};
BOOST_DESCRIBE_STRUCT(PrefillDoneReport, (), (mUpstream, mSendId, mObservation))

/** To a coordinator: this send needs no more work from the upstream. */
struct SendEndedReport
{
  UpstreamName mUpstream;
  std::uint64_t mSendId = 0;
  /** The upstream returned an event, so the prefill had finished. */
  bool mPrefillDone = false;
  /** The upstream failed the request, or the connection broke. */
  bool mFailed = false;
  /** The upstream rejected the request for want of room. */
  bool mRejected = false;
  /** Set where each upstream's own speed is learned. */
  std::optional<routing::WorkObservation> mObservation;
  /** Tokens that were prefilled and generated; set where customers share
   * capacity. */
  std::optional<std::uint64_t> mUsedTokens;

  auto operator<=>(const SendEndedReport&) const = default;
};
BOOST_DESCRIBE_STRUCT(SendEndedReport,
                      (),
                      (mUpstream,
                       mSendId,
                       mPrefillDone,
                       mFailed,
                       mRejected,
                       mObservation,
                       mUsedTokens))

} // namespace peridotspool::gateway
