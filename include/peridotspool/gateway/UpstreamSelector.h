#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/gateway/InstanceLoad.h"
#include "peridotspool/gateway/KnownSpeed.h"
#include "peridotspool/gateway/LoadMessage.h"
#include "peridotspool/gateway/PendingLoadQueries.h"
#include "peridotspool/gateway/PrefillQueue.h"
#include "peridotspool/gateway/PrefillRate.h"
#include "peridotspool/gateway/PromptParts.h"
#include "peridotspool/gateway/SentRequest.h"
#include "peridotspool/gateway/TunnelProtocol.h"
#include "peridotspool/gateway/UsualTimes.h"
#include "peridotspool/limits/WithdrawnUpstreams.h"
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

/** Result of a send to an upstream. */
enum class SendResult
{
  /**
   * The upstream gave a complete response, successful or not, or the request
   * was cancelled.
   */
  kAnswered,
  /**
   * The upstream rejected the request without running it because it is full.
   */
  kFull,
  /** Another upstream responded at this address; the intended one is gone. */
  kWrongUpstream,
  /** The upstream failed the request. */
  kFailed,
  /** The connection could not be established, or broke. */
  kBroken,
  /** The upstream did not respond in time. */
  kTimedOut,
  /** This entry lost its path to all upstreams. */
  kPathLost,
  /** The request was chosen for the upstream but never written to it. */
  kNotSent,
};

struct UpstreamSelectorOptions
{
  /** Failure domain of this instance; preferred among equal upstreams. */
  FailureDomain mDomain;
  /**
   * Length of the first ejection of an upstream whose connection breaks;
   * doubles with each further ejection up to mMaxEjectTime.
   */
  Duration mMinEjectTime = std::chrono::milliseconds(700);
  Duration mMaxEjectTime = std::chrono::milliseconds(5000);
  /** Consecutive failures that eject an upstream that responds. */
  std::uint32_t mFailuresToEject = 4;
  /** Load reports older than this are ignored. */
  Duration mReportAge = std::chrono::milliseconds(1500);
  /** Random; spreads the ends of upstreams' rests over the entries. */
  std::uint64_t mSeed = 0;
  /** Each upstream's own speed is learned and decides, for services whose
   * upstreams state how long work takes. */
  bool mLearnUpstreamSpeed = false;
};

/** A request to select an upstream. */
struct SelectionQuery
{
  ServiceName mService;
  /** The prompt to prefill; empty for a plain call. */
  PromptParts mPrompt;
  /** Seed of the order of upstreams for a plain call; differs for each call. */
  std::uint64_t mSeed = 0;
  /** Upstreams that this request was already sent to. */
  std::set<UpstreamName> mTried;
  /**
   * The request may crash its upstream, so the choice minimizes the number of
   * other requests affected.
   */
  bool mPreferLeastFull = false;
  /**
   * No upstream of the normal shortlist can start the request in time: the
   * coordinators of a longer one are queried.
   */
  bool mUseLongShortlist = false;
  /**
   * If not empty, restricts the choice to these upstreams as long as one of
   * them accepts work.
   */
  std::vector<UpstreamName> mShortlist;
  /**
   * Tokens of the prompt in the prefix cache of each upstream whose coordinator
   * has responded.
   */
  std::map<UpstreamName, std::uint64_t> mCachedTokens;
  rollout::VersionFilter mVersions;
  /** Limited upstreams that granted this request no permit. */
  std::set<UpstreamName> mWithoutPermit;
  /** Excludes all limited upstreams. */
  bool mAvoidLimited = false;
};

