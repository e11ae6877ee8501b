#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/gateway/LoadMessage.h"
#include "peridotspool/gateway/PendingLoadQueries.h"
#include "peridotspool/gateway/PrefillQueue.h"
#include "peridotspool/gateway/PrefillRate.h"
#include "peridotspool/gateway/PromptParts.h"
#include "peridotspool/gateway/SentRequest.h"
#include "peridotspool/membership/UpstreamDirectory.h"
#include "peridotspool/rollout/RolloutGate.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace peridotspool::gateway {

/** How a send to an upstream ended. */
enum class SendResult
{
  /** It gave an answer of its own, good or bad, or was no longer wanted. */
  kAnswered,
  /** It said that it did not run the request: it is full. */
  kFull,
  /** It isn't the upstream that was meant: that one is gone. */
  kWrongUpstream,
  /** It failed the request. */
  kFailed,
  /** The connection could not be made, or broke. */
  kBroken,
  /** Nothing came in time. */
  kTimedOut,
};

struct UpstreamSelectorOptions
{
  /** The instance's own domain is preferred among equals. */
  FailureDomain mDomain;
  /** An upstream that breaks is left out for this long, doubling. */
  Duration mMinEjectTime = std::chrono::milliseconds(700);
  Duration mMaxEjectTime = std::chrono::milliseconds(5000);
  /** Failures in a row that eject an upstream that answers. */
  std::uint32_t mFailuresToEject = 4;
  /** A report older than this says nothing about the load any more. */
  Duration mReportAge = std::chrono::milliseconds(1500);
};

/** What is asked of the board. */
struct SelectionQuery
{
  ServiceName mService;
  /** What the request has an engine read; empty for a plain call. */
  PromptParts mPrompt;
  /** Orders the upstreams for a plain call; differs for each. */
  std::uint64_t mSeed = 0;
  /** Upstreams that this request was sent to already. */
  std::set<UpstreamName> mTried;
  /** It may end its upstream: that is to cost as few others as it can. */
  bool mPreferLeastFull = false;
  /** The first look found none that begins it in time: more are asked. */
  bool mUseLongShortlist = false;
  /** If not empty, the choice is among these, as long as one takes work. */
  std::vector<UpstreamName> mShortlist;
  /** Tokens of the prompt that upstreams keep, where a coordinator has said so.
   */
  std::map<UpstreamName, std::uint64_t> mCachedTokens;
  rollout::VersionFilter mVersions;
};

/** An upstream that was chosen, and the beliefs that chose it. */
struct UpstreamChoice
{
  UpstreamName mName;
  Incarnation mIncarnation;
  Address mAddress;
  FailureDomain mDomain;
  VersionName mVersion;
  double mFullness = 0.0;
  /** Until it has read the prompts that were sent to it before, and has a
   * place in its batch. */
  Duration mWait{ 0 };
  /** Tokens that it is expected to read for this request. */
  std::uint64_t mPrefillTokens = 0;
  /** Until the first event of a prompt that is sent there now. */
  Duration mExpectedFirstEvent{ 0 };
  /** Place in the order that the affinity gives; 0 is the first. */
  std::size_t mRank = 0;
  std::size_t mCandidates = 0;
  /** The upstream from which to copy what it lacks of the prefix: one that
   * keeps it, or the next in the affinity's order, also one that is leaving. */
  std::optional<Address> mPrefixSource;
  /** It is in the instance's own failure domain. */
  bool mInOwnDomain = false;
  /** Its coordinator has answered for this request. */
  bool mLoadKnown = false;
  /** Age of the newest load report; empty without one. */
  std::optional<Duration> mReportAge;
};

/**
 * What an entry believes of the upstreams, from announcements, their own load
 * reports, and how sends to them ended; and the choice among them.
 *
 * A pure step without clock, thread, socket or randomness. Not thread-safe.
 */
class UpstreamSelector
{
public:
  explicit UpstreamSelector(UpstreamSelectorOptions aOptions);

  /**
   * Takes what the directory knows of one upstream; null forgets it. Returns
   * true iff a later incarnation has taken the place of the one known here.
   */
  bool Update(const UpstreamName& aName,
              const membership::KnownUpstream* aKnown,
              TimePoint aNow);
  void ApplyLoadReport(const SentRequest& aSent,
                       std::uint32_t aRunning,
                       std::uint32_t aWaiting,
                       TimePoint aNow);
  /** Its coordinator says what all entries have sent there. */
  void ApplyCoordinatorLoad(const UpstreamLoad& aLoad, TimePoint aNow);

  /**
   * The first few of a request's order, whose coordinators are to be asked
   * before the choice; empty where there is no choice.
   */
  std::vector<ShortlistedUpstream> Shortlist(const SelectionQuery& aQuery,
                                             TimePoint aNow) const;
  /** Returns empty iff no upstream may be tried. */
  std::optional<UpstreamChoice> Choose(const SelectionQuery& aQuery,
                                       TimePoint aNow) const;
  /** Returns what the other calls about this send are to name it by. */
  SentRequest RecordSent(const UpstreamChoice& aChoice, TimePoint aNow);
  /**
   * The first event of its answer has come. Returns true iff that shows when
   * the engine had read what was sent there before.
   */
  bool RecordFirstEvent(SentRequest& aSent, TimePoint aNow);
  /** Returns true iff the upstream is ejected because of it. */
  bool RecordEnd(const SentRequest& aSent, SendResult aResult, TimePoint aNow);

