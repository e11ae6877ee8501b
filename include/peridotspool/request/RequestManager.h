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
 * Manages the requests that an entry takes part in: those that it runs as the
 * executor, and those whose answers it relays from another executor.
 *
 * Every state change that must survive the loss of the entry is proposed to the
 * ledger first. The router chooses the upstreams; it must outlive this object.
 * Performs no I/O; not thread-safe.
 */
class RequestManager
{
public:
  RequestManager(MemberId aSelf,
                 RequestOptions aOptions,
                 routing::Router& aRouter);
  ~RequestManager();

  /** Handles one event and returns the effects that the host must carry out, in
   * order. */
  Effects Step(const Event& aEvent, TimePoint aNow);

  /** Returns the number of requests that this entry runs. */
  std::size_t Running() const;
  /** Returns the number of callers that wait for an answer at this entry. */
  std::size_t Callers() const;
  /** Returns the bytes held of answers that are unfinished. */
  std::size_t HeldBytes() const;

private:
  std::unique_ptr<RequestManagerState> mState;
};

} // namespace peridotspool::request
