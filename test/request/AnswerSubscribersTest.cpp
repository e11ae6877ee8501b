// ctest-labels: promise-whole-own-answer
#include "request/AnswerSubscribers.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

namespace peridotspool::request {

namespace {

const RequestKey kKey{ CustomerName("kilimanjaro"), "repaste-22" };

/** What a caller holds after its replies: as a client of ours keeps it. */
struct CallerCopy
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

TEST_CASE("ListenerThatJoinsLateGetsEveryByteOnce")
{
  rc::prop("whatever the pieces and the moment of joining", [] {
    const auto pieces = *rc::gen::container<std::vector<std::string>>(
      rc::gen::string<std::string>());
    const auto joinAt = *rc::gen::inRange<std::size_t>(0, pieces.size() + 1);
    AnswerSubscribers subscribers;
    Answer answer{ .mLineage = AttemptNumber(1) };
    CallerCopy copy;
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
      copy.Apply(effects, CallId(7));
    }
    RC_ASSERT(copy.mText == answer.mText);
    RC_ASSERT(copy.mDone);
  });
}

TEST_CASE("CallerThatHasHalfOfAnotherTextBeginsAnew")
{
  // Symptom: a plan whose first half is from one answer and whose second half
  // is from another. Sequence: the caller had 4 bytes; the executor and its
  // engine were lost; the request began again at another engine; the caller
  // attaches with its 4 bytes. Cause: an offset into one text is used in
  // another.
  AnswerSubscribers subscribers;
  subscribers.Add(CallId(7), { AttemptNumber(1), 4 });
  const Answer answer{ .mLineage = AttemptNumber(1001),
                       .mText = "use feeder 12" };
  Effects effects;
  subscribers.Publish(kKey, answer, effects);
  CallerCopy copy{ .mText = "put ", .mLineage = AttemptNumber(1) };
  copy.Apply(effects, CallId(7));
  CHECK(copy.mText == "use feeder 12");
  CHECK(copy.mLineage == AttemptNumber(1001));
}

TEST_CASE("ListenersAreLetGoAfterTheOutcome")
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
