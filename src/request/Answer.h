#pragma once

#include "peridotspool/base/Ids.h"
#include "peridotspool/ledger/RequestRecord.h"

#include <optional>
#include <string>

namespace peridotspool::request {

/** As much of a request's answer as this entry holds. */
struct Answer
{
  /** The attempt at which the text began from nothing; none while empty. */
  AttemptNumber mLineage;
  std::string mText;
  /** Set once the outcome is committed. */
  std::optional<ledger::Outcome> mOutcome;
  MemberId mExecutor;
};

/** Returns the answer that a committed outcome holds, whole. */
Answer
MakeAnswer(const ledger::Outcome& aOutcome, MemberId aExecutor);

} // namespace peridotspool::request
