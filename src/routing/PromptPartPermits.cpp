// Permits of parts that run one at a time.

#include "peridotspool/routing/PromptPartSuspects.h"

#include <algorithm>

namespace peridotspool::routing {

namespace {

constexpr Duration kMaxPermitTime = std::chrono::seconds(30);
/**
 * A request with several parts that the crashes don't tell apart shows little,
 * so it waits for this long while requests with one of them go first.
 */
constexpr Duration kSeparationTime = std::chrono::seconds(5);
/** Requests with a part may be sent so often once it has counted enough
 * crashes to be refused, and once more if one of them showed nothing. */
constexpr std::uint32_t kMaxLatePermits = 2;
/** Late permits are given when the upstreams that crashed are back and the
 * requests that were in flight are over. */
constexpr Duration kQuietBeforeLatePermit = std::chrono::milliseconds(1500);
constexpr Duration kLatePermitInterval = std::chrono::seconds(3);
/** A crash may be known to nobody, as the entry that saw it failed too. */
constexpr std::uint32_t kMissedCrashes = 1;

bool
IsLate(const PartVerdict& aVerdict)
{
  return aVerdict.mStage == QuarantineStage::kRefused ||
         aVerdict.mCrashes + kMissedCrashes >= kMaxPartCrashes;
}

} // namespace

PermitVerdict
PromptPartSuspects::CheckPermit(const Address& aFrom,
                                const PermitRequest& aRequest,
                                const QuarantineTable& aCommitted,
                                TimePoint aNow)
{
  PermitVerdict worst = CheckGroup(aRequest, aNow);
  for (const ContentId& content : aRequest.mContents) {
    Suspect* const suspect = Find(content);
    const QuarantineRow* row = aCommitted.Find(content);
    if (suspect == nullptr || row == nullptr ||
        row->mChange.mStage == QuarantineStage::kCleared ||
        worst != PermitVerdict::kGranted) {
      continue;
    }
    worst =
      CheckPermit(*suspect, aFrom, aRequest, row->mChange.mLatePermits, aNow);
  }
  return worst;
}

// Of parts that the crashes don't tell apart, at least one crashes upstreams,
// and so does a request with all of them.
PermitVerdict
PromptPartSuspects::CheckGroup(const PermitRequest& aRequest, TimePoint aNow)
{
  std::map<std::uint64_t, std::size_t> members;
  PermitVerdict verdict = PermitVerdict::kGranted;
  for (const ContentId& content : aRequest.mContents) {
    const Suspect* const suspect = Find(content);
    if (suspect == nullptr || suspect->mVerdict.mGroup == 0 ||
        ++members[suspect->mVerdict.mGroup] < 2) {
      continue;
    }
    if (IsLate(suspect->mVerdict)) {
      return PermitVerdict::kRefused;
    }
    if (aNow - suspect->mSerializedAt.value_or(aNow) < kSeparationTime) {
      verdict = PermitVerdict::kDenied;
    }
  }
  return verdict;
}

PermitVerdict
PromptPartSuspects::CheckPermit(Suspect& aSuspect,
                                const Address& aFrom,
                                const PermitRequest& aRequest,
                                std::uint32_t aCommittedPermits,
                                TimePoint aNow)
{
  const auto customers = aSuspect.mCase.mEvidence.Customers();
  const bool isOthers = customers.size() == 1 && customers.front().IsSet() &&
                        customers.front() != aRequest.mCustomer;
  if (aSuspect.mVerdict.mStage == QuarantineStage::kRefused && !isOthers) {
    return PermitVerdict::kRefused;
  }
  const auto& permit = aSuspect.mPermit;
  if (permit && permit->mUntil > aNow &&
      (permit->mFrom != aFrom || permit->mTag != aRequest.mTag)) {
    return PermitVerdict::kDenied;
  }
  if (!IsLate(aSuspect.mVerdict) || (permit && permit->mUntil > aNow)) {
    return PermitVerdict::kGranted;
  }
  return CheckLatePermit(aSuspect, aCommittedPermits, aNow);
}

// A late permit is committed before it is given, so that the next leader
// doesn't give it again.
PermitVerdict
PromptPartSuspects::CheckLatePermit(Suspect& aSuspect,
                                    std::uint32_t aCommittedPermits,
                                    TimePoint aNow)
{
  if (aSuspect.mLatePermitsUsed < aCommittedPermits) {
    return PermitVerdict::kGranted;
  }
  const std::uint32_t most =
    kMaxLatePermits + (aSuspect.mHadInconclusiveRun ? 1 : 0);
  if (aSuspect.mLatePermitsUsed >= most) {
    return PermitVerdict::kRefused;
  }
  const auto& crashes = aSuspect.mCase.mEvidence.Crashes();
  const bool isQuiet =
    crashes.empty() || aNow - crashes.back().mLostAt >= kQuietBeforeLatePermit;
  if (isQuiet && aNow - aSuspect.mLatePermitAt >= kLatePermitInterval) {
    aSuspect.mLatePermitsWanted = aSuspect.mLatePermitsUsed + 1;
    mIsDirty = true;
  }
  return PermitVerdict::kDenied;
}

void
PromptPartSuspects::Grant(const Address& aFrom,
                          const PermitRequest& aRequest,
                          TimePoint aNow)
{
  const Duration wanted = std::chrono::milliseconds(aRequest.mForMs);
  for (const ContentId& content : aRequest.mContents) {
    Suspect* const suspect = Find(content);
    if (suspect == nullptr) {
      continue;
    }
    const bool isRepeated = suspect->mPermit &&
                            suspect->mPermit->mFrom == aFrom &&
                            suspect->mPermit->mTag == aRequest.mTag;
    if (IsLate(suspect->mVerdict) && !isRepeated) {
      ++suspect->mLatePermitsUsed;
      suspect->mLatePermitAt = aNow;
    }
    suspect->mPermit =
      Permit{ .mFrom = aFrom,
              .mTag = aRequest.mTag,
              .mUntil = aNow + std::min(wanted, kMaxPermitTime) };
  }
}

} // namespace peridotspool::routing
