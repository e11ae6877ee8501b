#pragma once

#include "PolicyModel.h"
#include "peridotspool/routing/Router.h"
#include "routing/RandomSource.h"

#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace peridotspool::bench {

/** What an entry knows of a request when it chooses. */
struct ModelRequest
{
  std::uint64_t mId = 0;
  std::uint32_t mGroup = 0;
  double mPromptTokens = 0;
  double mOutputTokens = 0;
};

/** A runner's load as it says of itself, some time ago. */
struct ModelReport
{
  std::uint32_t mRunner = 0;
  std::uint64_t mSequence = 0;
  std::uint32_t mRunning = 0;
  std::uint32_t mWaiting = 0;
  bool mLeaving = false;
  double mTime = 0;
};

/** Takes each runner in turn; hears nothing. */
class RoundRobin
{
public:
  explicit RoundRobin(std::uint32_t aRunners, std::uint64_t aSeed);
  std::optional<std::uint32_t> Choose(const ModelRequest& aRequest,
                                      double aNow);
  void Report(const ModelReport& aReport, double aNow);
  void Lost(std::uint32_t aRunner);

private:
  std::vector<bool> mGone;
  std::uint32_t mNext;
};

/** Takes the least reported load of some random runners, or of all. */
class LeastReported
{
public:
  LeastReported(std::uint32_t aRunners,
                std::uint32_t aCompared,
                bool aHeedsLeaving,
                std::uint64_t aSeed);
  std::optional<std::uint32_t> Choose(const ModelRequest& aRequest,
                                      double aNow);
  void Report(const ModelReport& aReport, double aNow);
  void Lost(std::uint32_t aRunner);

private:
  std::vector<bool> mGone;
  std::vector<std::uint32_t> mLoads;
  std::uint32_t mCompared;
  bool mHeedsLeaving;
  routing::RandomSource mRandom;
};

/** The router of this project. */
class RealRouter
{
public:
  RealRouter(const ModelOptions& aOptions, std::uint64_t aSeed);
  std::optional<std::uint32_t> Choose(const ModelRequest& aRequest,
                                      double aNow);
  void Report(const ModelReport& aReport, double aNow);
  void Sent(std::uint32_t aRunner, const ModelRequest& aRequest, double aNow);
  void Ended(std::uint32_t aRunner,
             const ModelRequest& aRequest,
             double aCached,
             double aNow);
  void Lost(std::uint32_t aRunner, double aNow);

private:
  const ModelOptions* mOptions;
  std::unique_ptr<routing::Router> mRouter;
};

using EntryPolicy = std::variant<RoundRobin, LeastReported, RealRouter>;

EntryPolicy
MakePolicy(PolicyKind aKind, const ModelOptions& aOptions, std::uint64_t aSeed);

/** Requests that one runner runs at once. */
inline constexpr std::uint32_t kSlots = 8;
/** Seconds that a plain runner needs for one token of a prompt. */
inline constexpr double kPromptSeconds = 0.0002;
/** Seconds between two tokens at an idle plain runner. */
inline constexpr double kTokenSeconds = 0.012;
/** The part of a prompt that its group shares. */
inline constexpr double kSharedPart = 0.7;
inline constexpr double kMeanPrompt = 800;

} // namespace peridotspool::bench
