#pragma once

#include "fakes/support/Answers.h"
#include "fakes/support/Journal.h"

#include <algorithm>
#include <set>
#include <vector>

namespace peridotspool::fakes {

/** What an engine was ordered to be; refuses old numbers if it checks them. */
class EngineOrders
{
public:
  EngineOrders(bool aChecksFencing, const std::vector<std::string>& aModels)
    : mChecksFencing(aChecksFencing)
    , mModels(aModels.begin(), aModels.end())
  {
  }

  /** Orders say what shall be, so that the same one twice changes nothing. */
  http::HttpResponse Take(const json::object& aBody, Journal& aJournal)
  {
    const std::int64_t fencing = NumberOf(aBody, "fencing");
    const bool isOld = fencing < mFencing;
    json::object line = aBody;
    line["what"] = "order";
    line["refused"] = isOld && mChecksFencing;
    aJournal.Add(line);
    if (isOld && mChecksFencing) {
      return JsonAnswer(
        409, { { "reason", "old fencing number" }, { "fencing", mFencing } });
    }
    mFencing = std::max(mFencing, fencing);
    const std::string kind = TextOf(aBody, "kind");
    if (kind == "load-model") {
      mModels.insert(TextOf(aBody, "model"));
    } else if (kind == "adapter") {
      mAdapters.insert(TextOf(aBody, "adapter"));
    } else if (kind == "role") {
      mRole = TextOf(aBody, "role");
    } else {
      return ErrorAnswer(400, "no such kind of order");
    }
    return JsonAnswer(200, State());
  }

  json::object State() const
  {
    return { { "fencing", mFencing },
             { "models", json::value_from(mModels) },
             { "adapters", json::value_from(mAdapters) },
             { "role", mRole } };
  }

private:
  const bool mChecksFencing;
  std::set<std::string> mModels;
  std::set<std::string> mAdapters;
  std::string mRole = "both";
  std::int64_t mFencing = 0;
};

} // namespace peridotspool::fakes
