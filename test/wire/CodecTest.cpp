// ctest-labels: unit
#include "peridotspool/wire/Codec.h"
#include "peridotspool/ledger/Message.h"
#include "peridotspool/routing/UpstreamReport.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

namespace peridotspool::wire {

namespace {

ledger::Message
SampleProposal()
{
  return ledger::ProposeMessage{ .mEpoch = EpochNumber(7),
                                 .mCall = CallId(12),
                                 .mKey = { CustomerName("lefkada"), "plan-7" },
                                 .mOperation = ledger::FinishOperation{
                                   .mExecutorTurn = AttemptNumber(2),
                                   .mOutcome = {
                                     .mKind = ledger::OutcomeKind::kAnswered,
                                     .mStatus = -5,
                                     .mBody = std::string(1000, 'x'),
                                     .mRetryAfter = Duration(-3) } } };
}

} // namespace

TEST_CASE("NestedMessageSurvivesTheWire")
{
  const ledger::Message message = SampleProposal();
  LastReason reason;
  const auto back = Decode<ledger::Message>(Encode(message), reason);
  INFO("reason: " << reason.Text());
  REQUIRE(back.has_value());
  CHECK(*back == message);
}

TEST_CASE("EmptyOptionalAndRepeatedFieldsSurviveTheWire")
{
  routing::UpstreamAnnouncement announcement;
  announcement.mName = UpstreamName("engine-1");
  announcement.mModels = { "planner", "", "explainer" };
  LastReason reason;
  const auto back =
    Decode<routing::UpstreamAnnouncement>(Encode(announcement), reason);
  REQUIRE(back.has_value());
  CHECK(*back == announcement);
}

TEST_CASE("EveryTruncationOfAMessageIsRefusedOrDecodesWithoutHarm")
{
  const std::string whole = Encode(SampleProposal());
  for (std::size_t size = 0; size < whole.size(); ++size) {
    LastReason reason;
    const auto back =
      Decode<ledger::Message>(std::string_view(whole).substr(0, size), reason);
    CHECK_FALSE(back.has_value());
  }
}

TEST_CASE("DamagedBytesNeverStopTheProcess")
{
  rc::prop("any damage decodes or is refused", [] {
    std::string bytes = Encode(SampleProposal());
    const auto place = *rc::gen::inRange<std::size_t>(0, bytes.size());
    bytes[place] = *rc::gen::arbitrary<char>();
    LastReason reason;
    const auto back = Decode<ledger::Message>(bytes, reason);
    RC_ASSERT(back.has_value() || reason.IsSet());
  });
}

} // namespace peridotspool::wire
