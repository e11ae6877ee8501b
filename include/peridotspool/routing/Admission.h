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
  /** Requests of one service that this entry has at upstreams at once. */
  std::size_t mMaxRunning = 256;
  /** Expected time of a request before one has ended. */
  Duration mInitialHoldTime = std::chrono::milliseconds(500);
};

/** A request that asks to be admitted. */
struct AdmissionQuery
{
  RequestKey mKey;
  std::int32_t mPriority = 0;
  double mCost = 1;
  TimePoint mDeadline;
};

/**
 * Decides, for one service at one entry, which requests go on: limits first,
 * then a fair queue while all running places are taken. A request that can't
 * meet its deadline is refused when it asks, not when it is too late.
 *
 * Each admitted request ends with Ended; each queued one is given out by Next
 * or TakeExpired. Pure; not thread-safe.
 */
class Admission
{
public:
  Admission(AdmissionOptions aOptions, MemberId aSelf);

  AdmissionOutcome Admit(const AdmissionQuery& aQuery,
                         const settings::EffectiveService& aSettings,
                         TimePoint aNow);

  /** A request that ran has ended, after aTook at its upstream. */
  void Ended(const CustomerName& aCustomer, Duration aTook);

  /** Takes the next queued request if a running place is free. */
  std::optional<QueuedRequest> Next();

  /** Takes queued requests that can't meet their deadline any more. */
  std::vector<QueuedRequest> TakeExpired(TimePoint aNow);

  /** Changes how many run at once, as the upstreams in sight change. */
  void SetMaxRunning(std::size_t aMaxRunning);

  /** The entries that share the limits, this one among them. */
  void SetMembers(std::vector<MemberId> aMembers);

  /** What this entry publishes: requests a second asked for by customer. */
  std::map<CustomerName, double> Demand(TimePoint aNow);
  /**
   * Takes what the entries published for a customer, this one included; those
   * that published nothing have no demand.
   */
  void SetPublishedDemand(const CustomerName& aCustomer,
                          const PublishedDemand& aPublished,
                          const settings::EffectiveService& aSettings,
                          TimePoint aNow);

  std::size_t Running() const { return mRunning; }
  std::size_t Waiting() const { return mQueue.Size(); }

private:
  /** A customer's limits, and what this entry's part was reckoned from. */
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
