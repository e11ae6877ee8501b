#pragma once

#include "peridotspool/base/Ids.h"
#include "peridotspool/base/RequestKey.h"
#include "peridotspool/request/Effect.h"
#include "request/Answer.h"

#include <map>
#include <variant>
#include <vector>

namespace peridotspool::request {

/** A recipient of an answer: a caller's exchange at this entry, or another
 * entry. */
using AnswerSubscriber = std::variant<CallId, MemberId>;

/** The part of an answer that a subscriber has. */
struct SubscriberPosition
{
  AttemptNumber mLineage;
  std::uint64_t mOffset = 0;
};

/**
 * The subscribers of one request's answer. Each receives every byte once and in
 * order, whenever it subscribed. A subscriber whose text is of another lineage
 * restarts from the beginning, so that parts of two answers are never joined.
 */
class AnswerSubscribers
{
public:
  /** Adds a subscriber, or sets the position of one that subscribes again. */
  void Add(const AnswerSubscriber& aSubscriber,
           const SubscriberPosition& aPosition);
  /** Returns true iff the caller was a subscriber. */
  bool Remove(CallId aExchange);
  /** Removes and returns all callers. */
  std::vector<CallId> RemoveCallers();
  bool Empty() const { return mPositions.empty(); }

  /**
   * Sends each subscriber the part of the answer that it lacks. Once the
   * outcome is known, sends it after the text and removes all subscribers.
   */
  void Publish(const RequestKey& aKey,
               const Answer& aAnswer,
               Effects& aEffects);

  /** Replies MovedReply to all callers and removes them. */
  void RedirectCallers(Effects& aEffects);

private:
  std::map<AnswerSubscriber, SubscriberPosition> mPositions;
};

} // namespace peridotspool::request
