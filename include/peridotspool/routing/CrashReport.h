#pragma once

#include "peridotspool/base/ContentId.h"
#include "peridotspool/base/Ids.h"

#include <boost/describe/class.hpp>
#include <compare>
#include <cstdint>
#include <vector>

namespace peridotspool::routing {

/** A content that a life of an upstream was running when it ended. */
struct ReportedCrash
{
  ContentId mContent;
  UpstreamName mUpstream;
  Incarnation mIncarnation;
  /** Before the report was sent, in milliseconds. */
  std::uint32_t mSentAgoMs = 0;
  std::uint32_t mLostAgoMs = 0;
  /** It had the turn of a content that runs once at a time. */
  bool mHadPermit = false;

  auto operator<=>(const ReportedCrash&) const = default;
};
BOOST_DESCRIBE_STRUCT(
  ReportedCrash,
  (),
  (mContent, mUpstream, mIncarnation, mSentAgoMs, mLostAgoMs, mHadPermit))

/** From an entry to the control leader, until that has it. */
struct CrashReport
{
  /** Names the report among those of the entry's process. */
  std::uint64_t mNumber = 0;
  std::vector<ReportedCrash> mLines;

  auto operator<=>(const CrashReport&) const = default;
};
BOOST_DESCRIBE_STRUCT(CrashReport, (), (mNumber, mLines))

/** From the leader: it has the report. */
struct CrashReportAck
{
  std::uint64_t mNumber = 0;

  auto operator<=>(const CrashReportAck&) const = default;
};
BOOST_DESCRIBE_STRUCT(CrashReportAck, (), (mNumber))

/** To the leader: may a request of this content be run now? */
struct PermitRequest
{
  ContentId mContent;
  /** The entry's number of the request. */
  std::uint64_t mTag = 0;
  /** The request is over by then, in milliseconds. */
  std::uint32_t mForMs = 0;

  auto operator<=>(const PermitRequest&) const = default;
};
BOOST_DESCRIBE_STRUCT(PermitRequest, (), (mContent, mTag, mForMs))

struct PermitResponse
{
  std::uint64_t mTag = 0;
  bool mGranted = false;

  auto operator<=>(const PermitResponse&) const = default;
};
BOOST_DESCRIBE_STRUCT(PermitResponse, (), (mTag, mGranted))

/** To the leader: a request of a listed content is over. */
struct RunEnded
{
  ContentId mContent;
  /** 0 where it had no turn: it was sent before the content was listed. */
  std::uint64_t mTag = 0;
  /** An upstream has answered it completely. */
  bool mAnswered = false;
  /** So long before this was sent, in milliseconds. */
  std::uint32_t mAgoMs = 0;

  auto operator<=>(const RunEnded&) const = default;
};
BOOST_DESCRIBE_STRUCT(RunEnded, (), (mContent, mTag, mAnswered, mAgoMs))

} // namespace peridotspool::routing
