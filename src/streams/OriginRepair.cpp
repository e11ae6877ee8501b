#include "peridotspool/streams/OriginRepair.h"

#include <algorithm>
#include <map>
#include <utility>

namespace peridotspool::streams {

namespace {

/** Bounds the processor time of one step. */
constexpr std::size_t kRecordsPerStep = 128;

std::vector<Replica>
AddedHolders(const std::vector<Replica>& aBefore, std::vector<Replica> aAfter)
{
  std::erase_if(aAfter, [&](const Replica& aOne) {
    return std::find(aBefore.begin(), aBefore.end(), aOne) != aBefore.end();
  });
  return aAfter;
}

} // namespace

// Members that change during a pass are compared with those before it, as some
// records have not been visited.
void
OriginRepair::Begin(const ReplicaSelector& aPrevious)
{
  if (!mPrevious) {
    mPrevious = aPrevious;
  }
  mLast.reset();
}

std::vector<AddressedOriginMessage>
OriginRepair::Step(const OriginStore& aStore,
                   const ReplicaSelector& aCurrent,
                   const Region& aRegion,
                   const Address& aSelf,
                   TimePoint aNow)
{
  std::vector<AddressedOriginMessage> messages;
  if (!mPrevious) {
    return messages;
  }
  std::map<Address, OriginWrite> writes;
  const auto records = aStore.Scan(mLast, kRecordsPerStep, aNow);
  for (const OriginRecord& record : records) {
    for (const Replica& holder :
         AddedHolders(mPrevious->Holders(record.mKey, aRegion),
                      aCurrent.Holders(record.mKey, aRegion))) {
      if (holder.mAddress != aSelf) {
        writes[holder.mAddress].mRecords.push_back(record);
      }
    }
  }
  for (auto& [to, write] : writes) {
    messages.push_back({ .mTo = to, .mMessage = std::move(write) });
  }
  if (records.size() < kRecordsPerStep) {
    mPrevious.reset();
    mLast.reset();
  } else {
    mLast = records.back().mKey;
  }
  return messages;
}

} // namespace peridotspool::streams
