// Requests that wait at the leader for their customer's limit.

#include "runtime/DutyRunner.h"

#include <chrono>
#include <utility>

namespace peridotspool::runtime {

namespace {

/** How often queued requests are looked at: each step in which balances accrue.
 */
constexpr Duration kQueuePeriod = std::chrono::milliseconds(10);

} // namespace

void
DutyRunner::TellQueued(std::vector<gateway::AddressedQuotaResponse> aAnswers)
{
  for (gateway::AddressedQuotaResponse& answer : aAnswers) {
    mTell(answer.mTo, std::move(answer.mResponse));
  }
}

void
DutyRunner::ServeQueues(const control::ControlNode& aNode, TimePoint aNow)
{
  if (mBank.QueuedItems() == 0 || aNow - mQueuesServedAt < kQueuePeriod ||
      !aNode.Leads(aNow)) {
    return;
  }
  mQueuesServedAt = aNow;
  mBank.ApplyCommittedFloors(aNode.State().mQuotaFloors);
  TellQueued(mBank.ServeQueues(aNow));
  ProposeFloors(aNow);
}

} // namespace peridotspool::runtime
