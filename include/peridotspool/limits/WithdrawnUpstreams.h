#pragma once

#include "peridotspool/base/Ids.h"
#include "peridotspool/base/Time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace peridotspool::limits {

/**
 * Upstreams whose responses to this entry have asked it to send nothing: for a
 * time (a rest), or ever again (they leave). Both belong to one incarnation.
 *
 * A rest holds for this entry only. Each entry ends it a little later than
 * asked for, at a random time of its own, and tries single requests until the
 * upstream accepts one, so that the entries that it turned away don't all
 * return at once.
 *
 * Does no I/O and reads no clock. Not thread-safe.
 */
class WithdrawnUpstreams
{
public:
  /** @param aSeed random; gives this entry its own ends of rests */
  explicit WithdrawnUpstreams(std::uint64_t aSeed)
    : mSeed(aSeed)
  {
  }

  /** Records that the upstream wants no request for a time. A shorter rest
   * within a longer one changes nothing. Returns true iff the rest is new or
   * ends later than before. */
  bool RecordRest(const UpstreamName& aUpstream,
                  Incarnation aIncarnation,
                  Duration aRest,
                  TimePoint aNow);
  /** Records that the upstream leaves. Returns true iff that is new. */
  bool RecordLeaving(const UpstreamName& aUpstream,
                     Incarnation aIncarnation,
                     TimePoint aNow);
  /**
   * An upstream has a later incarnation. What an earlier one stated is
   * forgotten, except for a rest that was stated after aSince: the process that
   * has restarted under the same name may have asked for it.
   */
  void OnRestarted(const UpstreamName& aUpstream,
                   Incarnation aIncarnation,
                   TimePoint aSince);

  bool IsLeaving(const UpstreamName& aUpstream, Incarnation aIncarnation) const;
  /** Returns the end of a rest that isn't over. */
  std::optional<TimePoint> RestsUntil(const UpstreamName& aUpstream,
                                      Incarnation aIncarnation,
                                      TimePoint aNow) const;
  /** Returns true iff the upstream's rest is over, and a request that was sent
   * since then is still undecided. */
  bool IsOnTrial(const UpstreamName& aUpstream,
                 Incarnation aIncarnation,
                 TimePoint aNow) const;

  void RecordSent(const UpstreamName& aUpstream,
                  Incarnation aIncarnation,
                  TimePoint aNow);
  /** The upstream has accepted a request. */
  void RecordAccepted(const UpstreamName& aUpstream,
                      Incarnation aIncarnation,
                      TimePoint aSentAt);
  /** A request has ended, accepted or not. */
  void RecordEnded(const UpstreamName& aUpstream,
                   Incarnation aIncarnation,
                   TimePoint aSentAt);
  void RemoveExpired(TimePoint aNow);

  std::size_t Count() const { return mRecords.size(); }

private:
  struct Record
  {
    Incarnation mIncarnation;
    bool mLeaving = false;
    TimePoint mStatedAt;
    /** End of the rest, spread over the entries. */
    TimePoint mRestsUntil = TimePoint::min();
    /** Requests that were sent after the rest and are undecided. */
    std::size_t mTrials = 0;
  };

  const Record* Find(const UpstreamName& aUpstream,
                     Incarnation aIncarnation) const;
  Record* Find(const UpstreamName& aUpstream, Incarnation aIncarnation);
  /** Returns the record to write to; null if the statement is outdated. */
  Record* Touch(const UpstreamName& aUpstream,
                Incarnation aIncarnation,
                TimePoint aNow);
  Duration SpreadOf(const UpstreamName& aUpstream, Duration aRest) const;

  std::uint64_t mSeed;
  std::unordered_map<UpstreamName, Record> mRecords;
};

} // namespace peridotspool::limits
