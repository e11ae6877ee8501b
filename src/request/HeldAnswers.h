#pragma once

#include "peridotspool/base/Ids.h"
#include "peridotspool/base/RequestKey.h"
#include "peridotspool/limits/ResponseBounds.h"
#include "peridotspool/limits/ResponseBudget.h"
#include "peridotspool/request/Tally.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace peridotspool::request {

/** A request whose answer is to be given up, and the bound that is broken. */
struct AnswerOverrun
{
  RequestKey mKey;
  Tally mBound = Tally::kBoundBodyBytes;
};

/** The bytes of unfinished answers by request, and their bounds. */
class HeldAnswers
{
public:
  explicit HeldAnswers(const limits::ResponseBounds& aBounds);

  /** Sets the bytes held for a request, which come from one upstream; 0 once
   * its answer is complete or given up. */
  void Set(const RequestKey& aKey,
           const UpstreamName& aUpstream,
           std::size_t aBytes);
  /** Returns what is to be given up after the answer of a request has grown,
   * and counts it no more; empty if all bounds are kept. */
  std::optional<AnswerOverrun> TakeOverrun(const RequestKey& aGrown);

  std::size_t Bytes() const { return mBudget.Bytes(); }

private:
  struct Held
  {
    /** Names the answer in the budget. */
    std::uint64_t mTag = 0;
    UpstreamName mUpstream;
    std::size_t mBytes = 0;
  };
  using HeldMap = std::unordered_map<RequestKey, Held>;

  AnswerOverrun Take(HeldMap::iterator aHeld, Tally aBound);

  limits::ResponseBounds mBounds;
  limits::ResponseBudget mBudget;
  std::uint64_t mLastTag = 0;
  HeldMap mHeld;
  std::unordered_map<std::uint64_t, RequestKey> mKeys;
};

} // namespace peridotspool::request
