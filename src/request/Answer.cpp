#include "request/Answer.h"

namespace peridotspool::request {

Answer
MakeAnswer(const ledger::Outcome& aOutcome, MemberId aExecutor)
{
  Answer answer{ .mOutcome = aOutcome, .mExecutor = aExecutor };
  if (aOutcome.mKind == ledger::OutcomeKind::kAnswered) {
    answer.mLineage = aOutcome.mLineage;
    answer.mText = aOutcome.mBody;
  }
  return answer;
}

} // namespace peridotspool::request
