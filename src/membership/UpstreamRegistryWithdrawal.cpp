// Withdrawals that other registries acknowledged, and which of this one's they
// hold.

#include "peridotspool/membership/UpstreamRegistry.h"

#include <algorithm>
#include <functional>

namespace peridotspool::membership {

// The registry that received a withdrawal tells all subscribers. If each that
// adopts it told them as well, hundreds of subscribers would get it several
// times, and the pushes would wait for each other.
void
UpstreamRegistry::AdoptWithdrawals(const RegistryPush& aPush, TimePoint aNow)
{
  const auto heard = mHeardAt.find(aPush.mRegistryIncarnation);
  if (heard != mHeardAt.end()) {
    heard->second = aNow;
  }
  for (const RegistryRow& reported : aPush.mRows) {
    if (Row* row = AdoptWithdrawal(reported, aNow)) {
      row->mAdoptedFrom = aPush.mRegistryIncarnation;
      mHeardAt[aPush.mRegistryIncarnation] = aNow;
    }
  }
}

UpstreamRegistry::Row*
UpstreamRegistry::AdoptWithdrawal(const RegistryRow& aReported, TimePoint aNow)
{
  const bool isWithdrawn = aReported.mReport.mStage != UpstreamStage::kReady;
  if (!isWithdrawn && !aReported.mDeregistrationAgeMs) {
    return nullptr;
  }
  const auto found = mRows.find(aReported.mReport.mName);
  if (found == mRows.end()) {
    return isWithdrawn ? AddWithdrawn(aReported, aNow) : nullptr;
  }
  Row& row = found->second;
  const UpstreamReport before = row.mRow.mReport;
  MergeWithdrawal(row, aReported, aNow);
  const UpstreamReport& after = row.mRow.mReport;
  if (after.mIncarnation == before.mIncarnation &&
      after.mStage == before.mStage) {
    return nullptr;
  }
  if (after.mStage == UpstreamStage::kGone) {
    row.mLastContactAt = aNow;
  }
  if (after.mIncarnation != before.mIncarnation) {
    row.mPreviouslyPushed = false;
  }
  return &row;
}

// The upstream sends no heartbeats here, which its row must not suggest.
UpstreamRegistry::Row*
UpstreamRegistry::AddWithdrawn(const RegistryRow& aReported, TimePoint aNow)
{
  if (mRows.size() >= mOptions.mMaxRows) {
    return nullptr;
  }
  Row& row = mRows[aReported.mReport.mName];
  row.mRow = { .mReport = aReported.mReport, .mSilent = true };
  row.mLastContactAt = aNow;
  row.mIncarnationSeenAt =
    aNow - std::chrono::milliseconds(aReported.mIncarnationAgeMs);
  if (aReported.mDeregistrationAgeMs) {
    row.mDeregisteredAt =
      aNow - std::chrono::milliseconds(*aReported.mDeregistrationAgeMs);
  }
  return &row;
}

void
UpstreamRegistry::PublishAdopted(TimePoint aNow)
{
  for (auto heard = mHeardAt.begin(); heard != mHeardAt.end();) {
    if (aNow - heard->second < mOptions.mRegistryTimeout) {
      ++heard;
      continue;
    }
    for (auto& [name, row] : mRows) {
      if (row.mAdoptedFrom == heard->first) {
        PublishAdopted(row);
      }
    }
    heard = mHeardAt.erase(heard);
  }
}

void
UpstreamRegistry::PublishAdopted(Row& aRow)
{
  aRow.mAdoptedFrom = RegistryIncarnation();
  const bool wasPushed = aRow.mVersion != 0 && aRow.mPreviouslyPushed;
  MarkChanged(aRow);
  aRow.mPreviouslyPushed = wasPushed;
}

void
UpstreamRegistry::MergeWithdrawal(Row& aRow,
                                  const RegistryRow& aReported,
                                  TimePoint aNow)
{
  const UpstreamReport& reported = aReported.mReport;
  UpstreamReport& known = aRow.mRow.mReport;
  if (aReported.mDeregistrationAgeMs) {
    const TimePoint at =
      aNow - std::chrono::milliseconds(*aReported.mDeregistrationAgeMs);
    aRow.mDeregisteredAt = std::max(aRow.mDeregisteredAt.value_or(at), at);
  }
  if (reported.mIncarnation > known.mIncarnation &&
      reported.mStage != UpstreamStage::kReady) {
    known = reported;
    aRow.mRow.mSilent = true;
    aRow.mLastContactAt = aNow;
    aRow.mIncarnationSeenAt =
      aNow - std::chrono::milliseconds(aReported.mIncarnationAgeMs);
  } else if (reported.mIncarnation == known.mIncarnation) {
    known.mStage = std::max(known.mStage, reported.mStage);
  }
  if (aRow.mDeregisteredAt &&
      aRow.mIncarnationSeenAt <
        *aRow.mDeregisteredAt + mOptions.mLateHeartbeatWindow) {
    known.mStage = UpstreamStage::kGone;
  }
}

std::uint64_t
UpstreamRegistry::VersionOf(const UpstreamName& aName) const
{
  const auto found = mRows.find(aName);
  return found == mRows.end() ? 0 : found->second.mVersion;
}

std::uint64_t
UpstreamRegistry::MajorityVersion(const std::vector<Address>& aReplicas,
                                  const Address& aSelf) const
{
  if (aReplicas.empty()) {
    return 0;
  }
  std::vector<std::uint64_t> held;
  for (const Address& replica : aReplicas) {
    const auto subscriber = mSubscribers.find(replica);
    const std::uint64_t confirmed =
      subscriber == mSubscribers.end() ? 0 : subscriber->second.mConfirmed;
    held.push_back(replica == aSelf ? mVersion : confirmed);
  }
  std::sort(held.begin(), held.end(), std::greater<>());
  return held[held.size() / 2];
}

} // namespace peridotspool::membership
