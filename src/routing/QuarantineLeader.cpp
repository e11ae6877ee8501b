#include "peridotspool/routing/QuarantineLeader.h"

#include <iterator>
#include <utility>

namespace peridotspool::routing {

QuarantineLeader::QuarantineLeader(const QuarantineTable& aCommitted,
                                   TimePoint aNow)
  : mContents(aCommitted, aNow)
  , mParts(aCommitted, aNow)
{
}

CrashReportAck
QuarantineLeader::HandleReport(const Address& aFrom,
                               const CrashReport& aReport,
                               const QuarantineTable& aCommitted,
                               TimePoint aNow)
{
  for (const ReportedCrash& reported : aReport.mLines) {
    mParts.HandleCrash(aFrom, reported, aNow);
  }
  return mContents.HandleReport(aFrom, aReport, aCommitted, aNow);
}

PermitResponse
QuarantineLeader::HandlePermitRequest(const Address& aFrom,
                                      const PermitRequest& aRequest,
                                      const QuarantineTable& aCommitted,
                                      TimePoint aNow)
{
  const PermitVerdict parts =
    mParts.CheckPermit(aFrom, aRequest, aCommitted, aNow);
  if (parts != PermitVerdict::kGranted) {
    return { .mTag = aRequest.mTag, .mVerdict = parts };
  }
  const PermitResponse response =
    mContents.HandlePermitRequest(aFrom, aRequest, aCommitted, aNow);
  if (response.mVerdict == PermitVerdict::kGranted) {
    mParts.Grant(aFrom, aRequest, aNow);
  }
  return response;
}

void
QuarantineLeader::HandleRunEnded(const Address& aFrom,
                                 const RunEnded& aEnded,
                                 TimePoint aNow)
{
  mContents.HandleRunEnded(aFrom, aEnded, aNow);
  mParts.HandleRunEnded(aFrom, aEnded, aNow);
}

void
QuarantineLeader::RecordResubmission(const ContentId& aContent, TimePoint aNow)
{
  if (const auto part = PartOf(aContent)) {
    mParts.RecordResubmission(*part, aNow);
  } else {
    mContents.RecordResubmission(aContent, aNow);
  }
}

std::vector<QuarantineChange>
QuarantineLeader::PendingChanges(const QuarantineTable& aCommitted,
                                 TimePoint aNow)
{
  auto changes = mContents.PendingChanges(aCommitted, aNow);
  auto parts = mParts.PendingChanges(aCommitted, aNow);
  std::move(parts.begin(), parts.end(), std::back_inserter(changes));
  return changes;
}

} // namespace peridotspool::routing
