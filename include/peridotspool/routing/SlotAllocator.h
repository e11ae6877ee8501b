#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/routing/AddressedSlot.h"
#include "peridotspool/routing/SlotCapacity.h"
#include "peridotspool/routing/SlotQueue.h"

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace peridotspool::routing {

/**
 * Grants slots of the upstreams that this entry coordinates: as many as are
 * free, and a few ahead, so that an upstream isn't idle while a grant is under
 * way. A request that no slot can reach in time is denied at once.
 *
 * The state is in memory only. A coordinator that has just taken over counts
 * running sends from none, so it grants up to the slots once too often; the
 * upstream's own queue holds them.
 *
 * Does no I/O and reads no clock. Not thread-safe.
 */
class SlotAllocator
{
public:
  explicit SlotAllocator(SlotQueueOptions aOptions);

  /** Returns the response to the request, and those to others that are due. */
  std::vector<AddressedSlot> HandleRequest(const Address& aFrom,
                                           const SlotRequest& aRequest,
                                           const SlotCapacityLookup& aLookup,
                                           TimePoint aNow);
  /** Accounts for a send that has started, whether it had a slot or not. */
  void HandleStarted(const UpstreamName& aUpstream, std::uint64_t aSendId);
  /**
   * @param aTook from the start of the send to its end; empty if it says
   *   nothing of how long work takes
   * @param aRunning sends in flight when it ended, itself included
   */
  std::vector<AddressedSlot> HandleEnded(const UpstreamName& aUpstream,
                                         std::optional<Duration> aTook,
                                         std::size_t aRunning,
                                         const SlotCapacityLookup& aLookup,
                                         TimePoint aNow);
  /** Cancels a waiting request, or frees a granted slot. */
  std::vector<AddressedSlot> HandleReturn(const Address& aFrom,
                                          const SlotReturn& aReturn,
                                          const SlotCapacityLookup& aLookup,
                                          TimePoint aNow);
  /** Expires grants and waits, confirms waits; call every 50 ms. */
  std::vector<AddressedSlot> Tick(const SlotCapacityLookup& aLookup,
                                  TimePoint aNow);
  /** Returns the slots granted and not used yet, and the waiting sends. */
  std::size_t Claims(const UpstreamName& aUpstream) const;
  /** Returns after how long a send counts as lost; no send takes longer. */
  Duration LostAfter(const UpstreamName& aUpstream) const;

  std::size_t RecordCount() const { return mRecords.size(); }
  std::size_t WaitingCount() const;
  std::size_t WaitingAt(const UpstreamName& aUpstream) const;

private:
  struct Grant
  {
    Address mEntry;
    TimePoint mAt;
  };
  struct Record
  {
    explicit Record(SlotQueueOptions aOptions)
      : mQueue(aOptions)
    {
    }
    Incarnation mIncarnation;
    FailureDomain mDomain;
    SlotQueue mQueue;
    /** Granted slots whose sends have not been reported yet, by tag. */
    std::map<std::uint64_t, Grant> mGrants;
    /** Mean time that a send occupies a slot; empty until one has ended. */
    std::optional<Duration> mSlotTime;
    TimePoint mUsedAt;
    TimePoint mConfirmedAt;
  };

  Record* FindOrAdd(const SlotRequest& aRequest, TimePoint aNow);
  AddressedSlot Evaluate(Record& aRecord,
                         const Address& aFrom,
                         const SlotRequest& aRequest,
                         const SlotCapacity& aCapacity,
                         std::vector<AddressedSlot>& aOthers,
                         TimePoint aNow);
  AddressedSlot Enqueue(Record& aRecord,
                        const UpstreamName& aUpstream,
                        WaitingSend aSend,
                        const SlotCapacity& aCapacity,
                        std::vector<AddressedSlot>& aOthers,
                        TimePoint aNow);
  void GrantFree(const UpstreamName& aUpstream,
                 Record& aRecord,
                 const SlotCapacity& aCapacity,
                 std::vector<AddressedSlot>& aResponses,
                 TimePoint aNow);
  void DenyHopeless(const UpstreamName& aUpstream,
                    Record& aRecord,
                    const SlotCapacity& aCapacity,
                    std::vector<AddressedSlot>& aResponses,
                    TimePoint aNow);
  static void ExpireGrants(Record& aRecord, TimePoint aNow);
  static void Dismiss(const UpstreamName& aUpstream,
                      Record& aRecord,
                      std::vector<AddressedSlot>& aResponses);
  static bool IsCurrent(const Record& aRecord, const SlotCapacity& aCapacity);
  static std::size_t Ahead(const Record& aRecord, std::uint32_t aSlots);
  static bool HasFree(const Record& aRecord, const SlotCapacity& aCapacity);
  static Duration WaitFor(const Record& aRecord,
                          const SlotCapacity& aCapacity,
                          double aStarts);

  SlotQueueOptions mOptions;
  std::unordered_map<UpstreamName, Record> mRecords;
};

} // namespace peridotspool::routing
