#include "peridotspool/membership/UpstreamRegistry.h"

#include <algorithm>

namespace peridotspool::membership {

namespace {

/** Returns true iff subscribers have to hear of the difference. */
bool
NeedsPush(const RegistryRow& aRow, const UpstreamReport& aReport)
{
  UpstreamReport known = aRow.mReport;
  known.mSequence = aReport.mSequence;
  known.mColdFor = aReport.mColdFor;
  return aRow.mSilent || known != aReport;
}

std::uint64_t
Milliseconds(Duration aDuration)
{
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count());
}

} // namespace

UpstreamRegistry::UpstreamRegistry(UpstreamRegistryOptions aOptions)
  : mOptions(aOptions)
{
}

void
UpstreamRegistry::MarkChanged(Row& aRow)
{
  if (aRow.mVersion != 0) {
    mByVersion.erase(aRow.mVersion);
    aRow.mPreviouslyPushed = true;
  }
  aRow.mVersion = ++mVersion;
  mByVersion.emplace(aRow.mVersion, aRow.mRow.mReport.mName);
}

// Of an upstream that leaves only that is told: all else was told before.
RegistryRow
UpstreamRegistry::MakePushRow(const Row& aRow, TimePoint aNow)
{
  RegistryRow row = aRow.mRow;
  const UpstreamReport& report = aRow.mRow.mReport;
  if (report.mStage != UpstreamStage::kReady && aRow.mPreviouslyPushed) {
    row.mReport = { .mName = report.mName,
                    .mIncarnation = report.mIncarnation,
                    .mStage = report.mStage,
                    .mSequence = report.mSequence };
  }
  row.mIncarnationAgeMs = Milliseconds(aNow - aRow.mIncarnationSeenAt);
  if (aRow.mDeregisteredAt) {
    row.mDeregistrationAgeMs = Milliseconds(aNow - *aRow.mDeregisteredAt);
  }
  return row;
}

// A heartbeat that was sent before the goodbye may arrive after it, and be the
// first that is heard of its incarnation here.
bool
UpstreamRegistry::IsInLateHeartbeatWindow(const Row& aRow, TimePoint aNow) const
{
  return aRow.mDeregisteredAt &&
         aNow - *aRow.mDeregisteredAt < mOptions.mLateHeartbeatWindow;
}

// A heartbeat may be delayed for seconds and arrive after one that said that
// the upstream leaves. Taken as news it would bring work back to an upstream
// that is about to exit; its lower sequence shows that it is old.
std::vector<RegistrySend>
UpstreamRegistry::HandleHeartbeat(UpstreamReport aReport, TimePoint aNow)
{
  const auto found = mRows.find(aReport.mName);
  if (found == mRows.end()) {
    if (mRows.size() >= mOptions.mMaxRows) {
      return {};
    }
    Row& row = mRows[aReport.mName];
    row.mRow.mReport = std::move(aReport);
    row.mLastHeardAt = aNow;
    row.mIncarnationSeenAt = aNow;
    MarkChanged(row);
    return PushAll(aNow);
  }
  Row& row = found->second;
  const UpstreamReport& known = row.mRow.mReport;
  if (aReport.mIncarnation < known.mIncarnation) {
    return {};
  }
  if (aReport.mIncarnation > known.mIncarnation) {
    return ReplaceIncarnation(row, std::move(aReport), aNow);
  }
  if (known.mStage == UpstreamStage::kGone ||
      aReport.mSequence < known.mSequence) {
    return {};
  }
  row.mLastHeardAt = aNow;
  if (aReport.mStage < known.mStage) {
    aReport.mStage = known.mStage;
  }
  const bool needsPush = NeedsPush(row.mRow, aReport);
  row.mRow.mReport = std::move(aReport);
  row.mRow.mSilent = false;
  if (!needsPush) {
    return {};
  }
  MarkChanged(row);
  return PushAll(aNow);
}

