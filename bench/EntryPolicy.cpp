#include "EntryPolicy.h"

#include <algorithm>
#include <charconv>
#include <limits>

namespace peridotspool::bench {

namespace {

TimePoint
At(double aSeconds)
{
  return TimePoint(std::chrono::hours(1)) +
         Duration(static_cast<Duration::rep>(aSeconds * 1e6));
}

UpstreamName
NameOfRunner(std::uint32_t aRunner)
{
  return UpstreamName("r" + std::to_string(aRunner));
}

std::uint32_t
RunnerOfName(const std::string& aName)
{
  std::uint32_t runner = 0;
  std::from_chars(aName.data() + 1, aName.data() + aName.size(), runner);
  return runner;
}

constexpr std::uint64_t kBlocks = 10;

routing::RouteQuery
QueryOf(const ModelRequest& aRequest, const ModelOptions& aOptions, double aNow)
{
  routing::RouteQuery query;
  query.mService = ServiceName("model");
  query.mDeadline = At(aNow + 30);
  query.mFirstTokenTarget =
    Duration(static_cast<Duration::rep>(aOptions.mTargetSeconds * 1e6));
  query.mPromptTokens = static_cast<std::uint64_t>(aRequest.mPromptTokens);
  const auto shared = static_cast<std::uint64_t>(kSharedPart * kBlocks);
  for (std::uint64_t block = 0; block < kBlocks; ++block) {
    query.mPrefixBlocks.push_back(block < shared
                                    ? aRequest.mGroup * 1000 + block + 1
                                    : (1ULL << 40) + aRequest.mId * 16 + block);
  }
  return query;
}

} // namespace

RoundRobin::RoundRobin(std::uint32_t aRunners, std::uint64_t aSeed)
  : mGone(aRunners)
  , mNext(static_cast<std::uint32_t>(aSeed % aRunners))
{
}

std::optional<std::uint32_t>
RoundRobin::Choose(const ModelRequest& /*aRequest*/, double /*aNow*/)
{
  for (std::size_t tries = 0; tries < mGone.size(); ++tries) {
    mNext = (mNext + 1) % static_cast<std::uint32_t>(mGone.size());
    if (!mGone[mNext]) {
      return mNext;
    }
  }
  return std::nullopt;
}

void
RoundRobin::Report(const ModelReport& /*aReport*/, double /*aNow*/)
{
}

void
RoundRobin::Lost(std::uint32_t aRunner)
{
  mGone[aRunner] = true;
}

LeastReported::LeastReported(std::uint32_t aRunners,
                             std::uint32_t aCompared,
                             bool aHeedsLeaving,
                             std::uint64_t aSeed)
  : mGone(aRunners)
  , mLoads(aRunners)
  , mCompared(aCompared)
  , mHeedsLeaving(aHeedsLeaving)
  , mRandom(aSeed)
{
}

std::optional<std::uint32_t>
LeastReported::Choose(const ModelRequest& /*aRequest*/, double /*aNow*/)
{
  const auto count = static_cast<std::uint32_t>(mLoads.size());
  const std::uint32_t first = mRandom.Below(count);
  std::optional<std::uint32_t> best;
  for (std::uint32_t at = 0; at < count; ++at) {
    const bool all = mCompared >= count;
    if (!all && at >= mCompared && best) {
      break;
    }
    const std::uint32_t runner =
      all ? (first + at) % count : mRandom.Below(count);
    if (!mGone[runner] && (!best || mLoads[runner] < mLoads[*best])) {
      best = runner;
    }
  }
  return best;
}

void
LeastReported::Report(const ModelReport& aReport, double /*aNow*/)
{
  mLoads[aReport.mRunner] = aReport.mRunning + aReport.mWaiting;
  if (mHeedsLeaving && aReport.mLeaving) {
    mGone[aReport.mRunner] = true;
  }
}

void
LeastReported::Lost(std::uint32_t aRunner)
{
  mGone[aRunner] = true;
}

RealRouter::RealRouter(const ModelOptions& aOptions, std::uint64_t aSeed)
  : mOptions(&aOptions)
  , mRouter(std::make_unique<routing::Router>(
      routing::RouterOptions{ .mLatencyWeight = aOptions.mLatencyWeight,
                              .mCostWeight = aOptions.mCostWeight,
                              .mRandomSeed = aSeed }))
{
}

std::optional<std::uint32_t>
RealRouter::Choose(const ModelRequest& aRequest, double aNow)
{
  auto whyNot = routing::NoRoute::kNoUpstream;
  const auto choice =
    mRouter->Choose(QueryOf(aRequest, *mOptions, aNow), At(aNow), whyNot);
  return choice ? std::optional(RunnerOfName(choice->mUpstream.Value()))
                : std::nullopt;
}

void
RealRouter::Report(const ModelReport& aReport, double aNow)
{
  const RunnerSpec& spec = mOptions->mRunners[aReport.mRunner];
  routing::UpstreamAnnouncement news;
  news.mName = NameOfRunner(aReport.mRunner);
  news.mIncarnation = Incarnation(1);
  news.mSequence = aReport.mSequence;
  news.mService = ServiceName("model");
  news.mState = aReport.mLeaving ? routing::UpstreamState::kLeaving
                                 : routing::UpstreamState::kServing;
  news.mSlots = kSlots;
  news.mPriceMicrosPerHour = static_cast<std::uint64_t>(spec.mPrice * 1e6);
  news.mRunning = aReport.mRunning;
  news.mWaiting = aReport.mWaiting;
  news.mFirstToken = Duration(static_cast<Duration::rep>(
    kMeanPrompt * kPromptSeconds / spec.mSpeed * 1e6));
  news.mLease = std::chrono::seconds(2);
  news.mLoadAge =
    Duration(static_cast<Duration::rep>((aNow - aReport.mTime) * 1e6));
  mRouter->Announce(news, At(aNow));
  mRouter->Tick(At(aNow));
}

void
RealRouter::Sent(std::uint32_t aRunner,
                 const ModelRequest& aRequest,
                 double aNow)
{
  mRouter->Sent(
    NameOfRunner(aRunner), QueryOf(aRequest, *mOptions, aNow), At(aNow));
}

void
RealRouter::Ended(std::uint32_t aRunner,
                  const ModelRequest& aRequest,
                  double aCached,
                  double aNow)
{
  const UpstreamName name = NameOfRunner(aRunner);
  mRouter->Ended(name, routing::AttemptEnd::kCompleted, At(aNow));
  mRouter->Answered(name,
                    QueryOf(aRequest, *mOptions, aNow),
                    static_cast<std::uint64_t>(aCached));
}

void
RealRouter::Lost(std::uint32_t aRunner, double aNow)
{
  mRouter->Ended(NameOfRunner(aRunner), routing::AttemptEnd::kFailed, At(aNow));
}

EntryPolicy
MakePolicy(PolicyKind aKind, const ModelOptions& aOptions, std::uint64_t aSeed)
{
  const auto runners = static_cast<std::uint32_t>(aOptions.mRunners.size());
  switch (aKind) {
    case PolicyKind::kRoundRobin:
      return RoundRobin(runners, aSeed);
    case PolicyKind::kLeastReported:
      return LeastReported(runners, runners, false, aSeed);
    case PolicyKind::kPowerOfTwo:
      return LeastReported(runners, 2, false, aSeed);
    case PolicyKind::kPowerOfTwoHeeding:
      return LeastReported(runners, 2, true, aSeed);
    case PolicyKind::kRouter:
      break;
  }
  return RealRouter(aOptions, aSeed);
}

} // namespace peridotspool::bench
