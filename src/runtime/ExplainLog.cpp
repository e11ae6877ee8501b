#include "runtime/ExplainLog.h"

#include <boost/json.hpp>

namespace peridotspool::runtime {

namespace json = boost::json;

namespace {

json::object
ScoreJson(const routing::CandidateScore& aScore)
{
  const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(
    aScore.mExpectedFirstToken);
  return json::object{ { "upstream", aScore.mUpstream.Value() },
                       { "expected_first_token_ms", wait.count() },
                       { "cached_tokens", aScore.mCachedTokens },
                       { "latency_part", aScore.mLatencyPart },
                       { "cost_part", aScore.mCostPart },
                       { "total", aScore.mTotal } };
}

json::object
ChoiceJson(const request::ExplainEffect& aEffect)
{
  json::array weighed;
  for (const auto& score : aEffect.mChoice.mCandidateScores) {
    weighed.push_back(ScoreJson(score));
  }
  return json::object{ { "attempt", aEffect.mAttempt.Value() },
                       { "upstream", aEffect.mChoice.mUpstream.Value() },
                       { "weighed", std::move(weighed) } };
}

} // namespace

void
ExplainLog::Add(request::ExplainEffect aEffect)
{
  const RequestKey key = aEffect.mKey;
  auto& choices = mKept[key];
  if (choices.empty()) {
    mOrder.push_back(key);
  }
  choices.push_back(std::move(aEffect));
  if (mOrder.size() > mMaxRequests) {
    mKept.erase(mOrder.front());
    mOrder.pop_front();
  }
}

std::string
ExplainLog::Json(const RequestKey& aKey) const
{
  const auto kept = mKept.find(aKey);
  if (kept == mKept.end()) {
    return {};
  }
  json::array choices;
  for (const auto& effect : kept->second) {
    choices.push_back(ChoiceJson(effect));
  }
  return json::serialize(json::object{ { "customer", aKey.mCustomer.Value() },
                                       { "key", aKey.mKey },
                                       { "choices", std::move(choices) } });
}

} // namespace peridotspool::runtime
