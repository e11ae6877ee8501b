#include "request/AnswerSubscribers.h"

#include "peridotspool/base/Overloaded.h"

namespace peridotspool::request {

namespace {

void
SendRestart(const AnswerSubscriber& aSubscriber,
            AttemptNumber aLineage,
            Effects& aEffects)
{
  // Another entry learns the new lineage from the next piece.
  if (const CallId* exchange = std::get_if<CallId>(&aSubscriber)) {
    aEffects.emplace_back(ReplyEffect{ *exchange, RestartReply{ aLineage } });
  }
}

void
SendText(const AnswerSubscriber& aSubscriber,
         const RequestKey& aKey,
         const Answer& aAnswer,
         std::uint64_t aOffset,
         Effects& aEffects)
{
  std::string text = aAnswer.mText.substr(aOffset);
  const auto toCaller = [&](CallId aExchange) {
    aEffects.emplace_back(ReplyEffect{
      aExchange, PieceReply{ aAnswer.mLineage, aOffset, std::move(text) } });
  };
  const auto toMember = [&](MemberId aMember) {
    aEffects.emplace_back(RelayEffect{
      aMember,
      PieceMessage{ aKey, aAnswer.mLineage, aOffset, std::move(text) } });
  };
  std::visit(Overloaded{ toCaller, toMember }, aSubscriber);
}

void
SendOutcome(const AnswerSubscriber& aSubscriber,
            const RequestKey& aKey,
            const Answer& aAnswer,
            Effects& aEffects)
{
  const auto toCaller = [&](CallId aExchange) {
    aEffects.emplace_back(ReplyEffect{
      aExchange, FinalReply{ *aAnswer.mOutcome, aAnswer.mExecutor } });
  };
  const auto toMember = [&](MemberId aMember) {
    aEffects.emplace_back(
      RelayEffect{ aMember, EndedMessage{ aKey, *aAnswer.mOutcome } });
  };
  std::visit(Overloaded{ toCaller, toMember }, aSubscriber);
}

} // namespace

void
AnswerSubscribers::Add(const AnswerSubscriber& aSubscriber,
                       const SubscriberPosition& aPosition)
{
  mPositions[aSubscriber] = aPosition;
}

bool
AnswerSubscribers::Remove(CallId aExchange)
{
  return mPositions.erase(AnswerSubscriber(aExchange)) > 0;
}

std::vector<CallId>
AnswerSubscribers::RemoveCallers()
{
  std::vector<CallId> callers;
  for (auto place = mPositions.begin(); place != mPositions.end();) {
    if (const CallId* exchange = std::get_if<CallId>(&place->first)) {
      callers.push_back(*exchange);
      place = mPositions.erase(place);
    } else {
      ++place;
    }
  }
  return callers;
}

void
AnswerSubscribers::Publish(const RequestKey& aKey,
                           const Answer& aAnswer,
                           Effects& aEffects)
{
  for (auto& [subscriber, place] : mPositions) {
    if (aAnswer.mLineage.IsSet() && place.mLineage != aAnswer.mLineage) {
      if (place.mOffset > 0) {
        SendRestart(subscriber, aAnswer.mLineage, aEffects);
      }
      place = SubscriberPosition{ .mLineage = aAnswer.mLineage, .mOffset = 0 };
    }
    if (place.mOffset < aAnswer.mText.size()) {
      SendText(subscriber, aKey, aAnswer, place.mOffset, aEffects);
      place.mOffset = aAnswer.mText.size();
    }
    if (aAnswer.mOutcome) {
      SendOutcome(subscriber, aKey, aAnswer, aEffects);
    }
  }
  if (aAnswer.mOutcome) {
    mPositions.clear();
  }
}

void
AnswerSubscribers::RedirectCallers(Effects& aEffects)
{
  for (const CallId exchange : RemoveCallers()) {
    aEffects.emplace_back(ReplyEffect{ exchange, MovedReply{} });
  }
}

} // namespace peridotspool::request
