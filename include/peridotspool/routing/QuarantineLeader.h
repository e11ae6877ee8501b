#pragma once

#include "peridotspool/base/Address.h"
#include "peridotspool/base/Time.h"
#include "peridotspool/routing/CrashReport.h"
#include "peridotspool/routing/PromptPartSuspects.h"
#include "peridotspool/routing/Quarantine.h"
#include "peridotspool/routing/QuarantineManager.h"

#include <vector>

namespace peridotspool::routing {

/**
 * The control leader's part in the quarantine: of whole contents and of parts
 * of prompts.
 *
 * Does no I/O and reads no clock. Not thread-safe.
 */
class QuarantineLeader
{
public:
  QuarantineLeader() = default;
  /** Creates the state of a new leader from the committed table. */
  QuarantineLeader(const QuarantineTable& aCommitted, TimePoint aNow);

  CrashReportAck HandleReport(const Address& aFrom,
                              const CrashReport& aReport,
                              const QuarantineTable& aCommitted,
                              TimePoint aNow);
  /** Grants a permit for all that the request names, or for nothing. */
  PermitResponse HandlePermitRequest(const Address& aFrom,
                                     const PermitRequest& aRequest,
                                     const QuarantineTable& aCommitted,
                                     TimePoint aNow);
  void HandleRunEnded(const Address& aFrom,
                      const RunEnded& aEnded,
                      TimePoint aNow);
  /** Records that an entry refused a request for this content or part. */
  void RecordResubmission(const ContentId& aContent, TimePoint aNow);
  /**
   * Returns the changes to commit. A change is returned again until it is
   * committed.
   */
  std::vector<QuarantineChange> PendingChanges(
    const QuarantineTable& aCommitted,
    TimePoint aNow);

private:
  QuarantineManager mContents;
  PromptPartSuspects mParts;
};

} // namespace peridotspool::routing
