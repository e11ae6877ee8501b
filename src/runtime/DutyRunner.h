#pragma once

#include "peridotspool/control/ControlNode.h"
#include "peridotspool/fleet/DutyDesk.h"
#include "peridotspool/gateway/QuotaBank.h"
#include "peridotspool/http/HttpClient.h"
#include "peridotspool/membership/UpstreamDirectory.h"
#include "peridotspool/observe/Logger.h"
#include "peridotspool/runtime/ControlHostOptions.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace peridotspool::runtime {

/** How a call to the cloud ended; 0 when there was no answer. */
struct CloudInput
{
  std::uint64_t mNumber = 0;
  unsigned mStatus = 0;
};

/**
 * A control replica's part as the leader: customers' limits, usage and orders
 * of upstreams. Lives on the deciding thread.
 */
class DutyRunner
{
public:
  using TakeCloud = std::function<void(CloudInput)>;
  using Propose = std::function<void(control::OperatorRequest)>;

  DutyRunner(const DutyHostOptions& aOptions,
             const ControlDialect& aDialect,
             observe::Logger& aLogger,
             TakeCloud aTakeCloud,
             Propose aPropose);

  /** Returns the leader's answer to an entry, if there is one. */
  std::optional<gateway::SharedMessage> Take(
    const Address& aFrom,
    const gateway::SharedMessage& aMessage,
    const control::ControlNode& aNode,
    TimePoint aNow);
  void TakePush(const Address& aFrom,
                const membership::RegistryPush& aPush,
                TimePoint aNow);
  membership::RegistryPull PullFor(const Address& aRegistry) const
  {
    return mDirectory.PullFor(aRegistry);
  }
  void Take(const CloudInput& aInput, TimePoint aNow);
  void Tick(const control::ControlNode& aNode, TimePoint aNow);

private:
  void NoteSilent(const control::ControlNode& aNode, TimePoint aNow);
  void UseSettings(const control::ControlNode& aNode, TimePoint aNow);
  std::map<ServiceName, fleet::PoolView> Pools(TimePoint aNow) const;
  void Call(const fleet::CallCloud& aCall);

  DutyHostOptions mOptions;
  const ControlDialect& mDialect;
  observe::Logger& mLogger;
  Propose mPropose;
  fleet::DutyDesk mDesk;
  gateway::QuotaBank mBank;
  membership::UpstreamDirectory mDirectory;
  std::optional<gateway::RouteTable> mTable;
  Revision mRevision;
  bool mLed = false;
  TimePoint mTickedAt;
  /** When each entry was heard last. */
  std::map<Address, TimePoint> mHeard;
  std::map<std::uint64_t, std::string> mCalls;
  std::unique_ptr<http::HttpClient> mClient;
};

} // namespace peridotspool::runtime
