#pragma once

#include "peridotspool/base/Address.h"
#include "peridotspool/base/ContentId.h"
#include "peridotspool/base/Ids.h"
#include "peridotspool/base/Time.h"

#include <compare>
#include <map>
#include <optional>
#include <vector>

namespace peridotspool::routing {

/** One life of an upstream's process. */
struct UpstreamLife
{
  UpstreamName mName;
  Incarnation mIncarnation;

  auto operator<=>(const UpstreamLife&) const = default;
};

/** A request that was being run when its answer was lost. */
struct LostAnswer
{
  ContentId mContent;
  TimePoint mSentAt;
  TimePoint mLostAt;
  /** It had the turn of a content that runs once at a time. */
  bool mHadTurn = false;

  auto operator<=>(const LostAnswer&) const = default;
};

enum class EndShownBy
{
  /** Nobody listens at its address. */
  kRefusedConnection,
  /** Another life has announced itself at its address. */
  kNextLife,
};

/** A life that ended without a word while it ran requests of this entry. */
struct EndedLife
{
  UpstreamLife mLife;
  EndShownBy mShownBy = EndShownBy::kRefusedConnection;
  std::vector<LostAnswer> mLost;

  auto operator<=>(const EndedLife&) const = default;
};

/**
 * Tells the end of an upstream's life from the end of a connection to it. A
 * lost answer alone shows neither: an upstream that goes on may have reset the
 * connection, or something between may have cut it.
 *
 * Only lives that had not announced their leave are to be told of here. A pure
 * step; not thread-safe.
 */
class CrashWitness
{
public:
  /**
   * An answer was lost. Returns the life's end where that is known already;
   * otherwise ShouldProbe says whether its address is to be tried.
   */
  std::optional<EndedLife> Lost(const UpstreamLife& aLife,
                                const Address& aAddress,
                                const LostAnswer& aLost);
  /** Returns true iff a connection is to be tried; once for each question. */
  bool ShouldProbe(const UpstreamLife& aLife);

  /** A connection to the life's address was refused. */
  std::optional<EndedLife> Refused(const UpstreamLife& aLife, TimePoint aNow);
  /** A connection that was tried for this stands: the life goes on. */
  void Accepted(const UpstreamLife& aLife);
  /** A life announces itself; whoever was at its address before is over. */
  std::vector<EndedLife> Announced(const UpstreamLife& aLife,
                                   const Address& aAddress,
                                   TimePoint aNow);
  /** Forgets what is long over. */
  void Forget(TimePoint aNow);

private:
  struct Question
  {
    Address mAddress;
    std::vector<LostAnswer> mLost;
    bool mProbed = false;
  };

  std::optional<EndedLife> End(const UpstreamLife& aLife,
                               EndShownBy aShownBy,
                               TimePoint aNow);

  std::map<UpstreamLife, Question> mOpen;
  std::map<UpstreamLife, TimePoint> mEnded;
};

} // namespace peridotspool::routing
