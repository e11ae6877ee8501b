#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/limits/ConnectionState.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace peridotspool::limits {

/** Names one connection; later connections have larger ids. */
using ConnectionId = std::uint64_t;

struct ConnectionBounds
{
  /** Bytes that all connections of a listener hold together. */
  std::size_t mTotalBytes = 32U << 20;
  std::size_t mConnections = 4096;

  auto operator<=>(const ConnectionBounds&) const = default;
};

/**
 * Counts what the connections of one listener hold, and decides which of them
 * gives way when the bounds are exceeded. Requests and responses that make no
 * progress give way first; requests that are being served only if the client
 * sends further ones meanwhile. Large requests get a part of the bytes, so that
 * small ones always have room.
 *
 * Does no I/O and reads no clock. Not thread-safe.
 */
class ConnectionBudget
{
public:
  explicit ConnectionBudget(const ConnectionBounds& aBounds);

  ConnectionId Open(TimePoint aNow);
  void Update(ConnectionId aConnection,
              const ConnectionState& aState,
              TimePoint aNow);
  void Close(ConnectionId aConnection);

  /** Returns true iff a connection has to give way for another one. */
  bool IsFull() const { return mAccounts.size() >= mBounds.mConnections; }
  /** Returns the connection that gives way for a new one; empty if all are in
   * use. */
  std::optional<ConnectionId> FindReplaceable(TimePoint aNow) const;
  /** Returns true iff the connections hold too many bytes. */
  bool IsOver() const;
  /** Returns the connection that gives way for its bytes; empty if they are
   * within the bounds, or if all of them are needed. */
  std::optional<ConnectionId> FindOverrun(TimePoint aNow) const;

  std::size_t Bytes() const { return mBytes; }
  std::size_t Count() const { return mAccounts.size(); }

private:
  struct Account
  {
    ConnectionState mState;
    /** When it last made progress, and how much had been moved by then. */
    TimePoint mProgressAt;
    std::uint64_t mProgressTransferred = 0;
  };

  /** How readily a connection gives way; compared by members in order. */
  struct Rank
  {
    int mClass = 0;
    std::uint64_t mWithinClass = 0;

    auto operator<=>(const Rank&) const = default;
  };

  static bool IsStalled(const Account& aAccount, TimePoint aNow);
  Rank RankOf(ConnectionId aConnection,
              const Account& aAccount,
              TimePoint aNow) const;

  ConnectionBounds mBounds;
  ConnectionId mLastId = 0;
  std::size_t mBytes = 0;
  /** Bytes of large holders beyond what a small one has. */
  std::size_t mLargeBytes = 0;
  std::unordered_map<ConnectionId, Account> mAccounts;
};

} // namespace peridotspool::limits
