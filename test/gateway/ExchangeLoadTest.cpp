// ctest-labels: gateway promise-whole-own-answer promise-at-most-once
// Requests whose upstreams' keepers answer, don't answer, or answer late.

#include "gateway/GatewayFixture.h"

#include <catch2/catch.hpp>

#include <mutex>
#include <variant>

namespace peridotspool::gateway {

namespace {

using observe::CounterId;

const Address kKeeper{ "10.0.0.1", 7000 };

ScriptedUpstream::Handler
Answering(const std::string& aBody)
{
  return [aBody](const std::string&) {
    return Script{ .mAnswer = WholeAnswer(aBody) };
  };
}

/** A gateway before two upstreams, and what it says to their keeper. */
class AskingGateway
{
public:
  AskingGateway()
    : mOne(Answering("one"))
    , mTwo(Answering("two"))
  {
    mGateway.OnRelay([this] {
      GatewayCore& core = mGateway.Core();
      core.mKeepers.Use({ { .mAddress = kKeeper, .mDomain = {} } });
      core.mSendToEntry = [this](const Address&,
                                 const SharedMessage& aMessage) {
        const std::lock_guard lock(mMutex);
        mTold.push_back(aMessage);
        if (const auto* ask = std::get_if<LoadAsk>(&aMessage);
            ask && mAnswers) {
          AnswerAtOnce(ask->mTag);
        }
      };
    });
    mGateway.Add("u1", mOne.Where());
    mGateway.Add("u2", mTwo.Where());
  }

  /** The tag of the last question, 0 if there was none. */
  std::uint64_t AskedTag() const
  {
    const std::lock_guard lock(mMutex);
    for (auto told = mTold.rbegin(); told != mTold.rend(); ++told) {
      if (const auto* ask = std::get_if<LoadAsk>(&*told)) {
        return ask->mTag;
      }
    }
    return 0;
  }

  template<typename Message>
  std::size_t Count() const
  {
    const std::lock_guard lock(mMutex);
    std::size_t count = 0;
    for (const SharedMessage& told : mTold) {
      count += std::holds_alternative<Message>(told) ? 1 : 0;
    }
    return count;
  }

  /** From now on the keeper says this of both, before the wait is over. */
  void AnswerAll(std::uint32_t aWaitUs, std::uint32_t aRunning)
  {
    const std::lock_guard lock(mMutex);
    mAnswers.emplace();
    for (const char* name : { "u1", "u2" }) {
      mAnswers->push_back({ .mUpstream = UpstreamName(name),
                            .mWaitUs = aWaitUs,
                            .mRunning = aRunning });
    }
  }

  void Answer(std::vector<LoadLine> aLines)
  {
    const LoadTold told{ .mTag = AskedTag(), .mLines = std::move(aLines) };
    mGateway.OnRelay([&] { mGateway.Core().HandleLoadResponse(told); });
  }

  std::uint64_t Counted(CounterId aId)
  {
    std::uint64_t value = 0;
    mGateway.OnRelay([&] { value = mGateway.Core().mCounters.Value(aId); });
    return value;
  }

  ScriptedUpstream mOne;
  ScriptedUpstream mTwo;
  GatewayFixture mGateway;

private:
  // Posted on the relay thread, it is taken before any timer is looked at.
  void AnswerAtOnce(std::uint64_t aTag)
  {
    GatewayCore& core = mGateway.Core();
    http::net::post(core.mIo, [&core, told = LoadTold{ aTag, *mAnswers }] {
      core.HandleLoadResponse(told);
    });
  }

