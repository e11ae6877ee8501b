#include "peridotspool/runtime/ControlHostOptions.h"

#include "peridotspool/http/OperatorApi.h"
#include "peridotspool/runtime/KeyFiles.h"
#include "peridotspool/settings/SettingsTree.h"
#include "runtime/HostParts.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace peridotspool::runtime {

namespace {

constexpr Duration kReplaceSilentAfter = std::chrono::milliseconds(3000);
/** Replicas beyond the voters that stand by. */
constexpr std::size_t kStandbys = 16;
/** Entries hold whole documents: few of them are kept in memory. */
constexpr std::size_t kSnapshotEvery = 64;
constexpr std::size_t kKeepBehindSnapshot = 32;

// An edit may hold the settings twice, as what is removed and what is inserted;
// a snapshot holds them with the history and all other state. Neither may be
// larger than a message: no replica would ever get it.
std::size_t
MaxSettingsBytes(const settings::ProcessBounds& aBounds)
{
  constexpr std::size_t kSettingsPerFrame = 4;
  return std::min<std::size_t>(control::ControlOptions{}.mMaxSettingsBytes,
                               aBounds.mFrameBytes / kSettingsPerFrame);
}

std::optional<std::string>
CheckTree(const std::string& aText)
{
  settings::SettingsErrors errors;
  if (settings::SettingsTree::Parse(aText, "settings", errors)) {
    return std::nullopt;
  }
  return settings::ToText(errors);
}

/** The product's own interface: operators with keys, a list of replicas. */
ControlDialect
OwnDialect(const settings::ProcessSettings& aSettings, http::KeyHashes aKeys)
{
  ControlDialect dialect;
  dialect.mRead = [keys = std::move(aKeys)](
                    const http::HttpRequest& aRequest) -> ControlCall {
    http::OperatorCommand command = http::ReadOperatorRequest(aRequest, keys);
    if (auto* refused = std::get_if<http::RefusedCommand>(&command)) {
      return AnsweredCall{ std::move(refused->mResponse) };
    }
    return std::get<control::OperatorRequest>(std::move(command));
  };
  dialect.mWriteAnswer = [replicas = aSettings.mControlReplicas](
                           const control::OperatorResponse& aAnswer,
                           const std::string& /*aTarget*/) {
    return http::WriteOperatorAnswer(
      aAnswer, [&](const Address& aPeer) -> std::optional<Address> {
        for (const auto& replica : replicas) {
          if (replica.mPeerAddress == aPeer) {
            return replica.mHttpAddress;
          }
        }
        return std::nullopt;
      });
  };
  dialect.mChecker = CheckTree;
  return dialect;
}

control::ControlOptions
ListedNode(const settings::ProcessSettings& aSettings)
{
  control::ControlOptions options;
  options.mName = control::ReplicaName(aSettings.mName.Value());
  options.mDomain = aSettings.mDomain;
  if (aSettings.mPeerAdvertise.mPort != 0) {
    options.mAddress = aSettings.mPeerAdvertise;
  }
  options.mNonce = control::JoinNonce(RandomNumber());
  for (const auto& replica : aSettings.mControlReplicas) {
    if (replica.mPeerAddress != aSettings.mPeerAdvertise) {
      options.mSeeds.push_back(replica.mPeerAddress);
    }
  }
  options.mConsensus.mRandomSeed = RandomNumber();
  // An even number of voters survives no more losses than one fewer.
  const std::size_t replicas = aSettings.mControlReplicas.size();
  options.mVoters = replicas % 2 == 1 ? replicas : replicas - 1;
  options.mMaxSettingsBytes = MaxSettingsBytes(aSettings.mBounds);
  return options;
}

// A replica's address names it: a machine that lost its disk comes back at its
// old address and so takes the place of its earlier identity.
control::ControlOptions
SeededNode(const settings::NodeSettings& aSettings)
{
  const Address self = aSettings.mListen.mPeer;
  control::ControlOptions options;
  options.mName = control::ReplicaName(ToText(self));
  options.mDomain = aSettings.mDomain;
  options.mAddress = self;
  options.mNonce = control::JoinNonce(RandomNumber());
  for (const Address& seed : aSettings.mSeeds) {
    if (seed != self) {
      options.mSeeds.push_back(seed);
    }
  }
  options.mConsensus.mRandomSeed = RandomNumber();
  options.mVoters = 2 * aSettings.mToleratedLosses + 1;
  options.mMaxSettingsBytes = MaxSettingsBytes(aSettings.mBounds);
  options.mVolatile = aSettings.mDataFolder.empty();
  options.mMaxLearners = kStandbys;
  options.mSnapshotEvery = kSnapshotEvery;
  options.mConsensus.mEntriesRetainedBehindSnapshot = kKeepBehindSnapshot;
  options.mReplaceSilentAfter = kReplaceSilentAfter;
  return options;
}

fleet::PoolOptions
MakePool(const settings::DutySettings& aDuties)
{
  return { .mMinUpstreams = static_cast<std::uint32_t>(aDuties.mPoolLeast),
           .mTargetConcurrency = aDuties.mPoolRunningEach,
           .mOnDemandShare = aDuties.mPoolLastingPart };
}

DutyHostOptions
SeededDuties(const settings::NodeSettings& aSettings)
{
  const settings::SharedBounds& shared = aSettings.mShared;
  return { .mHolder = aSettings.mName.Value(),
           .mCloud = aSettings.mDuties.mCloud,
           .mDuties = { .mUsageWindow = aSettings.mDuties.mUsageWindow,
                        .mUsageDueAfter = aSettings.mDuties.mUsageLate,
                        .mLease = aSettings.mDuties.mLease,
                        .mPool = MakePool(aSettings.mDuties) },
           .mQuota = { .mWindow = shared.mQuotaWindow,
                       .mOvershoot = shared.mQuotaOvershoot,
                       .mSlack = shared.mQuotaSlack },
           .mRollout = { .mMaxExposureShare = shared.mRolloutShare,
                         .mExposureSlack = shared.mRolloutSlack } };
}

} // namespace