/** The chosen upstream and the estimates behind the choice. */
struct UpstreamChoice
{
  UpstreamName mName;
  Incarnation mIncarnation;
  Address mAddress;
  FailureDomain mDomain;
  VersionName mVersion;
  double mFullness = 0.0;
  /**
   * Time until the upstream has prefilled the prompts sent before, and has a
   * free slot in its batch.
   */
  Duration mWait{ 0 };
  /** The upstream is to get no more requests than it has slots. */
  bool mBrittle = false;
  /** The part of mWait until a permit is expected; zero without a limit. */
  Duration mPermitWait{ 0 };
  /** Tokens that it is expected to prefill for this request. */
  std::uint64_t mPrefillTokens = 0;
  /** Time until the first event of a prompt sent now. */
  Duration mExpectedFirstEvent{ 0 };
  /** Position in the affinity order; 0 is the first. */
  std::size_t mRank = 0;
  std::size_t mCandidates = 0;
  /**
   * Upstream to copy the missing part of the prefix from: one known to cache
   * it, or else the next in the affinity order, even if it is draining.
   */
  std::optional<Address> mPrefixSource;
  /** The upstream is in the failure domain of this instance. */
  bool mInOwnDomain = false;
  /** The coordinator of the upstream has responded for this request. */
  bool mLoadKnown = false;
  /** Age of the latest load report; empty without one. */
  std::optional<Duration> mReportAge;
  /** The upstream's own speed behind the estimates; empty if not learned. */
  std::optional<routing::SpeedEstimate> mSpeed;
  /** Time until the first event of a prompt or the end of a plain call; set
   * where upstreams' speeds are learned. */
  std::optional<Duration> mExpected;
};

/**
 * Tracks the state of the upstreams as seen by one entry, from announcements,
 * load reports and the results of its own sends, and selects an upstream for
 * each request.
 *
 * Deterministic, without I/O, clock or threads. Not thread-safe.
 */
class UpstreamSelector
{
public:
  explicit UpstreamSelector(UpstreamSelectorOptions aOptions);

  /**
   * Applies the directory's state of one upstream; null removes it. Returns
   * true iff a later incarnation has replaced the known one.
   */
  bool Update(const UpstreamName& aName,
              const membership::KnownUpstream* aKnown,
              TimePoint aNow);
  void ApplyLoadReport(const SentRequest& aSent,
                       const InstanceLoad& aLoad,
                       TimePoint aNow);
  /**
   * Applies the load that a coordinator reports from the sends of all entries.
   */
  void ApplyCoordinatorLoad(const UpstreamLoad& aLoad, TimePoint aNow);

  /**
   * Returns what the end of the prefill shows of the upstream's speed; empty if
   * nothing, or if speeds are not learned. To be called after RecordFirstEvent.
   */
  std::optional<routing::WorkObservation> ObservePrefill(
    const SentRequest& aSent,
    TimePoint aNow);
  /**
   * Returns what a plain call's whole response shows of the upstream's speed.
   */
  std::optional<routing::WorkObservation> ObservePlain(const SentRequest& aSent,
                                                       TimePoint aNow);
  /**
   * Returns what a whole stream of aEvents events shows of the upstream's
   * speed.
   */
  std::optional<routing::WorkObservation> ObserveGeneration(
    const SentRequest& aSent,
    std::uint64_t aEvents,
    TimePoint aNow);

  /**
   * Sets when the next permit of a limited upstream is expected; empty if the
   * upstream has no limit.
   */
  void SetPermitTime(const UpstreamName& aName,
                     std::optional<TimePoint> aPermitAt);

  /**
   * Sets until when an upstream is brittle, and until when it gets nothing.
   * While it is brittle it gets no more requests than it has slots.
   */
  void SetBrittle(const UpstreamName& aName,
                  TimePoint aUntil,
                  TimePoint aClosedUntil);

  /**
   * Returns the first few upstreams in the request's order, whose coordinators
   * are to be queried before the choice; empty if there are fewer than two
   * candidates.
   */
  std::vector<ShortlistedUpstream> Shortlist(const SelectionQuery& aQuery,
                                             TimePoint aNow) const;
  /** Returns true iff upstreams may be tried, but all of them are brittle and
   * have no room. */
  bool AreAllBrittleAndFull(const SelectionQuery& aQuery, TimePoint aNow) const;
  /** Returns empty iff no upstream may be tried. */
  std::optional<UpstreamChoice> Choose(const SelectionQuery& aQuery,
                                       TimePoint aNow) const;
  /** Records a send and returns its handle for the calls below. */
  SentRequest RecordSent(const UpstreamChoice& aChoice, TimePoint aNow);
  /**
   * Records the first event of the response. Returns true iff its time is
   * evidence of how far the engine was with its prefill queue.
   */
  bool RecordFirstEvent(SentRequest& aSent, TimePoint aNow);
  /**
   * Returns true iff the result takes the upstream out of the choice: it is
   * newly ejected, or gone.
   */
  bool RecordEnd(const SentRequest& aSent, SendResult aResult, TimePoint aNow);

