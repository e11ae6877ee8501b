#pragma once

#include "peridotspool/base/Ids.h"
#include "peridotspool/base/RequestKey.h"
#include "peridotspool/request/Effect.h"
#include "request/Answer.h"

#include <map>
#include <variant>
#include <vector>

namespace peridotspool::request {

/** Who gets an answer: a caller's exchange here, or another entry. */
using AnswerSubscriber = std::variant<CallId, MemberId>;

/** How much of an answer a subscriber has. */
struct SubscriberPosition
{
  AttemptNumber mLineage;
  std::uint64_t mOffset = 0;
};

/**
 * The listeners of one request's answer. Each gets every byte once and in
 * order, whenever it joined; one whose text began at another attempt is told
 * to begin anew, so that halves of two answers never meet.
 */
class AnswerSubscribers
{
public:
  /** Adds a subscriber, or moves one that asks again to the place it names. */
  void Add(const AnswerSubscriber& aSubscriber,
           const SubscriberPosition& aPosition);
  /** Returns true iff the caller was there. */
  bool Remove(CallId aExchange);
  /** Lets all callers go and returns them. */
  std::vector<CallId> RemoveCallers();
  bool Empty() const { return mPositions.empty(); }

  /**
   * Appends what each subscriber lacks of the answer. When the outcome is
   * known it follows the text, and the listeners are let go.
   */
  void Publish(const RequestKey& aKey,
               const Answer& aAnswer,
               Effects& aEffects);

  /** Tells all callers to attach elsewhere, and lets them go. */
  void RedirectCallers(Effects& aEffects);

private:
  std::map<AnswerSubscriber, SubscriberPosition> mPositions;
};

} // namespace peridotspool::request
