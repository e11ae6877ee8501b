#include "peridotspool/membership/UpstreamRegistry.h"

#include <algorithm>

namespace peridotspool::membership {

namespace {

/** Returns true iff the report changes what subscribers need to know. */
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

// For an upstream that is leaving, only the stage and the sequence number are
// sent if the complete row was published before.
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

// A heartbeat that was sent before the deregistration may arrive after it, and
// may be the first report of its incarnation at this registry.
bool
UpstreamRegistry::IsInLateHeartbeatWindow(const Row& aRow, TimePoint aNow) const
{
  return aRow.mDeregisteredAt &&
         aNow - *aRow.mDeregisteredAt < mOptions.mLateHeartbeatWindow;
}

// A heartbeat may be delayed for seconds and arrive after one that reported
// that the upstream is leaving. If it were treated as current, requests would
// again be sent to an upstream that is about to exit. Its lower sequence number
// shows that it is outdated.
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
    row.mLastContactAt = aNow;
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
  row.mLastContactAt = aNow;
  // The upstream withdraws here as well, so this registry has to tell it.
  const bool isRepeated =
    row.mAdoptedFrom.IsSet() && aReport.mStage != UpstreamStage::kReady;
  if (aReport.mStage < known.mStage) {
    aReport.mStage = known.mStage;
  }
  const bool needsPush = isRepeated || NeedsPush(row.mRow, aReport);
  row.mRow.mReport = std::move(aReport);
  row.mRow.mSilent = false;
  if (!needsPush) {
    return {};
  }
  row.mAdoptedFrom = RegistryIncarnation();
  MarkChanged(row);
  return PushAll(aNow);
}

// An upstream that crashed may restart under the same name, with sequence
// numbers that start again. If only sequence numbers were compared, all its
// heartbeats would look outdated, and it would remain silent or gone until it
// had sent as many as before. The state of an upstream therefore ends with its
// incarnation.
std::vector<RegistrySend>
UpstreamRegistry::ReplaceIncarnation(Row& aRow,
                                     UpstreamReport aReport,
                                     TimePoint aNow)
{
  if (IsInLateHeartbeatWindow(aRow, aNow)) {
    aReport.mStage = UpstreamStage::kGone;
  }
  aRow.mRow = { .mReport = std::move(aReport), .mSilent = false };
  aRow.mLastContactAt = aNow;
  aRow.mIncarnationSeenAt = aNow;
  aRow.mAdoptedFrom = RegistryIncarnation();
  MarkChanged(aRow);
  aRow.mPreviouslyPushed = false;
  return PushAll(aNow);
}

// A deregistration that specifies no incarnation may refer to one that only
// other registries know. Subscribers learn from all registries when each
// incarnation was first reported, and use the age of the deregistration to
// determine which one it ends.
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
  row.mLastContactAt = aNow;
  const bool isNewer = isNew || aIncarnation > report.mIncarnation;
  if (isNewer) {
    report.mName = aName;
    report.mIncarnation = aIncarnation;
    row.mIncarnationSeenAt = aNow;
  }
  const bool isRepeated =
    !isNewer && report.mStage == UpstreamStage::kGone &&
    !row.mAdoptedFrom.IsSet() &&
    (aIncarnation.IsSet() || IsInLateHeartbeatWindow(row, aNow));
  if (isRepeated) {
    return {};
  }
  if (!aIncarnation.IsSet()) {
    row.mDeregisteredAt = aNow;
  }
  report.mStage = UpstreamStage::kGone;
  row.mAdoptedFrom = RegistryIncarnation();
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
  subscriber.mIsReplica = subscriber.mIsReplica || aPull.mFromReplica;
  const std::uint64_t has =
    aPull.mRegistryIncarnation == mOptions.mRegistryIncarnation ? aPull.mVersion
                                                                : 0;
  if (has > subscriber.mConfirmed) {
    subscriber.mUnconfirmedSince = aNow;
    subscriber.mHasResent = false;
  } else if (has < subscriber.mConfirmed) {
    // The subscriber restarted and has an older version than it confirmed.
    subscriber.mPushed = has;
    subscriber.mHasResent = false;
  }
  if (has != 0) {
    TimeConfirmation(subscriber, TimePoint(Duration(aPull.mLastSentAt)), aNow);
  }
  subscriber.mConfirmed = has;
  subscriber.mPushed = std::max(subscriber.mPushed, has);
  if (IsDue(subscriber, aNow)) {
    const std::uint64_t from = StartPush(subscriber, aNow);
    return { { .mTo = { aFrom }, .mPush = MakePush(from, aNow) } };
  }
  if (!aPull.mFromReplica) {
    return {};
  }
  return { { .mTo = { aFrom },
             .mPush = { .mRegistryIncarnation = mOptions.mRegistryIncarnation,
                        .mFrom = has,
                        .mTo = has,
                        .mRows = {},
                        .mSentAt = aNow.time_since_epoch().count() } } };
}

void
UpstreamRegistry::TimeConfirmation(Subscriber& aSubscriber,
                                   TimePoint aSentAt,
                                   TimePoint aNow)
{
  constexpr Duration::rep kSmoothing = 4;
  if (aSentAt <= aSubscriber.mReceivedSentAt) {
    return;
  }
  aSubscriber.mReceivedSentAt = aSentAt;
  const Duration took = aNow - aSentAt;
  const Duration average = aSubscriber.mConfirmTime.value_or(took);
  aSubscriber.mConfirmTime = average + (took - average) / kSmoothing;
}

