#pragma once

#include "peridotspool/control/ControlNode.h"
#include "peridotspool/fleet/LeaderTaskManager.h"
#include "peridotspool/gateway/QuotaAllocator.h"
#include "peridotspool/http/HttpClient.h"
#include "peridotspool/membership/UpstreamDirectory.h"
#include "peridotspool/observe/Logger.h"
#include "peridotspool/rollout/RolloutController.h"
#include "peridotspool/routing/QuarantineLeader.h"
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
  /** How long no further call is wanted; 0 if the answer asks for none. */
  Duration mRetryAfter{ 0 };
};

/**
 * A control replica's part as the leader: customers' limits, usage, orders of
 * upstreams, and the quarantine. Lives on the deciding thread.
 */
class DutyRunner
{
public:
  using TakeCloud = std::function<void(CloudInput)>;
  using Propose = std::function<void(control::OperatorRequest)>;
  using Tell = std::function<void(const Address&, gateway::PeerMessage)>;

  /** @param aDirectory all upstreams; outlives the runner */
  DutyRunner(const DutyHostOptions& aOptions,
             const ControlDialect& aDialect,
             const membership::UpstreamDirectory& aDirectory,
             observe::Logger& aLogger,
             TakeCloud aTakeCloud,
             Propose aPropose,
             Tell aTell);

  /** Takes what an entry says, and answers it where this replica leads. */
  void Take(const Address& aFrom,
            const gateway::PeerMessage& aMessage,
            const control::ControlNode& aNode,
            TimePoint aNow);
  void Take(const CloudInput& aInput, TimePoint aNow);
  void Tick(const control::ControlNode& aNode, TimePoint aNow);
  /** Returns false iff the newest settings name no such service; of a leader.
   */
  bool KnowsService(const ServiceName& aService,
                    const control::ControlNode& aNode,
                    TimePoint aNow);
  /** The time of day that most processes agree on, in microseconds. */
  std::int64_t WallMicros(TimePoint aNow) const;

private:
  struct Heard
  {
    TimePoint mAt;
    /** The last change to the quarantine that it is believed to know. */
    std::uint64_t mQuarantine = 0;
    /** Of the entry's process; 0 before its first report. */
    std::uint64_t mLife = 0;
  };

  void TakeReport(const Address& aFrom,
                  const gateway::UsageReport& aReport,
                  const control::ControlNode& aNode,
                  TimePoint aNow);
  void KeepQuarantine(const control::ControlNode& aNode, TimePoint aNow);
  void TellQuarantine(const Address& aTo,
                      Heard& aHeard,
                      const routing::QuarantineTable& aTable);
  void TakeReport(const Address& aFrom,
                  const rollout::RolloutReport& aReport,
                  const control::ControlNode& aNode,
                  TimePoint aNow);
  void KeepRollouts(const control::ControlNode& aNode, TimePoint aNow);
  void TellRollouts(const Address& aTo,
                    const Heard& aHeard,
                    const control::ControlNode& aNode);
  void LogNotice(const rollout::RolloutNotice& aNotice);
  void LogReport(const Address& aFrom, const routing::CrashReport& aReport);
  void LogChange(const routing::QuarantineChange& aChange);
  void OfferLeases(const control::ControlNode& aNode, TimePoint aNow);
  void LogLimits(TimePoint aNow);
  void TakeAsk(const Address& aFrom,
               const gateway::QuotaRequest& aAsk,
               const control::ControlNode& aNode,
               TimePoint aNow);
  void AnswerHeld(TimePoint aNow);
  void ServeQueues(const control::ControlNode& aNode, TimePoint aNow);
  void TellQueued(std::vector<gateway::AddressedQuotaResponse> aAnswers);
  void ProposeFloors(TimePoint aNow);
  void KeepLimits(const control::ControlNode& aNode, TimePoint aNow);
  void ForgetSilent(TimePoint aNow);
  void UseSettings(const control::ControlNode& aNode, TimePoint aNow);
  std::map<ServiceName, fleet::PoolView> Pools(
    const rollout::RolloutTable& aRollouts,
    TimePoint aNow) const;
  void Call(const fleet::SendCloudCall& aCall);
  void Cancel(const fleet::CancelCloudCall& aCall);

  DutyHostOptions mOptions;
  const ControlDialect& mDialect;
  const membership::UpstreamDirectory& mDirectory;
  observe::Logger& mLogger;
  Propose mPropose;
  Tell mTell;
  fleet::LeaderTaskManager mTasks;
  gateway::QuotaAllocator mBank;
  routing::QuarantineLeader mQuarantine;
  rollout::RolloutController mRollouts;
  /** The last start or end of a rollout that all entries were told of. */
  std::uint64_t mRolloutsTold = 0;
  std::optional<gateway::RouteTable> mTable;
  Revision mRevision;
  /** Whose members the leases are for. */
  EpochNumber mEpoch;
  /** As last logged. */
  std::size_t mUncovered = 0;
  bool mLed = false;
  TimePoint mTickedAt;
  TimePoint mQueuesServedAt;
  TimePoint mLimitsLoggedAt;
  std::map<Address, Heard> mHeard;
  std::map<std::uint64_t, std::string> mCalls;
  std::unique_ptr<http::HttpClient> mClient;
};

} // namespace peridotspool::runtime
