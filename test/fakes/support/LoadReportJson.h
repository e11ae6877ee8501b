#pragma once

#include "fakes/support/LoadRun.h"

#include <algorithm>
#include <cmath>

namespace peridotspool::fakes {

/** Returns median, 95 and 99 in 100 and the largest, in milliseconds. */
inline json::object
Percentiles(std::vector<double> aMs)
{
  if (aMs.empty()) {
    return {};
  }
  std::sort(aMs.begin(), aMs.end());
  const auto at = [&](double aShare) {
    const double rank = std::ceil(aShare * static_cast<double>(aMs.size()));
    return aMs[static_cast<std::size_t>(std::max(rank, 1.0)) - 1];
  };
  return { { "count", aMs.size() },
           { "p50", at(0.5) },
           { "p95", at(0.95) },
           { "p99", at(0.99) },
           { "max", aMs.back() } };
}

inline double
MsBetween(LoadClock::time_point aBegin, LoadClock::time_point aEnd)
{
  return std::chrono::duration<double, std::milli>(aEnd - aBegin).count();
}

/** Counts and latencies of a run. */
inline json::object
ReportOf(const LoadRun& aRun)
{
  std::map<std::string, std::uint64_t> outcomes;
  std::map<std::string, std::uint64_t> reasons;
  AnswerFaults faults;
  std::vector<double> firstToken;
  std::vector<double> stream;
  std::vector<double> call;
  for (const auto& request : aRun.Requests()) {
    ++outcomes[request->mOutcome];
    if (!request->mReason.empty()) {
      ++reasons[request->mReason];
    }
    faults.mDoubled += request->mFaults.mDoubled;
    faults.mCrossed += request->mFaults.mCrossed;
    faults.mMissing += request->mFaults.mMissing;
    if (request->mOutcome == "whole") {
      auto& whole = request->mStreamed ? stream : call;
      whole.push_back(MsBetween(request->mBegin, request->mEnd));
    }
    if (request->mFirstToken != LoadClock::time_point{}) {
      firstToken.push_back(MsBetween(request->mBegin, request->mFirstToken));
    }
  }
  return { { "sent", aRun.Requests().size() },
           { "outcomes", json::value_from(outcomes) },
           { "reasons", json::value_from(reasons) },
           { "lost", outcomes["lost"] },
           { "doubled", faults.mDoubled },
           { "crossed", faults.mCrossed },
           { "missing", faults.mMissing },
           { "connected_again", aRun.Reattached() },
           { "resubmitted", aRun.Resubmitted() },
           { "restarted", aRun.Restarted() },
           { "first_token_ms", Percentiles(firstToken) },
           { "stream_ms", Percentiles(stream) },
           { "call_ms", Percentiles(call) } };
}

} // namespace peridotspool::fakes
