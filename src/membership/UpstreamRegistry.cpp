#include "peridotspool/membership/UpstreamRegistry.h"

namespace peridotspool::membership {

namespace {

/** Returns true iff subscribers have to hear of the difference. */
bool
Differs(const RegistryRow& aRow, const UpstreamReport& aReport)
{
  UpstreamReport known = aRow.mReport;
  known.mSequence = aReport.mSequence;
  known.mColdFor = aReport.mColdFor;
  return aRow.mSilent || known != aReport;
}

} // namespace

UpstreamRegistry::UpstreamRegistry(UpstreamRegistryOptions aOptions)
  : mOptions(aOptions)
{
}

void
UpstreamRegistry::Change(Row& aRow)
{
  if (aRow.mVersion != 0) {
    mByVersion.erase(aRow.mVersion);
  }
  aRow.mVersion = ++mVersion;
  mByVersion.emplace(aRow.mVersion, aRow.mRow.mReport.mName);
}

// A heartbeat may be delayed for seconds and arrive after one that said that
// the upstream leaves. Taken as news it would bring work back to an upstream
// that is about to exit; its lower sequence shows that it is old.
std::vector<RegistrySend>
UpstreamRegistry::TakeReport(UpstreamReport aReport, TimePoint aNow)
{
  const auto found = mRows.find(aReport.mName);
  if (found == mRows.end()) {
    if (mRows.size() >= mOptions.mMaxRows) {
      return {};
    }
    Row& row = mRows[aReport.mName];
    row.mRow.mReport = std::move(aReport);
    row.mHeardAt = aNow;
    Change(row);
    return PushAll(aNow);
  }
  Row& row = found->second;
  const UpstreamReport& known = row.mRow.mReport;
  if (known.mStage == UpstreamStage::kGone ||
      aReport.mSequence < known.mSequence) {
    return {};
  }
  row.mHeardAt = aNow;
  if (aReport.mStage < known.mStage) {
    aReport.mStage = known.mStage;
  }
  const bool differs = Differs(row.mRow, aReport);
  row.mRow.mReport = std::move(aReport);
  row.mRow.mSilent = false;
  if (!differs) {
    return {};
  }
  Change(row);
  return PushAll(aNow);
}

std::vector<RegistrySend>
UpstreamRegistry::TakeGoodbye(const UpstreamName& aName, TimePoint aNow)
{
  const auto found = mRows.find(aName);
  if (found == mRows.end()) {
    // Its heartbeats went to another registry; subscribers know it from there
    // and only need the name to let it go.
    return TakeReport(
      UpstreamReport{ .mName = aName, .mStage = UpstreamStage::kGone }, aNow);
  }
  Row& row = found->second;
  row.mHeardAt = aNow;
  if (row.mRow.mReport.mStage == UpstreamStage::kGone) {
    return {};
  }
  row.mRow.mReport.mStage = UpstreamStage::kGone;
  Change(row);
  return PushAll(aNow);
}

std::vector<RegistrySend>
UpstreamRegistry::TakePull(const Address& aFrom,
                           const RegistryPull& aPull,
                           TimePoint aNow)
{
  const auto found = mSubscribers.find(aFrom);
  if (found == mSubscribers.end() &&
      mSubscribers.size() >= mOptions.mMaxSubscribers) {
    return {};
  }
  Subscriber& subscriber = mSubscribers[aFrom];
  subscriber.mHeardAt = aNow;
  if (aPull.mLife != mOptions.mLife) {
    subscriber.mConfirmed = 0;
    subscriber.mPushed = 0;
  } else {
    subscriber.mConfirmed = aPull.mVersion;
    // The subscriber may have restarted and know less than it confirmed.
    if (aPull.mVersion == 0) {
      subscriber.mPushed = 0;
    }
  }
  const bool due = subscriber.mPushed < mVersion ||
                   aNow - subscriber.mPushedAt >= mOptions.mResendAfter;
  if (subscriber.mConfirmed >= mVersion || !due) {
    return {};
  }
  return { Push(aFrom, subscriber, aNow) };
}

std::vector<RegistrySend>
UpstreamRegistry::Tick(TimePoint aNow)
{
  bool changed = false;
  for (auto row = mRows.begin(); row != mRows.end();) {
    const Duration quiet = aNow - row->second.mHeardAt;
    if (quiet > mOptions.mForgetAfter) {
      mByVersion.erase(row->second.mVersion);
      row = mRows.erase(row);
      continue;
    }
    RegistryRow& shown = row->second.mRow;
    if (!shown.mSilent && shown.mReport.mStage != UpstreamStage::kGone &&
        quiet > mOptions.mSilentAfter) {
      shown.mSilent = true;
      Change(row->second);
      changed = true;
    }
    ++row;
  }
  std::erase_if(mSubscribers, [&](const auto& aPair) {
    return aNow - aPair.second.mHeardAt > mOptions.mSubscriberTimeout;
  });
  std::vector<RegistrySend> sends;
  if (changed) {
    sends = PushAll(aNow);
  }
  for (auto& [address, subscriber] : mSubscribers) {
    if (subscriber.mConfirmed < mVersion &&
        aNow - subscriber.mPushedAt >= mOptions.mResendAfter) {
      sends.push_back(Push(address, subscriber, aNow));
    }
  }
  return sends;
}

std::vector<RegistrySend>
UpstreamRegistry::PushAll(TimePoint aNow)
{
  std::vector<RegistrySend> sends;
  sends.reserve(mSubscribers.size());
  for (auto& [address, subscriber] : mSubscribers) {
    sends.push_back(Push(address, subscriber, aNow));
  }
  return sends;
}

// From what is confirmed, not from what was pushed: a push may be lost, and
// rows are few.
RegistrySend
UpstreamRegistry::Push(const Address& aTo,
                       Subscriber& aSubscriber,
                       TimePoint aNow)
{
  aSubscriber.mPushed = mVersion;
  aSubscriber.mPushedAt = aNow;
  RegistrySend send{ .mTo = aTo,
                     .mPush = { .mLife = mOptions.mLife,
                                .mFrom = aSubscriber.mConfirmed,
                                .mTo = mVersion,
                                .mRows = {} } };
  for (auto place = mByVersion.upper_bound(aSubscriber.mConfirmed);
       place != mByVersion.end();
       ++place) {
    send.mPush.mRows.push_back(mRows.at(place->second).mRow);
  }
  return send;
}

} // namespace peridotspool::membership
