#pragma once

#include "peridotspool/base/ContentId.h"
#include "peridotspool/base/Ids.h"

#include <boost/describe/class.hpp>
#include <boost/describe/enum.hpp>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace peridotspool::routing {

/**
 * How entries treat a content, or a part of prompts (see ContentId), that was
 * running when upstreams crashed.
 */
enum class QuarantineStage
{
  /** Runs without restriction. */
  kCleared,
  /** Runs on at most one upstream at a time, across all entries. */
  kOneAtATime,
  /** Is not run any more. */
  kRefused,
  /** Runs without restriction, and entries report its complete answers. */
  kWatched,
};
BOOST_DESCRIBE_ENUM(QuarantineStage, kCleared, kOneAtATime, kRefused, kWatched)

/** Crashes named in a row, for operators and for the next leader. */
inline constexpr std::size_t kMaxRecordedCrashes = 8;

/** An upstream incarnation that crashed while it ran a content. */
struct CrashRecord
{
  UpstreamName mUpstream;
  Incarnation mIncarnation;
  /** Address of the entry that reported the crash. */
  std::string mSeenBy;

  auto operator<=>(const CrashRecord&) const = default;
};
BOOST_DESCRIBE_STRUCT(CrashRecord, (), (mUpstream, mIncarnation, mSeenBy))

/** A change of the stage of one content or part. */
struct QuarantineChange
{
  ContentId mContent;
  QuarantineStage mStage = QuarantineStage::kCleared;
  /** Crashes that count as independent evidence; see QuarantineManager. */
  std::uint32_t mCounted = 0;
  std::vector<CrashRecord> mCrashes;
  /** Of a part: whose requests were running; more than two are left out. */
  std::vector<CustomerName> mCustomers;
  /** Of a part: it was refused, and answered for another customer. */
  bool mOthersAllowed = false;
  /** Of a part: it was answered completely before the first crash. */
  bool mAnsweredBefore = false;
  /** Of a part: permits given after it had counted enough crashes to be
   * refused. */
  std::uint32_t mLatePermits = 0;

  auto operator<=>(const QuarantineChange&) const = default;
};
BOOST_DESCRIBE_STRUCT(QuarantineChange,
                      (),
                      (mContent,
                       mStage,
                       mCounted,
                       mCrashes,
                       mCustomers,
                       mOthersAllowed,
                       mAnsweredBefore,
                       mLatePermits))

/**
 * The committed state of one content. Its number is that of its last change.
 */
struct QuarantineRow
{
  std::uint64_t mNumber = 0;
  QuarantineChange mChange;

  auto operator<=>(const QuarantineRow&) const = default;
};
BOOST_DESCRIBE_STRUCT(QuarantineRow, (), (mNumber, mChange))

/** The stage of one content or part as sent to entries. */
struct QuarantineStatus
{
  ContentId mContent;
  QuarantineStage mStage = QuarantineStage::kCleared;
  /** A refused part is refused for this customer only; empty: for all. */
  CustomerName mOnlyFor;
  /** For others, a part that is refused for one customer runs without
   * restriction, rather than one at a time. */
  bool mOthersAllowed = false;

  /** Returns how to treat a customer's request. */
  QuarantineStage StageFor(const CustomerName& aCustomer) const;

  auto operator<=>(const QuarantineStatus&) const = default;
};
BOOST_DESCRIBE_STRUCT(QuarantineStatus,
                      (),
                      (mContent, mStage, mOnlyFor, mOthersAllowed))

QuarantineStatus
StatusOf(const QuarantineChange& aChange);

/**
 * Sent to an entry: the changes after mFrom, up to and including mTo. With
 * mFrom 0 it is the whole table.
 */
struct QuarantineUpdate
{
  std::uint64_t mFrom = 0;
  std::uint64_t mTo = 0;
  std::vector<QuarantineStatus> mLines;

  auto operator<=>(const QuarantineUpdate&) const = default;
};
BOOST_DESCRIBE_STRUCT(QuarantineUpdate, (), (mFrom, mTo, mLines))

/**
 * The quarantined contents. The table is part of the state that the control log
 * replicates, so that it survives restarts of any number of processes.
 */
struct QuarantineTable
{
  /**
   * Number of the last change. It starts at 1; an entry without a table reports
   * 0.
   */
  std::uint64_t mNumber = 1;
  /**
   * Entries whose known number is below this one get the whole table, because a
   * row that they lack was evicted.
   */
  std::uint64_t mMinDeltaBase = 0;
  /** Ordered by number; each content has at most one row. */
  std::vector<QuarantineRow> mRows;

  /** Returns null if the content has no row, or its row was evicted. */
  const QuarantineRow* Find(const ContentId& aContent) const;
  void Apply(const QuarantineChange& aChange);
  /**
   * Returns the changes that an entry with the changes up to aKnownNumber
   * lacks.
   */
  QuarantineUpdate UpdateSince(std::uint64_t aKnownNumber) const;

  auto operator<=>(const QuarantineTable&) const = default;
};
BOOST_DESCRIBE_STRUCT(QuarantineTable, (), (mNumber, mMinDeltaBase, mRows))

} // namespace peridotspool::routing