bool
UpstreamRegistry::MarkSilentRows(TimePoint aNow)
{
  bool changed = false;
  for (auto row = mRows.begin(); row != mRows.end();) {
    const Duration silence = aNow - row->second.mLastContactAt;
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
    PublishAdopted(aNow);
    std::erase_if(mSubscribers, [&](const auto& aPair) {
      return aNow - aPair.second.mLastPullAt > mOptions.mSubscriberTimeout;
    });
  }
  return PushAll(aNow);
}

// While a link or a processor is overloaded, confirmations come late. Sending
// everything unconfirmed again at a fixed time would add to the overload, and
// the confirmations would come later still.
Duration
UpstreamRegistry::ResendAfter(const Subscriber& aSubscriber) const
{
  const Duration confirmTime = aSubscriber.mConfirmTime.value_or(Duration(0));
  const Duration wanted =
    std::max({ mOptions.mResendAfter, Spacing(), 2 * confirmTime });
  const int times = aSubscriber.mHasResent ? 2 : 1;
  return std::min(wanted * times, mOptions.mMaxResendAfter);
}

bool
UpstreamRegistry::IsLost(const Subscriber& aSubscriber, TimePoint aNow) const
{
  return aSubscriber.mPushed > aSubscriber.mConfirmed &&
         aNow - aSubscriber.mUnconfirmedSince >= ResendAfter(aSubscriber);
}

// 300 subscribers with 100 pushes per second each would exceed what a replica
// can send. A few pushes per second are sufficient for each of them.
Duration
UpstreamRegistry::Spacing() const
{
  return std::max(mOptions.mSpacing,
                  mOptions.mSpacingPerSubscriber *
                    static_cast<Duration::rep>(mSubscribers.size()));
}

// An upstream that withdraws waits until a majority of the replicas has
// confirmed it, however many entries there are.
Duration
UpstreamRegistry::SpacingOf(const Subscriber& aSubscriber) const
{
  return aSubscriber.mIsReplica ? std::min(mOptions.mReplicaSpacing, Spacing())
                                : Spacing();
}

// If 100 upstreams leave within 0.1 s, one push per upstream to each of 100
// entries occupies a slow link for seconds, and the last entries are notified
// too late. A small spacing combines the changes into fewer pushes.
bool
UpstreamRegistry::IsDue(const Subscriber& aSubscriber, TimePoint aNow) const
{
  const bool mayPush = aSubscriber.mBurstCount < mOptions.mMaxBurst ||
                       aNow - aSubscriber.mPushedAt >= SpacingOf(aSubscriber);
  return (mayPush && aSubscriber.mPushed < mVersion) ||
         IsLost(aSubscriber, aNow);
}

std::vector<RegistrySend>
UpstreamRegistry::PushAll(TimePoint aNow)
{
  // Subscribers with the same version get the same push, which is made once.
  std::map<std::uint64_t, std::vector<Address>> due;
  for (auto& [address, subscriber] : mSubscribers) {
    if (IsDue(subscriber, aNow)) {
      due[StartPush(subscriber, aNow)].push_back(address);
    }
  }
  std::vector<RegistrySend> sends;
  sends.reserve(due.size());
  for (auto& [from, addresses] : due) {
    sends.push_back(
      { .mTo = std::move(addresses), .mPush = MakePush(from, aNow) });
  }
  return sends;
}

// An unconfirmed recent push is assumed to arrive, so only newer changes are
// sent. A subscriber that missed a push rejects all later ones and its
// confirmed version stops advancing. All changes since that version are sent
// again after mResendAfter.
std::uint64_t
UpstreamRegistry::StartPush(Subscriber& aSubscriber, TimePoint aNow)
{
  const bool isUnconfirmed = aSubscriber.mPushed > aSubscriber.mConfirmed;
  const bool lost = IsLost(aSubscriber, aNow);
  const std::uint64_t from =
    isUnconfirmed && !lost ? aSubscriber.mPushed : aSubscriber.mConfirmed;
  if (!isUnconfirmed || lost) {
    aSubscriber.mUnconfirmedSince = aNow;
  }
  aSubscriber.mHasResent = aSubscriber.mHasResent || lost;
  const Duration resetAfter =
    std::max(mOptions.mBurstResetAfter, 4 * SpacingOf(aSubscriber));
  const bool isBurst = aNow - aSubscriber.mPushedAt < resetAfter;
  aSubscriber.mBurstCount = isBurst ? aSubscriber.mBurstCount + 1 : 0;
  aSubscriber.mPushed = mVersion;
  aSubscriber.mPushedAt = aNow;
  return from;
}

RegistryPush
UpstreamRegistry::MakePush(std::uint64_t aFrom, TimePoint aNow) const
{
  RegistryPush push{ .mRegistryIncarnation = mOptions.mRegistryIncarnation,
                     .mFrom = aFrom,
                     .mTo = mVersion,
                     .mRows = {},
                     .mSentAt = aNow.time_since_epoch().count() };
  for (auto place = mByVersion.upper_bound(aFrom); place != mByVersion.end();
       ++place) {
    push.mRows.push_back(MakePushRow(mRows.at(place->second), aNow));
  }
  return push;
}

} // namespace peridotspool::membership
