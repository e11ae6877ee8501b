// ctest-labels: promise-whole-own-answer promise-survives-reclaim
#include "process/StreamCaller.h"
#include "process/TestSystem.h"

#include <catch2/catch.hpp>

namespace peridotspool::test {

namespace {

const std::string kPrompt = "which feeders stop head 2?";

} // namespace

TEST_CASE("EngineKilledMidStreamIsReplaced")
{
  // Symptom: a caller waits for the rest of an answer that never comes.
  // Sequence: an engine dies in the middle of a stream; another one lives.
  // Cause: the attempt's end is taken for the request's end.
  TestSystem system;
  system.Start();
  system.StartEngine("engine-1");
  StreamCaller caller("killed-engine", kPrompt, 100);
  caller.Connect(system.Entry("entryd-elefsina"));
  caller.WaitForBytes(200);
  system.StartEngine("engine-2");
  system.Process("engine-1").Kill();
  caller.FollowToEnd(system.EntriesBut({}));
  caller.RequireWholeAnswer();
  CHECK(caller.Restarts() == 0);
}

TEST_CASE("SilentConnectionToALivingEngineIsReplaced")
{
  // Symptom: a request hangs until its deadline though its engine is well.
  // Sequence: the connection goes silent after 10 tokens, without an end; the
  // engine goes on making the answer.
  // Cause: something between the two lost track of the connection.
  TestSystem system;
  system.Start();
  system.StartEngine("engine-1", { "--silent-after", "10" });
  StreamCaller caller("silent-engine", kPrompt, 60);
  caller.Connect(system.Entry("entryd-elefsina"));
  caller.FollowToEnd(system.EntriesBut({}));
  caller.RequireWholeAnswer();
  INFO("the living stream must be resumed, not computed again");
  CHECK(system.Noted("start", "silent-engine").size() == 1);
  CHECK(system.Noted("resume", "silent-engine").size() >= 1);
}

TEST_CASE("CrossedPiecesNeverReachACaller")
{
  // Symptom: a caller reads another customer's answer.
  // Sequence: an engine sends pieces of another request and of another attempt
  // on a stream.
  // Cause: pieces are matched by their connection alone.
  TestSystem system;
  system.Start();
  system.StartEngine("engine-1", { "--cross-answers" });
  StreamCaller caller("crossed", kPrompt, 40);
  caller.Connect(system.Entry("entryd-marousi"));
  caller.FollowToEnd(system.EntriesBut({}));
  caller.RequireWholeAnswer();
}

} // namespace peridotspool::test