  std::size_t ReadyCount(const ServiceName& aService, TimePoint aNow) const;
  /** Until the first event of a prompt of which nothing is kept. */
  Duration UncachedFirstEventTime(const ServiceName& aService,
                                  std::uint64_t aTokens) const;
  /** Ready upstreams of a service by the version that they run. */
  rollout::ReadyByVersion ReadyVersions(const ServiceName& aService) const;
  /** Own sends under way to upstreams that run another version. */
  std::uint64_t RunningOtherVersions(const ServiceName& aService,
                                     const VersionName& aVersion) const;
  /** Own sends under way, by service. */
  std::map<ServiceName, std::uint64_t> Running() const;
  /** Own sends under way to an upstream. */
  std::uint32_t InFlight(const UpstreamName& aName) const;
  /** Returns true iff new work may go to it, ejected or not. */
  bool IsReady(const UpstreamName& aName) const;

private:
  struct TrackedUpstream
  {
    membership::UpstreamReport mReport;
    bool mSilent = false;
    bool mGone = false;
    std::uint32_t mInFlight = 0;
    std::uint32_t mReported = 0;
    std::uint32_t mInFlightAtReport = 0;
    std::optional<TimePoint> mReportedAt;
    std::uint32_t mFailures = 0;
    std::uint32_t mEjections = 0;
    TimePoint mEjectedUntil;
    PrefillQueue mPrefillQueue;
    /** Of 100 sends of all entries, as its coordinator last said. */
    std::uint32_t mFailurePercent = 0;
  };

  /** What an upstream has to do, as far as is known. */
  struct Load
  {
    Duration mWait{ 0 };
    double mFullness = 0.0;
  };

  static bool AcceptsWork(const TrackedUpstream& aUpstream);
  static bool HasPrompt(const SelectionQuery& aQuery);
  double FullnessOf(const TrackedUpstream& aUpstream, TimePoint aNow) const;
  static double FailureFraction(const TrackedUpstream& aUpstream);
  bool Eject(TrackedUpstream& aUpstream, TimePoint aNow);
  std::vector<const TrackedUpstream*> Candidates(const SelectionQuery& aQuery,
                                                 TimePoint aNow,
                                                 bool aEjectedToo) const;
  std::vector<const TrackedUpstream*> Ordered(
    std::vector<const TrackedUpstream*> aUpstreams,
    std::uint64_t aSeed) const;
  std::vector<const TrackedUpstream*> Candidates(const SelectionQuery& aQuery,
                                                 TimePoint aNow) const;
  std::optional<Address> PrefixSourceFor(const TrackedUpstream& aChosen,
                                         const SelectionQuery& aQuery,
                                         TimePoint aNow) const;
  /** The one among those asked, but for the chosen one, that keeps most. */
  const TrackedUpstream* FindLongestCachedPrefix(const TrackedUpstream& aChosen,
                                                 const SelectionQuery& aQuery,
                                                 TimePoint aNow) const;
  TrackedUpstream* Find(const SentRequest& aSent);
  void RecordBatchTime(const TrackedUpstream& aUpstream,
                       const SentRequest& aSent,
                       TimePoint aNow);
  Duration WaitForSlot(const TrackedUpstream& aUpstream,
                       double aFullness) const;
  PrefillRate RateOf(const ServiceName& aService) const;
  Duration PrefillTime(const ServiceName& aService,
                       std::uint64_t aTokens) const;
  std::uint64_t TokensToPrefill(const TrackedUpstream& aUpstream,
                                const SelectionQuery& aQuery,
                                std::size_t aRank,
                                TimePoint aNow) const;
  Load LoadOf(const TrackedUpstream& aUpstream,
              const Load& aFallback,
              const SelectionQuery& aQuery,
              TimePoint aNow) const;
  Load MeanKnownLoad(const std::vector<const TrackedUpstream*>& aCandidates,
                     const SelectionQuery& aQuery,
                     TimePoint aNow) const;
  std::size_t PickSoonest(
    const std::vector<const TrackedUpstream*>& aCandidates,
    const SelectionQuery& aQuery,
    TimePoint aNow) const;
  std::size_t PickLeastFull(
    const std::vector<const TrackedUpstream*>& aCandidates,
    const SelectionQuery& aQuery,
    TimePoint aNow) const;

  UpstreamSelectorOptions mOptions;
  std::unordered_map<UpstreamName, TrackedUpstream> mTrackedUpstreams;
  std::unordered_map<ServiceName, PrefillRate> mRates;
  /** Mean time that a request has a place in an upstream's batch. */
  std::unordered_map<ServiceName, Duration> mMeanBatchTimes;
};

} // namespace peridotspool::gateway
