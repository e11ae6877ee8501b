#include "peridotspool/gateway/LoadInquiries.h"

#include <algorithm>

namespace peridotspool::gateway {

LoadInquiry
LoadInquiries::Begin(const std::vector<ShortlistedUpstream>& aUpstreams,
                     const std::vector<PromptPart>& aParts,
                     const KeeperMap& aKeepers)
{
  LoadInquiry inquiry{ .mTag = ++mLastTag, .mQuestions = {} };
  auto& questions = inquiry.mQuestions;
  for (const ShortlistedUpstream& upstream : aUpstreams) {
    const auto keeper = aKeepers.KeeperOf(upstream.mName, upstream.mDomain);
    if (!keeper) {
      continue;
    }
    auto question = std::find_if(
      questions.begin(), questions.end(), [&](const KeeperQuestion& aOne) {
        return aOne.mKeeper == *keeper;
      });
    if (question == questions.end()) {
      questions.push_back({ .mKeeper = *keeper,
                            .mAsk = { .mTag = inquiry.mTag,
                                      .mUpstreams = {},
                                      .mParts = aParts } });
      question = std::prev(questions.end());
    }
    question->mAsk.mUpstreams.push_back(upstream.mName);
  }
  if (!questions.empty()) {
    mOpen[inquiry.mTag] = questions.size();
  }
  return inquiry;
}

bool
LoadInquiries::Take(const LoadTold& aTold)
{
  const auto open = mOpen.find(aTold.mTag);
  if (open == mOpen.end() || --open->second > 0) {
    return false;
  }
  mOpen.erase(open);
  return true;
}

} // namespace peridotspool::gateway
