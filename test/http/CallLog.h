#pragma once

#include "http/Eventually.h"
#include "peridotspool/base/Overloaded.h"
#include "peridotspool/http/HttpClient.h"

#include <map>
#include <mutex>
#include <optional>

namespace peridotspool::test {

/** What came of one call. */
struct CallOutcome
{
  std::optional<http::CallHead> mHead;
  std::string mBody;
  bool mDone = false;
  std::optional<http::CallFailed> mFailed;
  int mEventsAfterEnd = 0;

  bool Ended() const { return mDone || mFailed; }
};

/** Collects a client's events by call; safe from any thread. */
class CallLog
{
public:
  http::HttpClient::Handler Handler()
  {
    return [this](http::ClientCallId aCall, http::CallEvent aEvent) {
      const std::lock_guard lock(mMutex);
      CallOutcome& outcome = mOutcomes[aCall];
      outcome.mEventsAfterEnd += outcome.Ended() ? 1 : 0;
      std::visit(
        Overloaded{
          [&](http::CallHead& aHead) { outcome.mHead = std::move(aHead); },
          [&](http::CallPiece& aPiece) { outcome.mBody += aPiece.mBytes; },
          [&](http::CallDone&) { outcome.mDone = true; },
          [&](http::CallFailed& aFailed) {
            outcome.mFailed = std::move(aFailed);
          } },
        aEvent);
    };
  }

  CallOutcome Of(http::ClientCallId aCall)
  {
    const std::lock_guard lock(mMutex);
    return mOutcomes[aCall];
  }

  /** Waits for the call's end; the outcome has neither end if none comes. */
  CallOutcome WaitFor(http::ClientCallId aCall)
  {
    Eventually([&] { return Of(aCall).Ended(); });
    return Of(aCall);
  }

private:
  std::mutex mMutex;
  std::map<http::ClientCallId, CallOutcome> mOutcomes;
};

} // namespace peridotspool::test
