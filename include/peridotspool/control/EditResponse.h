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
  /** Another edit took the base first: mRevision by mWinner. */
  kConflict,
  /** The whole tree fails its check: mReason says where. Nothing changed. */
  kInvalid,
  /** This edit id was used before for another edit. Nothing changed. */
  kEditIdReused,
};
BOOST_DESCRIBE_ENUM(EditVerdict, kCommitted, kConflict, kInvalid, kEditIdReused)

/** The final answer to a settings edit; a resent edit gets the same one. */
struct EditResponse
{
  EditVerdict mVerdict = EditVerdict::kInvalid;
  /** kCommitted: the edit's revision; kConflict: the winner's. */
  Revision mRevision;
  /** kConflict: the edit that made mRevision. */
  EditId mWinner;
  std::string mReason;

  auto operator<=>(const EditResponse&) const = default;
};
BOOST_DESCRIBE_STRUCT(EditResponse, (), (mVerdict, mRevision, mWinner, mReason))

} // namespace peridotspool::control
