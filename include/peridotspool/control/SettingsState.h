#pragma once

#include "peridotspool/base/TextDelta.h"
#include "peridotspool/control/EditResponse.h"

#include <boost/describe/class.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace peridotspool::control {

/** One committed edit. */
struct SettingsChange
{
  Revision mRevision;
  EditId mEdit;
  std::string mAuthor;
  /** Empty when it is too large to be retained. */
  std::optional<TextDelta> mDelta;

  auto operator<=>(const SettingsChange&) const = default;
};
BOOST_DESCRIBE_STRUCT(SettingsChange, (), (mRevision, mEdit, mAuthor, mDelta))

/** The first response to an edit, retained for resends. */
struct EditRecord
{
  std::uint64_t mDigest = 0;
  EditResponse mAnswer;

  auto operator<=>(const EditRecord&) const = default;
};
BOOST_DESCRIBE_STRUCT(EditRecord, (), (mDigest, mAnswer))

/**
 * The replicated settings: the text of the whole tree and its latest changes.
 */
struct SettingsState
{
  Revision mRevision;
  /** The whole tree at mRevision as YAML; not interpreted here. */
  std::string mText;
  /** The latest changes in ascending order up to mRevision; bounded. */
  std::vector<SettingsChange> mHistory;
  std::map<EditId, EditRecord> mEdits;
  /** The ids of mEdits, oldest first; bounded. */
  std::vector<EditId> mEditOrder;
  /**
   * The version that the operator assigned to mText; empty when edits produced
   * it. Each number is a version, 0 among them.
   */
  std::optional<std::uint64_t> mDocument;

  auto operator<=>(const SettingsState&) const = default;
};
BOOST_DESCRIBE_STRUCT(
  SettingsState,
  (),
  (mRevision, mText, mHistory, mEdits, mEditOrder, mDocument))

} // namespace peridotspool::control