// An upstream that crashed may start again under its name, with its heartbeats
// counted anew. Compared by their numbers alone they would all look late, and
// it would stay unheard, or gone, until it had sent as many as before. All that
// was known of it ends with the incarnation that it was known of.
std::vector<RegistrySend>
UpstreamRegistry::ReplaceIncarnation(Row& aRow,
                                     UpstreamReport aReport,
                                     TimePoint aNow)
{
  if (IsInLateHeartbeatWindow(aRow, aNow)) {
    aReport.mStage = UpstreamStage::kGone;
  }
  aRow.mRow = { .mReport = std::move(aReport), .mSilent = false };
  aRow.mLastHeardAt = aNow;
  aRow.mIncarnationSeenAt = aNow;
  MarkChanged(aRow);
  aRow.mPreviouslyPushed = false;
  return PushAll(aNow);
}

// A goodbye that names no incarnation may be of one that only other registries
// have heard of. Subscribers know from all of them since when each incarnation
// is known, and find out by the goodbye's age which one it ends.
std::vector<RegistrySend>
UpstreamRegistry::HandleDeregistration(const UpstreamName& aName,
                                       Incarnation aIncarnation,
                                       TimePoint aNow)
{
  const auto found = mRows.find(aName);
  if (found == mRows.end() && mRows.size() >= mOptions.mMaxRows) {
    return {};
  }
  const bool isNew = found == mRows.end();
  Row& row = isNew ? mRows[aName] : found->second;
  UpstreamReport& report = row.mRow.mReport;
  if (aIncarnation.IsSet() && aIncarnation < report.mIncarnation) {
    return {};
  }
  row.mLastHeardAt = aNow;
  const bool isNewer = isNew || aIncarnation > report.mIncarnation;
  if (isNewer) {
    report.mName = aName;
    report.mIncarnation = aIncarnation;
    row.mIncarnationSeenAt = aNow;
  }
  const bool isRepeated =
    !isNewer && report.mStage == UpstreamStage::kGone &&
    (aIncarnation.IsSet() || IsInLateHeartbeatWindow(row, aNow));
  if (isRepeated) {
    return {};
  }
  if (!aIncarnation.IsSet()) {
    row.mDeregisteredAt = aNow;
  }
  report.mStage = UpstreamStage::kGone;
  MarkChanged(row);
  return PushAll(aNow);
}

std::vector<RegistrySend>
UpstreamRegistry::HandlePull(const Address& aFrom,
                             const RegistryPull& aPull,
                             TimePoint aNow)
{
  const auto found = mSubscribers.find(aFrom);
  if (found == mSubscribers.end() &&
      mSubscribers.size() >= mOptions.mMaxSubscribers) {
    return {};
  }
  Subscriber& subscriber = mSubscribers[aFrom];
  subscriber.mLastPullAt = aNow;
  const std::uint64_t has =
    aPull.mRegistryIncarnation == mOptions.mRegistryIncarnation ? aPull.mVersion
                                                                : 0;
  if (has > subscriber.mConfirmed) {
    subscriber.mUnconfirmedSince = aNow;
  } else if (has < subscriber.mConfirmed || has == 0) {
    // It has restarted, and knows less than it confirmed.
    subscriber.mPushed = has;
  }
  subscriber.mConfirmed = has;
  subscriber.mPushed = std::max(subscriber.mPushed, has);
  if (!IsDue(subscriber, aNow)) {
    return {};
  }
  return { Push(aFrom, subscriber, aNow) };
}

bool
UpstreamRegistry::MarkSilentRows(TimePoint aNow)
{
  bool changed = false;
  for (auto row = mRows.begin(); row != mRows.end();) {
    const Duration silence = aNow - row->second.mLastHeardAt;
    if (silence > mOptions.mForgetAfter) {
      mByVersion.erase(row->second.mVersion);
      row = mRows.erase(row);
      continue;
    }
    RegistryRow& shown = row->second.mRow;
    if (!shown.mSilent && shown.mReport.mStage != UpstreamStage::kGone &&
        silence > mOptions.mSilentAfter) {
      shown.mSilent = true;
      MarkChanged(row->second);
      changed = true;
    }
    ++row;
  }
  return changed;
}

