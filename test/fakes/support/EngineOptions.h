#pragma once

#include "fakes/support/UpstreamOptions.h"

namespace peridotspool::fakes {

struct EngineOptions
{
  UpstreamOptions mUpstream;
  /** How long a stream goes on without a connection. */
  std::int64_t mOrphanGraceMs = 5000;
  std::size_t mMaxWaiting = 256;
  /** Prompt blocks whose KV cache is kept. */
  std::size_t mCacheBlocks = 4096;
  std::int64_t mCacheEventDelayMs = 300;
  /** Fault: a stream's first connection goes silent after so many tokens. */
  std::int64_t mSilentAfter = -1;
  /** Fault: pieces of another request are sent, once for each stream. */
  bool mCrossAnswers = false;
  /** Fault: the process kills itself after so many tokens in all. */
  std::int64_t mDieAfter = -1;
};

inline void
AddEngineOptions(CLI::App& aApp, EngineOptions& aOptions)
{
  AddUpstreamOptions(aApp, aOptions.mUpstream);
  aApp.add_option("--orphan-grace", aOptions.mOrphanGraceMs, "milliseconds");
  aApp.add_option("--max-waiting", aOptions.mMaxWaiting);
  aApp.add_option("--cache-blocks", aOptions.mCacheBlocks);
  aApp.add_option("--cache-event-delay-ms", aOptions.mCacheEventDelayMs);
  aApp.add_option("--silent-after", aOptions.mSilentAfter, "fault: tokens");
  aApp.add_flag("--cross-answers", aOptions.mCrossAnswers, "fault");
  aApp.add_option("--die-after", aOptions.mDieAfter, "fault: tokens");
}

} // namespace peridotspool::fakes