std::optional<ControlHostOptions>
MakeControlOptions(const settings::ProcessSettings& aSettings,
                   LastReason& aReason)
{
  auto key = ReadPeerKey(aSettings.mPeerKeyFile, aReason);
  auto operators =
    key ? ReadOperators(aSettings.mOperatorsFile, aReason) : std::nullopt;
  if (!operators) {
    return std::nullopt;
  }
  ControlHostOptions options;
  options.mName = aSettings.mName.Value();
  options.mPeerListen = aSettings.mPeerListen;
  options.mOperatorsListen = aSettings.mHttpListen;
  options.mDataFolder = aSettings.mDataFolder;
  options.mLog = aSettings.mLog;
  options.mBounds = aSettings.mBounds;
  options.mPeerKey = std::move(*key);
  options.mDialect = OwnDialect(aSettings, std::move(*operators));
  options.mNode = ListedNode(aSettings);
  return options;
}

ControlHostOptions
MakeSeededOptions(const settings::NodeSettings& aSettings,
                  ControlDialect aDialect)
{
  return ControlHostOptions{
    .mName = aSettings.mName.Value(),
    .mPeerListen = aSettings.mListen.mPeer,
    .mPeerBind = aSettings.mListen.mPeerBind,
    .mOperatorsListen = aSettings.mListen.mOperators.value_or(Address{}),
    .mDirectoryListen = aSettings.mListen.mDirectory,
    .mDataFolder = aSettings.mDataFolder,
    .mLog = aSettings.mLog,
    .mBounds = aSettings.mBounds,
    .mPeerKey = kNoPeerKey,
    .mDialect = std::move(aDialect),
    .mNode = SeededNode(aSettings),
    .mFirstState =
      aSettings.mFounding
        ? control::FoundingState(aSettings.mListen.mPeer, aSettings.mSeeds)
        : control::RestoredState{},
    .mDuties = SeededDuties(aSettings),
  };
}

} // namespace peridotspool::runtime
