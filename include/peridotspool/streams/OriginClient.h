#pragma once

#include "peridotspool/base/Address.h"
#include "peridotspool/base/Time.h"
#include "peridotspool/streams/OriginMessage.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace peridotspool::streams {

/** The result of a lookup. */
struct OriginLookup
{
  std::uint64_t mTag = 0;
  StreamKey mKey;
  OriginAnswer mAnswer;
};

/** Messages of a new write or lookup. */
struct OriginCall
{
  std::uint64_t mTag = 0;
  std::vector<AddressedOriginMessage> mMessages;
};

struct OriginTick
{
  /** Messages that are sent again. */
  std::vector<AddressedOriginMessage> mMessages;
  /** Lookups that have timed out. */
  std::vector<OriginLookup> mTimedOut;
};

/**
 * The writes and lookups of origins that one entry has in progress at others.
 * Messages may be lost: what is not answered is sent again.
 *
 * Does no I/O and reads no clock. Not thread-safe.
 */
class OriginClient
{
public:
  /** @param aLastTag random; keeps tags of an earlier process from matching */
  explicit OriginClient(std::uint64_t aLastTag)
    : mLastTag(aLastTag)
  {
  }

  OriginCall Write(const OriginRecord& aRecord,
                   const std::vector<Address>& aTo,
                   TimePoint aNow);
  /** Returns true iff this is the first acknowledgement of the write. */
  bool HandleAck(const Address& aFrom, const OriginAck& aAck);

  /** @param aTo the entries that may hold the record; not empty */
  OriginCall LookUp(const StreamKey& aKey,
                    const std::vector<Address>& aTo,
                    TimePoint aNow);
  /** Returns the lookup that this response decides. */
  std::optional<OriginLookup> HandleResponse(const Address& aFrom,
                                             const OriginResponse& aResponse);
  void CancelLookup(std::uint64_t aTag) { mLookups.erase(aTag); }

  /** Call about every 50 ms. */
  OriginTick Tick(TimePoint aNow);
  std::size_t PendingCount() const { return mWrites.size() + mLookups.size(); }

private:
  struct PendingWrite
  {
    OriginRecord mRecord;
    std::set<Address> mMissing;
    bool mIsAcknowledged = false;
    TimePoint mStartedAt;
    TimePoint mSentAt;
  };
  struct PendingLookup
  {
    StreamKey mKey;
    std::set<Address> mMissing;
    TimePoint mStartedAt;
    TimePoint mSentAt;
  };

  void ResendWrites(std::vector<AddressedOriginMessage>& aMessages,
                    TimePoint aNow);

  std::map<std::uint64_t, PendingWrite> mWrites;
  std::map<std::uint64_t, PendingLookup> mLookups;
  std::uint64_t mLastTag;
};

} // namespace peridotspool::streams
