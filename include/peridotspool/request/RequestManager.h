#pragma once

#include "peridotspool/base/Time.h"
#include "peridotspool/request/Effect.h"
#include "peridotspool/request/Event.h"
#include "peridotspool/request/RequestOptions.h"
#include "peridotspool/routing/Router.h"

#include <cstddef>
#include <memory>

namespace peridotspool::request {

class RequestManagerState;

/**
 * The lives of the requests that an entry takes part in: those that it runs
 * (as executor) and those whose answers it passes on from another executor.
 *
 * It joins the ledger and the router: every step that must survive is proposed
 * to the ledger first, and upstreams are chosen by the router, which must
 * outlive it. A pure step; not thread-safe.
 */
class RequestManager
{
public:
  RequestManager(MemberId aSelf,
                 RequestOptions aOptions,
                 routing::Router& aRouter);
  ~RequestManager();

  /** Takes one event and returns what the host is to do, in order. */
  Effects Step(const Event& aEvent, TimePoint aNow);

  /** Requests that this entry runs now. */
  std::size_t Running() const;
  /** Callers that wait for an answer here. */
  std::size_t Callers() const;

private:
  std::unique_ptr<RequestManagerState> mState;
};

} // namespace peridotspool::request