std::vector<RegistrySend>
UpstreamRegistry::Tick(TimePoint aNow)
{
  if (aNow - mLastSweepAt >= mOptions.mSweepPeriod) {
    mLastSweepAt = aNow;
    MarkSilentRows(aNow);
    std::erase_if(mSubscribers, [&](const auto& aPair) {
      return aNow - aPair.second.mLastPullAt > mOptions.mSubscriberTimeout;
    });
  }
  return PushAll(aNow);
}

bool
UpstreamRegistry::IsLost(const Subscriber& aSubscriber, TimePoint aNow) const
{
  return aSubscriber.mPushed > aSubscriber.mConfirmed &&
         aNow - aSubscriber.mUnconfirmedSince >= mOptions.mResendAfter;
}

// Three hundred subscribers at a hundred pushes a second each would be more
// than a replica can send; a few times a second is soon enough for all of them.
Duration
UpstreamRegistry::Spacing() const
{
  return std::max(mOptions.mSpacing,
                  mOptions.mSpacingPerSubscriber *
                    static_cast<Duration::rep>(mSubscribers.size()));
}

// When a hundred upstreams leave within a tenth of a second, a push for each of
// them to each of a hundred entries takes a slow link for seconds, and the last
// ones are told too late. A little spacing gathers them.
bool
UpstreamRegistry::IsDue(const Subscriber& aSubscriber, TimePoint aNow) const
{
  const bool mayPush = aSubscriber.mBurstCount < mOptions.mMaxBurst ||
                       aNow - aSubscriber.mPushedAt >= Spacing();
  return (mayPush && aSubscriber.mPushed < mVersion) ||
         IsLost(aSubscriber, aNow);
}

std::vector<RegistrySend>
UpstreamRegistry::PushAll(TimePoint aNow)
{
  std::vector<RegistrySend> sends;
  for (auto& [address, subscriber] : mSubscribers) {
    if (IsDue(subscriber, aNow)) {
      sends.push_back(Push(address, subscriber, aNow));
    }
  }
  return sends;
}

// What was pushed a moment ago is taken to arrive, and only what is newer is
// sent. A subscriber that missed something takes nothing that follows it, and
// so confirms no more: then all from what it has confirmed is sent again.
RegistrySend
UpstreamRegistry::Push(const Address& aTo,
                       Subscriber& aSubscriber,
                       TimePoint aNow)
{
  const bool isUnconfirmed = aSubscriber.mPushed > aSubscriber.mConfirmed;
  const bool lost = IsLost(aSubscriber, aNow);
  const std::uint64_t from =
    isUnconfirmed && !lost ? aSubscriber.mPushed : aSubscriber.mConfirmed;
  if (!isUnconfirmed || lost) {
    aSubscriber.mUnconfirmedSince = aNow;
  }
  const Duration resetAfter =
    std::max(mOptions.mBurstResetAfter, 4 * Spacing());
  const bool isBurst = aNow - aSubscriber.mPushedAt < resetAfter;
  aSubscriber.mBurstCount = isBurst ? aSubscriber.mBurstCount + 1 : 0;
  aSubscriber.mPushed = mVersion;
  aSubscriber.mPushedAt = aNow;
  RegistrySend send{ .mTo = aTo,
                     .mPush = { .mRegistryIncarnation =
                                  mOptions.mRegistryIncarnation,
                                .mFrom = from,
                                .mTo = mVersion,
                                .mRows = {} } };
  for (auto place = mByVersion.upper_bound(from); place != mByVersion.end();
       ++place) {
    send.mPush.mRows.push_back(MakePushRow(mRows.at(place->second), aNow));
  }
  return send;
}

} // namespace peridotspool::membership