  mutable std::mutex mMutex;
  std::vector<SharedMessage> mTold;
  std::optional<std::vector<LoadLine>> mAnswers;
};

std::string
PromptText(const std::string& aId)
{
  const std::string text = RequestText("prompt", aId);
  const std::size_t fields = text.find("\r\n") + 2;
  return text.substr(0, fields) + "X-Prefix: aa:12000,bb:3000\r\n" +
         text.substr(fields);
}

} // namespace

TEST_CASE("ACallGoesToTheUpstreamThatItsKeeperCallsIdle")
{
  AskingGateway asking;
  Caller caller(asking.mGateway.Where());
  caller.Send(RequestText("safe", "r1"));
  REQUIRE(Eventually([&] { return asking.AskedTag() != 0; }));
  asking.Answer({ { .mUpstream = UpstreamName("u1"), .mRunning = 50 },
                  { .mUpstream = UpstreamName("u2"), .mRunning = 0 } });
  CHECK(StatusOf(caller.ReadAnswer()) == "HTTP/1.1 200");
  // The answer may have come after the wait on a busy machine; then either
  // upstream is as good.
  if (asking.Counted(CounterId::kLoadUnanswered) == 0) {
    CHECK(asking.mTwo.Requests().size() == 1);
  }
  CHECK(Eventually([&] { return asking.Count<LoadEnded>() == 1; }));
  CHECK(asking.Count<LoadSent>() == 1);
}

// Symptom: callers wait, or get no answer, while an entry is frozen or gone.
// Sequence: it keeps account of the upstreams that a request may go to, and its
// word comes after the request has been answered.
// Cause: a request that needs the word of another entry.
TEST_CASE("AKeeperThatIsSilentOrLateCostsNoAnswerAndNoSecondSend")
{
  AskingGateway asking;
  Caller caller(asking.mGateway.Where());
  caller.Send(RequestText("once", "r1"));
  CHECK(StatusOf(caller.ReadAnswer()) == "HTTP/1.1 200");
  CHECK(asking.Counted(CounterId::kLoadUnanswered) == 1);
  asking.Answer({ { .mUpstream = UpstreamName("u1"), .mRunning = 0 } });
  CHECK(asking.mOne.Requests().size() + asking.mTwo.Requests().size() == 1);
  CHECK(asking.Count<LoadSent>() == 1);
}

// Symptom: a request reaches an upstream after its caller has left.
// Sequence: the caller leaves while its request waits for a keeper's word.
TEST_CASE("ACallerThatLeavesWhileItsKeeperIsAskedIsServedNoMore")
{
  AskingGateway asking;
  Caller caller(asking.mGateway.Where());
  caller.Send(RequestText("safe", "r1"));
  REQUIRE(Eventually([&] { return asking.AskedTag() != 0; }));
  // Held up, so that the caller's leaving is seen before the wait is over.
  asking.mGateway.OnRelay([&] { caller.Close(); });
  REQUIRE(Eventually([&] { return asking.mGateway.Exchanges() == 0; }));
  // On a busy machine the wait may have been over first: then it was sent, and
  // taken back.
  const std::size_t sent = asking.Count<LoadSent>();
  CHECK(asking.Count<LoadEnded>() == sent);
  asking.Answer({ { .mUpstream = UpstreamName("u1"), .mRunning = 0 } });
  CHECK(asking.Count<LoadSent>() == sent);
}

// Symptom: during an overload, and after it, nobody had the first event in
// time. Sequence: all engines are behind by more than what is still on time,
// and each new prompt is sent behind the others. Cause: what was known to be
// late was sent all the same.
TEST_CASE("APromptThatWouldBeLateIsRefusedAtOnceAndWasNotSent")
{
  AskingGateway asking;
  asking.AnswerAll(5000000, 8);
  Caller caller(asking.mGateway.Where());
  caller.Send(PromptText("r1"));
  const std::string answer = caller.ReadAnswer();
  CHECK(StatusOf(answer) == "HTTP/1.1 503");
  CHECK_THAT(answer, Catch::Contains("Retry-After: 4."));
  CHECK(asking.Counted(CounterId::kRefusedLate) == 1);
  CHECK(asking.Counted(CounterId::kLoadUnanswered) == 0);
  CHECK(asking.Count<LoadSent>() == 0);
  CHECK(asking.mOne.Requests().size() + asking.mTwo.Requests().size() == 0);
}

// An engine that has room begins sooner than what waits to be read lets expect,
// and a plain call has nothing to be read.
TEST_CASE("OnlyAPromptThatAFullUpstreamKeepsWaitingIsRefusedAsLate")
{
  AskingGateway asking;
  asking.AnswerAll(5000000, 1);
  Caller prompt(asking.mGateway.Where());
  prompt.Send(PromptText("r1"));
  CHECK(StatusOf(prompt.ReadAnswer()) == "HTTP/1.1 200");
  asking.AnswerAll(5000000, 8);
  Caller plain(asking.mGateway.Where());
  plain.Send(RequestText("safe", "r2"));
  CHECK(StatusOf(plain.ReadAnswer()) == "HTTP/1.1 200");
  CHECK(asking.Counted(CounterId::kRefusedLate) == 0);
}

} // namespace peridotspool::gateway
