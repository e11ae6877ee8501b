#pragma once

#include "peridotspool/base/Ids.h"
#include "peridotspool/ledger/RequestRecord.h"

#include <optional>
#include <string>

namespace peridotspool::request {

/** The part of a request's answer that this entry holds. */
struct Answer
{
  /** The attempt that started the text from its beginning; unset while the text
   * is empty. */
  AttemptNumber mLineage;
  std::string mText;
  /** Set once the outcome is committed. */
  std::optional<ledger::Outcome> mOutcome;
  MemberId mExecutor;
};

/** Returns the complete answer of a committed outcome. */
Answer
MakeAnswer(const ledger::Outcome& aOutcome, MemberId aExecutor);

} // namespace peridotspool::request
