#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/gateway/ArrivedWork.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace peridotspool::gateway {

/**
 * Estimates the prefill backlog of one engine that admits requests by priority:
 * a prompt waits for the one being prefilled, and for those of the same or a
 * higher priority that were sent before.
 *
 * Does no I/O and reads no clock. Not thread-safe.
 */
class PriorityBacklog
{
public:
  /** @param aPriority 0 is the highest
   * @param aIsReported the end of its prefill will be reported */
  void Add(std::uint64_t aSendId,
           std::uint32_t aPriority,
           Duration aPrefillTime,
           bool aIsReported,
           TimePoint aNow);
  /** Records that the prefill of this send has just ended. */
  void RecordPrefillDone(std::uint64_t aSendId, TimePoint aNow);
  /** Removes a send that will not be prefilled any more. */
  void Remove(std::uint64_t aSendId, TimePoint aNow);
  /** Returns how long a prompt of this priority that arrives now waits, with
   * the more urgent ones that are expected to pass it. */
  Duration Wait(std::uint32_t aPriority, TimePoint aNow) const;
  /** Returns true iff prompts wait, or have waited a moment ago, long enough to
   * make them late. */
  bool IsShort(TimePoint aNow) const;

  std::size_t Count() const { return mPending.size() + mPlannedDone.size(); }

private:
  struct Prompt
  {
    std::uint64_t mSendId = 0;
    std::uint32_t mPriority = 0;
    Duration mPrefillTime{ 0 };
    Duration mLeft{ 0 };
    bool mIsReported = true;
    /** When it was planned to be done; set in mPlannedDone. */
    TimePoint mDoneAt;
  };

  Duration WorkedUntil(TimePoint aNow) const;
  void AdvanceTo(TimePoint aNow);
  void Insert(const Prompt& aPrompt);
  void RestoreAfter(std::vector<Prompt>::iterator aDone);

  /** In the order in which the engine prefills them. */
  std::vector<Prompt> mPending;
  /** Planned to be done, with no report of it yet; the oldest first. */
  std::vector<Prompt> mPlannedDone;
  ArrivedWork mArrived;
  TimePoint mAdvancedAt;
  TimePoint mShortUntil;
};

} // namespace peridotspool::gateway
