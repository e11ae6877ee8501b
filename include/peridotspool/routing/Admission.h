#pragma once

#include "peridotspool/base/RequestKey.h"
#include "peridotspool/routing/AdmissionOutcome.h"
#include "peridotspool/routing/FairQueue.h"
#include "peridotspool/routing/LimitShare.h"
#include "peridotspool/routing/SharedLimit.h"
#include "peridotspool/settings/EffectiveService.h"

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace peridotspool::routing {

struct AdmissionOptions
{
  FairQueueOptions mQueue;
  /**
   * Maximum requests of one service that this entry runs at upstreams
   * concurrently.
   */
  std::size_t mMaxRunning = 256;
  /** Expected run time of a request before the first one has ended. */
  Duration mInitialHoldTime = std::chrono::milliseconds(500);
};

/** A request to be admitted. */
struct AdmissionQuery
{
  RequestKey mKey;
  std::int32_t mPriority = 0;
  double mCost = 1;
  TimePoint mDeadline;
};

/**
 * Decides, for one service at one entry, which requests run: applies the
 * limits, then a fair queue while all slots are taken. A request that can't
 * meet its deadline is refused on arrival, not at the deadline.
 *
 * Each admitted request must be ended with Ended; each queued one is returned
 * by Next or TakeExpired. Does no I/O and reads no clock. Not thread-safe.
 */
class Admission
{
public:
  Admission(AdmissionOptions aOptions, MemberId aSelf);

  AdmissionOutcome Admit(const AdmissionQuery& aQuery,
                         const settings::EffectiveService& aSettings,
                         TimePoint aNow);

  /** Called when an admitted request has ended, after aTook at its upstream. */
  void Ended(const CustomerName& aCustomer, Duration aTook);

  /** Removes and returns the next queued request if a slot is free. */
  std::optional<QueuedRequest> Next();

  /** Removes and returns the queued requests whose deadline has passed. */
  std::vector<QueuedRequest> TakeExpired(TimePoint aNow);

  /** Changes the number of slots, as the number of known upstreams changes. */
  void SetMaxRunning(std::size_t aMaxRunning);

  /** Sets the entries that share the limits, including this one. */
  void SetMembers(std::vector<MemberId> aMembers);

  /**
   * Returns the demand of each customer at this entry, in requests per second,
   * to be published to the other entries.
   */
  std::map<CustomerName, double> Demand(TimePoint aNow);
  /**
   * Applies the demand that the entries, including this one, published for a
   * customer. Entries that published nothing have no demand.
   */
  void SetPublishedDemand(const CustomerName& aCustomer,
                          const PublishedDemand& aPublished,
                          const settings::EffectiveService& aSettings,
                          TimePoint aNow);

  std::size_t Running() const { return mRunning; }
  std::size_t Waiting() const { return mQueue.Size(); }

private:
  /** A customer's limits, and the inputs of this entry's share. */
  struct CustomerLimit
  {
    settings::Limits mTotal;
    PublishedDemand mPublished;
    std::uint64_t mMembersVersion = 0;
    SharedLimit mShare;
  };

  SharedLimit& LimitOf(const settings::EffectiveService& aSettings,
                       TimePoint aNow);
  settings::Limits ShareOf(const CustomerLimit& aLimit) const;
  Duration ExpectedWait(const CustomerName& aCustomer) const;
  AdmissionOutcome Enqueue(const AdmissionQuery& aQuery);

  AdmissionOptions mOptions;
  MemberId mSelf;
  std::vector<MemberId> mMembers;
  FairQueue mQueue;
  std::uint64_t mMembersVersion = 0;
  std::map<CustomerName, CustomerLimit> mLimits;
  std::size_t mRunning = 0;
  double mHoldMicros;
};

} // namespace peridotspool::routing
