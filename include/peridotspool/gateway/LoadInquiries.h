#pragma once

#include "peridotspool/base/Address.h"
#include "peridotspool/gateway/KeeperMap.h"
#include "peridotspool/gateway/LoadMessage.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace peridotspool::gateway {

/** An upstream that a request may go to. */
struct ShortlistedUpstream
{
  UpstreamName mName;
  FailureDomain mDomain;

  auto operator<=>(const ShortlistedUpstream&) const = default;
};

/** A question and the keeper that it goes to. */
struct KeeperQuestion
{
  Address mKeeper;
  LoadAsk mAsk;

  auto operator<=>(const KeeperQuestion&) const = default;
};

/** One request's questions to the keepers of the upstreams it may go to. */
struct LoadInquiry
{
  std::uint64_t mTag = 0;
  /** One for each keeper. */
  std::vector<KeeperQuestion> mQuestions;

  auto operator<=>(const LoadInquiry&) const = default;
};

/**
 * The inquiries whose answers an entry still waits for. How long it waits is
 * the caller's: what is not answered in time is done without.
 *
 * A pure step. Not thread-safe.
 */
class LoadInquiries
{
public:
  /** An inquiry without questions means that there is nobody to ask. */
  LoadInquiry Begin(const std::vector<ShortlistedUpstream>& aUpstreams,
                    const std::vector<PromptPart>& aParts,
                    const KeeperMap& aKeepers);
  /** Returns true iff it was the last answer that its inquiry waited for. */
  bool Take(const LoadTold& aTold);
  /** Nobody waits for it any more. */
  void Forget(std::uint64_t aTag) { mOpen.erase(aTag); }

  std::size_t Open() const { return mOpen.size(); }

private:
  /** Answers that are still to come, by tag. */
  std::unordered_map<std::uint64_t, std::size_t> mOpen;
  std::uint64_t mLastTag = 0;
};

} // namespace peridotspool::gateway
