#pragma once

#include "peridotspool/base/ContentId.h"
#include "peridotspool/base/Ids.h"
#include "peridotspool/base/PromptPartId.h"

#include <compare>
#include <vector>

namespace peridotspool::routing {

/** What the quarantine knows a request by. */
struct GateRequest
{
  ContentId mContent;
  /** Parts of its prompt that other requests may share. */
  std::vector<PromptPartId> mParts;
  /** Empty where no key is needed. */
  CustomerName mCustomer;

  auto operator<=>(const GateRequest&) const = default;
};

/** What a response shows about the request that it answers. */
enum class AnswerEvidence
{
  /** The upstream is alive: it has answered, if only with a failure. */
  kUpstreamAlive,
  /** The upstream has written a whole successful answer and is alive. */
  kComplete,
};

} // namespace peridotspool::routing
