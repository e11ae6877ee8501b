// ctest-labels: gateway limits
// Upstreams that fall over if they have to reject too many requests in a
// second, and state so in their responses.

#include "gateway/EntryGroup.h"
#include "peridotspool/runtime/SystemClock.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace peridotspool::gateway {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kEntries = 11;
constexpr std::size_t kCallersEach = 6;
constexpr std::size_t kUpstreams = 4;
constexpr int kSlots = 8;
constexpr std::size_t kMaxRejections = 8;
constexpr milliseconds kWork{ 100 };
/** Entries know of a statement this long after it is first made. */
constexpr seconds kGrace{ 3 };
constexpr seconds kObserved{ 4 };
/** As long as the refusals tell callers to wait. */
constexpr milliseconds kPause{ 100 };

/** Runs as many requests as it has slots, and lets none wait. */
class BrittleUpstream
{
public:
  BrittleUpstream()
    : mUpstream([this](const std::string&) { return Answer(); })
  {
  }

  Address Where() const { return mUpstream.Where(); }
  std::size_t Served() const { return mServed; }
  /** Returns the most rejections in a second, later than aStart. */
  std::size_t MostRejections(TimePoint aStart) const
  {
    const std::lock_guard lock(mMutex);
    std::size_t most = 0;
    for (auto end = mRejectedAt.begin(); end != mRejectedAt.end(); ++end) {
      const auto first = std::upper_bound(
        mRejectedAt.begin(), end, std::max(aStart, *end - seconds(1)));
      most = std::max(most, static_cast<std::size_t>(end - first) + 1);
    }
    return most;
  }

private:
  Script Answer()
  {
    const bool hasRoom = ++mRunning <= kSlots;
    std::string answer;
    if (hasRoom) {
      std::this_thread::sleep_for(kWork);
      ++mServed;
      answer = WholeAnswer("whole");
    } else {
      const std::lock_guard lock(mMutex);
      mRejectedAt.push_back(runtime::ReadClock());
      answer = WholeAnswer("full", 503);
      answer.insert(answer.find("\r\n") + 2, "X-Not-Run: 1\r\n");
    }
    --mRunning;
    answer.insert(answer.find("\r\n") + 2,
                  "X-Brittle: " + std::to_string(kMaxRejections) + "\r\n");
    return Script{ .mAnswer = std::move(answer) };
  }

  std::atomic<int> mRunning{ 0 };
  std::atomic<std::size_t> mServed{ 0 };
  mutable std::mutex mMutex;
  std::vector<TimePoint> mRejectedAt;
  ScriptedUpstream mUpstream;
};

void
CallUntil(const Address& aEntry, const std::string& aName, TimePoint aEnd)
{
  Caller caller(aEntry);
  for (int n = 0; runtime::ReadClock() < aEnd; ++n) {
    caller.Send(RequestText("safe", aName + "-" + std::to_string(n)));
    if (StatusOf(caller.ReadAnswer()) != "HTTP/1.1 200") {
      std::this_thread::sleep_for(kPause);
    }
  }
}

} // namespace

// Guards against entries that make brittle upstreams fall over by offering them
// more than they have room for.
TEST_CASE("EntriesTogetherSpareBrittleUpstreamsRejections")
{
  std::vector<std::unique_ptr<BrittleUpstream>> upstreams;
  EntryGroup entries(kEntries);
  for (std::size_t i = 0; i < kUpstreams; ++i) {
    upstreams.push_back(std::make_unique<BrittleUpstream>());
    entries.Add("u" + std::to_string(i), upstreams.back()->Where());
  }
  const TimePoint start = runtime::ReadClock();
  std::vector<std::thread> callers;
  for (std::size_t entry = 0; entry < kEntries; ++entry) {
    for (std::size_t i = 0; i < kCallersEach; ++i) {
      callers.emplace_back([&, entry, i] {
        CallUntil(entries.Entry(entry).Where(),
                  std::to_string(entry) + "-" + std::to_string(i),
                  start + kGrace + kObserved);
      });
    }
  }
  std::this_thread::sleep_for(kGrace);
  std::size_t before = 0;
  for (const auto& upstream : upstreams) {
    before += upstream->Served();
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  std::size_t served = 0;
  for (const auto& upstream : upstreams) {
    const std::size_t most = upstream->MostRejections(start + kGrace);
    INFO("expected at most " << kMaxRejections
                             << " rejections in any second, got " << most);
    CHECK(most <= kMaxRejections);
    served += upstream->Served();
  }
  const std::size_t capacity =
    kUpstreams * kSlots * static_cast<std::size_t>(kObserved / kWork);
  INFO("expected entries to use at least half of the room for "
       << capacity << " requests, got " << served - before);
  CHECK((served - before) * 2 >= capacity);
}

} // namespace peridotspool::gateway
