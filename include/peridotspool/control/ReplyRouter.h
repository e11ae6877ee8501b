#pragma once

#include "peridotspool/base/Address.h"
#include "peridotspool/control/RelayMessage.h"

#include <cstddef>
#include <map>
#include <utility>
#include <vector>

namespace peridotspool::control {

/** Messages for the entries behind one relay. */
struct ReplyBatch
{
  Address mRelay;
  RelayedReplies mReplies;
};

/** Identifies the alternative of a message. */
using ReplyKind = std::pair<std::size_t, std::size_t>;

/**
 * Sends a replica's messages to entries back by the path on which the entry was
 * last heard. Messages that are the same for several entries behind one relay
 * are sent to it once.
 *
 * A deterministic state machine: it uses no clock, thread or socket. Not
 * thread-safe.
 */
class ReplyRouter
{
public:
  /** Entries that are remembered; beyond it all are learnt anew. */
  static constexpr std::size_t kMaxEntries = 8192;
  /** Encoded bytes of the messages in one batch; a single one may be larger. */
  static constexpr std::size_t kMaxBatchBytes = 4U << 20;

  /** Records that the entry's last message came through a relay. */
  void RecordRelayed(const Address& aEntry, const Address& aRelay);
  /** Records that the entry's last message came from the entry itself. */
  void RecordDirect(const Address& aEntry);

  /**
   * Queues the message if the entry was last heard through a relay. Returns
   * false if it is to be sent to the entry itself.
   */
  bool Queue(const RelayTarget& aTarget, const RelayReplyPayload& aPayload);
  /** Returns the queued messages; those for one relay in their order. */
  std::vector<ReplyBatch> TakeAll();

private:
  std::map<Address, Address> mRelayOf;
  struct RelayQueue
  {
    RelayedReplies mReplies;
    /** The position of the latest message of each kind. */
    std::map<ReplyKind, std::size_t> mLatest;
    std::size_t mBytes = 0;
  };

  std::map<Address, RelayQueue> mQueued;
  std::vector<ReplyBatch> mFull;
};

} // namespace peridotspool::control
