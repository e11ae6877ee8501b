#include "runtime/UpstreamFeed.h"

namespace peridotspool::runtime {

using membership::UpstreamStage;
using observe::EventId;

void
UpstreamFeed::Take(const Address& aFrom,
                   const membership::RegistryPush& aPush,
                   TimePoint aNow)
{
  for (const UpstreamName& name : mDirectory.ApplyPush(aFrom, aPush, aNow)) {
    Note(name, aFrom, aPush, aNow);
  }
}

void
UpstreamFeed::Note(const UpstreamName& aName,
                   const Address& aFrom,
                   const membership::RegistryPush& aPush,
                   TimePoint aNow)
{
  const membership::KnownUpstream* known = mDirectory.Find(aName);
  const bool ready = known->mReport.mStage == UpstreamStage::kReady;
  const bool restarted = mCore.mSelector.Update(aName, known, aNow);
  mCore.mLogger.Log(ready ? EventId::kUpstreamAnnounced
                          : EventId::kUpstreamLeaving,
                    { { "upstream", aName },
                      { "service", known->mReport.mService },
                      { "stage", static_cast<int>(known->mReport.mStage) },
                      { "silent", known->mSilent },
                      { "incarnation", known->mReport.mIncarnation },
                      { "sequence", known->mReport.mSequence },
                      { "told_by", ToText(aFrom) },
                      { "version", aPush.mTo } });
  if (!ready || restarted) {
    mCore.mPool.Remove(aName);
  }
  if (restarted) {
    mCore.mUpstreamLimits.Remove(aName);
  }
  for (const auto& ended : mCore.mCrashWitness.Announced(
         { .mName = aName, .mIncarnation = known->mReport.mIncarnation },
         known->mReport.mAddress,
         aNow)) {
    mCore.OnUpstreamEnded(ended);
  }
}

void
UpstreamFeed::Forget(TimePoint aNow)
{
  mCore.mCrashWitness.Forget(aNow);
  for (const UpstreamName& name : mDirectory.Forget(aNow)) {
    mCore.mSelector.Update(name, nullptr, aNow);
    mCore.mUpstreamLimits.Remove(name);
  }
}

} // namespace peridotspool::runtime
