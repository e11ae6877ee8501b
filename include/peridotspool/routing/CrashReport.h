#pragma once

#include "peridotspool/base/ContentId.h"
#include "peridotspool/base/Ids.h"
#include "peridotspool/base/PromptPartId.h"

#include <boost/describe/class.hpp>
#include <boost/describe/enum.hpp>
#include <compare>
#include <cstdint>
#include <vector>

namespace peridotspool::routing {

/** A content that an upstream incarnation was running when it crashed. */
struct ReportedCrash
{
  ContentId mContent;
  UpstreamName mUpstream;
  Incarnation mIncarnation;
  /** Age when the report was sent, in milliseconds. */
  std::uint32_t mSentAgeMs = 0;
  std::uint32_t mLostAgeMs = 0;
  /** The run held the permit of a content that runs one at a time. */
  bool mHadPermit = false;
  /** Parts of the request's prompt that other requests may share. */
  std::vector<PromptPartId> mParts;
  /** Empty where no key is needed. */
  CustomerName mCustomer;

  auto operator<=>(const ReportedCrash&) const = default;
};
BOOST_DESCRIBE_STRUCT(ReportedCrash,
                      (),
                      (mContent,
                       mUpstream,
                       mIncarnation,
                       mSentAgeMs,
                       mLostAgeMs,
                       mHadPermit,
                       mParts,
                       mCustomer))

/** Sent by an entry to the control leader until acknowledged. */
struct CrashReport
{
  /** Identifies the report among those of the entry's process. */
  std::uint64_t mNumber = 0;
  std::vector<ReportedCrash> mLines;

  auto operator<=>(const CrashReport&) const = default;
};
BOOST_DESCRIBE_STRUCT(CrashReport, (), (mNumber, mLines))

/** Sent by the leader to acknowledge a report. */
struct CrashReportAck
{
  std::uint64_t mNumber = 0;

  auto operator<=>(const CrashReportAck&) const = default;
};
BOOST_DESCRIBE_STRUCT(CrashReportAck, (), (mNumber))

/** Asks the leader for permission to run a request now. */
struct PermitRequest
{
  /** The request's content and parts that run one at a time. */
  std::vector<ContentId> mContents;
  /** Identifies the request at the entry. */
  std::uint64_t mTag = 0;
  /** Maximum time that the permit is needed for, in milliseconds. */
  std::uint32_t mForMs = 0;
  /** Empty where no key is needed. */
  CustomerName mCustomer;

  auto operator<=>(const PermitRequest&) const = default;
};
BOOST_DESCRIBE_STRUCT(PermitRequest, (), (mContents, mTag, mForMs, mCustomer))

enum class PermitVerdict
{
  /** Another request holds the permit; it may be asked for again. */
  kDenied,
  kGranted,
  /** The request isn't run, however long it waits. */
  kRefused,
};
BOOST_DESCRIBE_ENUM(PermitVerdict, kDenied, kGranted, kRefused)

struct PermitResponse
{
  std::uint64_t mTag = 0;
  PermitVerdict mVerdict = PermitVerdict::kDenied;

  auto operator<=>(const PermitResponse&) const = default;
};
BOOST_DESCRIBE_STRUCT(PermitResponse, (), (mTag, mVerdict))

/** Notifies the leader that a request with listed contents or parts is over. */
struct RunEnded
{
  std::vector<ContentId> mContents;
  /** The permit, or 0 if the request was sent without one. */
  std::uint64_t mTag = 0;
  /** An upstream has answered the request completely. */
  bool mAnswered = false;
  /** Age of the answer when this was sent, in milliseconds. */
  std::uint32_t mAgeMs = 0;
  /** Whose request it was; empty where no key is needed. */
  CustomerName mCustomer;

  auto operator<=>(const RunEnded&) const = default;
};
BOOST_DESCRIBE_STRUCT(RunEnded,
                      (),
                      (mContents, mTag, mAnswered, mAgeMs, mCustomer))

} // namespace peridotspool::routing
