#pragma once

#include "peridotspool/base/Ids.h"

#include <boost/describe/class.hpp>
#include <boost/describe/enum.hpp>
#include <compare>
#include <string>

namespace peridotspool::control {

enum class EditVerdict
{
  /** Committed as mRevision. */
  kCommitted,
  /**
   * Another edit of the same base was committed first: mRevision by mWinner.
   */
  kConflict,
  /** The whole tree is invalid: mReason gives the location. Nothing changed. */
  kInvalid,
  /** This edit id was used before for another edit. Nothing changed. */
  kEditIdReused,
};
BOOST_DESCRIBE_ENUM(EditVerdict, kCommitted, kConflict, kInvalid, kEditIdReused)

/** The final response to a settings edit; a resent edit gets the same one. */
struct EditResponse
{
  EditVerdict mVerdict = EditVerdict::kInvalid;
  /** kCommitted: the edit's revision; kConflict: the winner's. */
  Revision mRevision;
  /** kConflict: the edit that created mRevision. */
  EditId mWinner;
  std::string mReason;

  auto operator<=>(const EditResponse&) const = default;
};
BOOST_DESCRIBE_STRUCT(EditResponse, (), (mVerdict, mRevision, mWinner, mReason))

} // namespace peridotspool::control
