#include "request/Audience.h"

#include "peridotspool/base/Overloaded.h"

namespace peridotspool::request {

namespace {

void
SendRestart(const Listener& aListener,
            AttemptNumber aLineage,
            Effects& aEffects)
{
  // Another entry sees a new lineage in the next piece itself.
  if (const CallId* exchange = std::get_if<CallId>(&aListener)) {
    aEffects.emplace_back(ReplyEffect{ *exchange, RestartReply{ aLineage } });
  }
}

void
SendText(const Listener& aListener,
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
  std::visit(Overloaded{ toCaller, toMember }, aListener);
}

void
SendOutcome(const Listener& aListener,
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
  std::visit(Overloaded{ toCaller, toMember }, aListener);
}

} // namespace

void
Audience::Add(const Listener& aListener, const ListenerPlace& aPlace)
{
  mPlaces[aListener] = aPlace;
}

bool
Audience::Remove(CallId aExchange)
{
  return mPlaces.erase(Listener(aExchange)) > 0;
}

std::vector<CallId>
Audience::TakeCallers()
{
  std::vector<CallId> callers;
  for (auto place = mPlaces.begin(); place != mPlaces.end();) {
    if (const CallId* exchange = std::get_if<CallId>(&place->first)) {
      callers.push_back(*exchange);
      place = mPlaces.erase(place);
    } else {
      ++place;
    }
  }
  return callers;
}

void
Audience::Publish(const RequestKey& aKey,
                  const Answer& aAnswer,
                  Effects& aEffects)
{
  for (auto& [listener, place] : mPlaces) {
    if (aAnswer.mLineage.IsSet() && place.mLineage != aAnswer.mLineage) {
      if (place.mOffset > 0) {
        SendRestart(listener, aAnswer.mLineage, aEffects);
      }
      place = ListenerPlace{ .mLineage = aAnswer.mLineage, .mOffset = 0 };
    }
    if (place.mOffset < aAnswer.mText.size()) {
      SendText(listener, aKey, aAnswer, place.mOffset, aEffects);
      place.mOffset = aAnswer.mText.size();
    }
    if (aAnswer.mOutcome) {
      SendOutcome(listener, aKey, aAnswer, aEffects);
    }
  }
  if (aAnswer.mOutcome) {
    mPlaces.clear();
  }
}

void
Audience::MoveCallersAway(Effects& aEffects)
{
  for (const CallId exchange : TakeCallers()) {
    aEffects.emplace_back(ReplyEffect{ exchange, MovedReply{} });
  }
}

} // namespace peridotspool::request
