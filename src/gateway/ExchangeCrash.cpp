// Evidence of upstreams' crashes that a request's responses give.

#include "gateway/Exchange.h"
#include "gateway/IncarnationProbe.h"

#include <utility>

namespace peridotspool::gateway {

routing::LostResponse
Exchange::LostResponseNow() const
{
  return { .mContent = mGateRequest.mContent,
           .mSentAt = mSent.mSentAt,
           .mLostAt = mCore.mNow(),
           .mHadPermit = mPermit != 0,
           .mParts = mGateRequest.mParts,
           .mCustomer = mGateRequest.mCustomer };
}

// Either the connection or the upstream process may have ended. An upstream
// that has announced its leave may end at any time, so its end is not reported
// as a crash.
void
Exchange::RecordConnectionLoss(const ConnectionFailure& aFailure)
{
  const routing::UpstreamIncarnation life{ .mName = mUpstream,
                                           .mIncarnation = mSent.mIncarnation };
  if (aFailure.mPathLost) {
    return;
  }
  if (aFailure.mRefused) {
    mCore.OnConnectionRefused(life);
    return;
  }
  if (!aFailure.mMayHaveBeenSent || !mCore.mSelector.IsReady(mUpstream)) {
    return;
  }
  const auto ended =
    mCore.mCrashWitness.Lost(life, mUpstreamAddress, LostResponseNow());
  mCore.mQuarantineGate.Lost(std::exchange(mPermit, 0), mCore.mNow());
  if (ended) {
    mCore.OnUpstreamEnded(*ended);
  } else if (mCore.mCrashWitness.ShouldProbe(life, mCore.mNow())) {
    ProbeIncarnation(mCore, life, mUpstreamAddress);
  }
}

// A response that only the end of its connection marks as complete may have
// been cut by a crash. It shows nothing until the upstream is seen alive.
void
Exchange::RecordCompletion()
{
  if (mHead.mFraming != BodyFraming::kConnection) {
    RecordAnswered(routing::AnswerEvidence::kComplete);
    return;
  }
  const TimePoint now = mCore.mNow();
  routing::LostResponse response = LostResponseNow();
  response.mSeemedComplete = true;
  mCore.mQuarantineGate.Lost(std::exchange(mPermit, 0), now);
  if (!mCore.mSelector.IsReady(mUpstream)) {
    return;
  }
  const routing::UpstreamIncarnation life{ .mName = mUpstream,
                                           .mIncarnation = mSent.mIncarnation };
  const auto crash = mCore.mCrashWitness.Lost(life, mUpstreamAddress, response);
  if (crash) {
    mCore.OnUpstreamEnded(*crash);
  } else if (mCore.mQuarantineGate.IsListed(mGateRequest) &&
             mCore.mCrashWitness.ShouldProbe(life, now)) {
    ProbeIncarnation(mCore, life, mUpstreamAddress);
  }
}

} // namespace peridotspool::gateway
