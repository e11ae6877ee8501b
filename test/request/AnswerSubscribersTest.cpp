// ctest-labels: promise-whole-own-answer
#include "request/AnswerSubscribers.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

namespace peridotspool::request {

namespace {

const RequestKey kKey{ CustomerName("kilimanjaro"), "repaste-22" };

/** The text and state that a client derives from the replies. */
struct ClientState
{
  std::string mText;
  AttemptNumber mLineage;
  bool mDone = false;

  void Apply(const Effects& aEffects, CallId aExchange)
  {
    for (const Effect& effect : aEffects) {
      const auto* reply = std::get_if<ReplyEffect>(&effect);
      if (reply == nullptr || reply->mExchange != aExchange) {
        continue;
      }
      if (const auto* restart = std::get_if<RestartReply>(&reply->mReply)) {
        mText.clear();
        mLineage = restart->mLineage;
      } else if (const auto* piece = std::get_if<PieceReply>(&reply->mReply)) {
        REQUIRE(piece->mOffset == mText.size());
        mText += piece->mText;
        mLineage = piece->mLineage;
      } else if (std::holds_alternative<FinalReply>(reply->mReply)) {
        mDone = true;
      }
    }
  }
};

} // namespace

TEST_CASE("LateSubscriberReceivesEveryByteOnce")
{
  rc::prop("any pieces and any time of subscribing", [] {
    const auto pieces = *rc::gen::container<std::vector<std::string>>(
      rc::gen::string<std::string>());
    const auto joinAt = *rc::gen::inRange<std::size_t>(0, pieces.size() + 1);
    AnswerSubscribers subscribers;
    Answer answer{ .mLineage = AttemptNumber(1) };
    ClientState client;
    for (std::size_t index = 0; index <= pieces.size(); ++index) {
      if (index == joinAt) {
        subscribers.Add(CallId(7), {});
      }
      Effects effects;
      if (index < pieces.size()) {
        answer.mText += pieces[index];
      } else {
        answer.mOutcome = ledger::Outcome{};
      }
      subscribers.Publish(kKey, answer, effects);
      client.Apply(effects, CallId(7));
    }
    RC_ASSERT(client.mText == answer.mText);
    RC_ASSERT(client.mDone);
  });
}

TEST_CASE("CallerWithTextOfAnotherLineageRestarts")
{
  // Guards against an answer joined from two texts: the caller has 4 bytes when
  // the executor and its engine are lost, the request restarts at another
  // engine, and the caller attaches with its 4 bytes. An offset into the first
  // text must not be applied to the second one.
  AnswerSubscribers subscribers;
  subscribers.Add(CallId(7), { AttemptNumber(1), 4 });
  const Answer answer{ .mLineage = AttemptNumber(1001),
                       .mText = "use feeder 12" };
  Effects effects;
  subscribers.Publish(kKey, answer, effects);
  ClientState client{ .mText = "put ", .mLineage = AttemptNumber(1) };
  client.Apply(effects, CallId(7));
  CHECK(client.mText == "use feeder 12");
  CHECK(client.mLineage == AttemptNumber(1001));
}

TEST_CASE("SubscribersAreRemovedAfterTheOutcome")
{
  AnswerSubscribers subscribers;
  subscribers.Add(CallId(7), {});
  subscribers.Add(MemberId(3), {});
  Answer answer;
  answer.mOutcome = ledger::Outcome{};
  Effects effects;
  subscribers.Publish(kKey, answer, effects);
  CHECK(effects.size() == 2);
  CHECK(subscribers.Empty());
}

} // namespace peridotspool::request
