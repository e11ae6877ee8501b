#pragma once

#include "peridotspool/base/ContentId.h"
#include "peridotspool/base/Ids.h"

#include <boost/describe/class.hpp>
#include <boost/describe/enum.hpp>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace peridotspool::routing {

/** How entries treat a content under which lives of upstreams have ended. */
enum class QuarantineStage
{
  /** Like any other. */
  kCleared,
  /** All entries together run it once at a time. */
  kOneAtATime,
  /** It isn't run any more. */
  kRefused,
};
BOOST_DESCRIBE_ENUM(QuarantineStage, kCleared, kOneAtATime, kRefused)

/** A life of an upstream that ended while it ran a content. */
struct CrashRecord
{
  UpstreamName mUpstream;
  Incarnation mIncarnation;
  /** The entry that saw it. */
  std::string mSeenBy;

  auto operator<=>(const CrashRecord&) const = default;
};
BOOST_DESCRIBE_STRUCT(CrashRecord, (), (mUpstream, mIncarnation, mSeenBy))

/** A change to one content's treatment. */
struct QuarantineChange
{
  ContentId mContent;
  QuarantineStage mStage = QuarantineStage::kCleared;
  /** Ends of lives that count as evidence of their own. */
  std::uint32_t mCounted = 0;
  std::vector<CrashRecord> mCrashes;

  auto operator<=>(const QuarantineChange&) const = default;
};
BOOST_DESCRIBE_STRUCT(QuarantineChange,
                      (),
                      (mContent, mStage, mCounted, mCrashes))

/** One content in the table; its number is that of the change that made it. */
struct QuarantineRow
{
  std::uint64_t mNumber = 0;
  QuarantineChange mChange;

  auto operator<=>(const QuarantineRow&) const = default;
};
BOOST_DESCRIBE_STRUCT(QuarantineRow, (), (mNumber, mChange))

/** What an entry is update of one content. */
struct QuarantineStatus
{
  ContentId mContent;
  QuarantineStage mStage = QuarantineStage::kCleared;

  auto operator<=>(const QuarantineStatus&) const = default;
};
BOOST_DESCRIBE_STRUCT(QuarantineStatus, (), (mContent, mStage))

/** To an entry: the changes after mFrom up to mTo; from 0 it is the table. */
struct QuarantineUpdate
{
  std::uint64_t mFrom = 0;
  std::uint64_t mTo = 0;
  std::vector<QuarantineStatus> mLines;

  auto operator<=>(const QuarantineUpdate&) const = default;
};
BOOST_DESCRIBE_STRUCT(QuarantineUpdate, (), (mFrom, mTo, mLines))

/**
 * The contents that are treated unlike others; a part of what the control log
 * replicates, so that no restart, of however many processes, forgets it.
 */
struct QuarantineTable
{
  /** Of the last change; entries that know nothing yet know 0. */
  std::uint64_t mNumber = 1;
  /** Whoever knows less than this lacks a row that is kept no more. */
  std::uint64_t mMinDeltaBase = 0;
  /** In rising order of their numbers; a content stands in one at most. */
  std::vector<QuarantineRow> mRows;

  /** Null where the content was never touched, or long ago. */
  const QuarantineRow* Find(const ContentId& aContent) const;
  void Apply(const QuarantineChange& aChange);
  /** What somebody who knows the changes up to aKnownNumber lacks. */
  QuarantineUpdate UpdateSince(std::uint64_t aKnownNumber) const;

  auto operator<=>(const QuarantineTable&) const = default;
};
BOOST_DESCRIBE_STRUCT(QuarantineTable, (), (mNumber, mMinDeltaBase, mRows))

} // namespace peridotspool::routing