  /** Upstreams whose responses asked this entry to send nothing. They are not
   * selected, which is no ejection. */
  limits::WithdrawnUpstreams& Withdrawn() { return mWithdrawn; }
  const limits::WithdrawnUpstreams& Withdrawn() const { return mWithdrawn; }
  /** Records that the upstream has begun to answer a request, or has answered
   * it other than by turning it away. */
  void RecordAccepted(const SentRequest& aSent);
  /** Returns true iff the incarnation accepts new work and doesn't rest. */
  bool MayReceive(const UpstreamName& aName,
                  Incarnation aIncarnation,
                  TimePoint aNow) const;
  /** Returns when the first rest ends if all upstreams that may serve the
   * request rest; empty otherwise. */
  std::optional<TimePoint> AllRestUntil(const SelectionQuery& aQuery,
                                        TimePoint aNow) const;

  /** Forgets the ejections: their cause was this entry's own path. */
  void ClearEjections();
  /**
   * Returns up to aCount upstreams that accept new work, with those of
   * aLast, and those that rest, last. Different seeds give different ones.
   */
  std::vector<DialTarget> SampleReady(std::size_t aCount,
                                      std::uint64_t aSeed,
                                      const std::set<UpstreamName>& aLast,
                                      TimePoint aNow) const;
  std::size_t ReadyCount(const ServiceName& aService, TimePoint aNow) const;
  /**
   * Returns the expected time to the first event of a prompt without cached
   * tokens on an idle upstream.
   */
  Duration UncachedFirstEventTime(const ServiceName& aService,
                                  std::uint64_t aTokens) const;
  /** Counts the ready upstreams of a service by version. */
  rollout::ReadyByVersion ReadyVersions(const ServiceName& aService) const;
  /** Counts this entry's sends in flight to upstreams of other versions. */
  std::uint64_t RunningOtherVersions(const ServiceName& aService,
                                     const VersionName& aVersion) const;
  /** Counts this entry's sends in flight by service. */
  std::map<ServiceName, std::uint64_t> Running() const;
  /** Counts this entry's sends in flight to an upstream. */
  std::uint32_t InFlight(const UpstreamName& aName) const;
  /** Returns the version that the upstream reports; empty if the upstream is
   * unknown. */
  std::optional<VersionName> VersionOf(const UpstreamName& aName) const;
  /** Returns the versions of a service's upstreams, including those that have
   * left lately. */
  std::set<VersionName> VersionsOf(const ServiceName& aService) const;
  /** Returns the upstream's current incarnation; empty if it is unknown. */
  std::optional<Incarnation> IncarnationOf(const UpstreamName& aName) const;
  /** Returns the service of an upstream that accepts new work. */
  std::optional<ServiceName> ReadyService(const UpstreamName& aName) const;
  /** Returns the number of requests that an upstream runs at once. */
  std::uint32_t Slots(const UpstreamName& aName) const;
  /** Returns the address of an incarnation that accepts new work. */
  std::optional<Address> ReadyAddress(const UpstreamName& aName,
                                      Incarnation aIncarnation) const;
  /** Returns true iff each upstream's own speed is learned, as upstreams of the
   * service state how long work takes on their machines. */
  bool LearnsSpeed(const ServiceName& aService) const;
  /** Returns true iff the upstream accepts new work, whether ejected or not. */
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
    /**
     * Percentage of failed sends of all entries, from the last coordinator
     * response.
     */
    std::uint32_t mFailurePercent = 0;
    /** The upstream can't bear rejections until then. */
    TimePoint mBrittleUntil;
    TimePoint mClosedUntil;
    /** When the next permit is expected; set iff the upstream is limited. */
    std::optional<TimePoint> mPermitAt;
  };

  /** Estimated load of an upstream. */
  struct Load
  {
    Duration mWait{ 0 };
    double mFullness = 0.0;
  };

  bool AcceptsWork(const TrackedUpstream& aUpstream) const;
  std::optional<TimePoint> RestsUntil(const TrackedUpstream& aUpstream,
                                      TimePoint aNow) const;
  /** Removes upstreams that are on trial after a rest, if others remain. */
  void PreferAccepting(std::vector<const TrackedUpstream*>& aCandidates,
                       TimePoint aNow) const;
  static bool HasPrompt(const SelectionQuery& aQuery);
  double FullnessOf(const TrackedUpstream& aUpstream, TimePoint aNow) const;
  bool IsBrittleAndFull(const TrackedUpstream& aUpstream, TimePoint aNow) const;
  static Duration PermitWait(const TrackedUpstream& aUpstream, TimePoint aNow);
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
  /**
   * Returns the queried upstream that caches more of the prompt than any other
   * and than the chosen one; null if there is none.
   */
  const TrackedUpstream* FindLongestCachedPrefix(const TrackedUpstream& aChosen,
                                                 const SelectionQuery& aQuery,
                                                 TimePoint aNow) const;
  TrackedUpstream* Find(const SentRequest& aSent);
  void RecordBatchTime(const TrackedUpstream& aUpstream,
                       const SentRequest& aSent,
                       TimePoint aNow);
  Duration WaitForSlot(const TrackedUpstream& aUpstream,
                       double aFullness,
                       TimePoint aNow) const;
  /** Returns true iff upstreams' own speeds decide for the service. */
  KnownSpeed& SpeedOf(const TrackedUpstream& aUpstream);
  /** Returns null if nothing is known of the upstream's speed. */
  const KnownSpeed* FindSpeed(const TrackedUpstream& aUpstream) const;
  void RecordStated(TrackedUpstream& aUpstream,
                    const InstanceLoad& aLoad,
                    TimePoint aNow);
  std::uint32_t SlotsOf(const TrackedUpstream& aUpstream, TimePoint aNow) const;
  /** Returns a time of the service's usual upstream at this one's speed. */
  Duration AtOwnSpeed(const TrackedUpstream& aUpstream,
                      routing::WorkKind aKind,
                      Duration aUsual,
                      TimePoint aNow) const;
  routing::WorkObservation Observe(TrackedUpstream& aUpstream,
                                   routing::WorkKind aKind,
                                   Duration aTook,
                                   Duration aUsual,
                                   TimePoint aNow);
  /** Returns the time until a plain call sent now has its response. */
  Duration ExpectedCompletion(const TrackedUpstream& aUpstream,
                              const Load& aLoad,
                              TimePoint aNow) const;
  void AddSpeed(UpstreamChoice& aChoice,
                const TrackedUpstream& aUpstream,
                const SelectionQuery& aQuery,
                const Load& aLoad,
                TimePoint aNow) const;
  std::size_t PickSoonestPlain(
    const std::vector<const TrackedUpstream*>& aCandidates,
    const SelectionQuery& aQuery,
    TimePoint aNow) const;
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
  limits::WithdrawnUpstreams mWithdrawn;
  std::unordered_map<ServiceName, PrefillRate> mRates;
  /** Mean time that a request occupies a slot in the batch of an upstream. */
  std::unordered_map<ServiceName, Duration> mMeanBatchTimes;
  /** Usual times of plain calls and of generation, of services whose upstreams
   * state how long work takes. */
  std::unordered_map<ServiceName, UsualTimes> mUsualTimes;
  /** Speeds of the upstreams' present incarnations, as far as known. */
  std::unordered_map<UpstreamName, KnownSpeed> mSpeeds;
};

} // namespace peridotspool::gateway
