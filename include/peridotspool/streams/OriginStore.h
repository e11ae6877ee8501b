#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/streams/OriginMessage.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace peridotspool::streams {

struct OriginStoreOptions
{
  /** With more records, those that expire first are dropped. */
  std::size_t mMaxRecords = 32768;
};

/**
 * The origins of streams that one entry holds. A record never changes to
 * another origin: a second, different one makes it ambiguous until it expires.
 *
 * Without I/O or clock. Not thread-safe.
 */
class OriginStore
{
public:
  explicit OriginStore(OriginStoreOptions aOptions = {})
    : mOptions(aOptions)
  {
  }

  /** Adds a record, or extends the lifetime of the one that is held. */
  void Add(const OriginRecord& aRecord, TimePoint aNow);
  OriginAnswer Find(const StreamKey& aKey, TimePoint aNow) const;
  void RemoveExpired(TimePoint aNow);
  std::size_t Size() const { return mRecords.size(); }

  /** Returns up to aCount records in the order of their keys.
   * @param aAfter the last key of the previous call; empty to begin */
  std::vector<OriginRecord> Scan(const std::optional<StreamKey>& aAfter,
                                 std::size_t aCount,
                                 TimePoint aNow) const;

private:
  struct Held
  {
    StreamOrigin mOrigin;
    bool mIsAmbiguous = false;
    TimePoint mExpiresAt;
  };

  static OriginAnswer AnswerOf(const Held& aHeld, TimePoint aNow);
  void Remove(const std::pair<TimePoint, StreamKey>& aExpiry);

  OriginStoreOptions mOptions;
  std::map<StreamKey, Held> mRecords;
  std::set<std::pair<TimePoint, StreamKey>> mExpiries;
};

} // namespace peridotspool::streams
