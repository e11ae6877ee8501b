// ctest-labels: promise-rollout
#include "peridotspool/rollout/AllowanceAccount.h"

#include <catch2/catch.hpp>

#include <deque>
#include <map>
#include <random>
#include <vector>

namespace peridotspool::rollout {

namespace {

/** The allowance of an entry as RolloutGate stores it. */
struct Holder
{
  std::uint64_t mUsed = 0;
  std::uint64_t mAllowed = 0;
  std::uint64_t mTerm = 0;
  std::uint64_t mSequence = 0;
  bool mHolds = false;
};

struct Update
{
  std::uint64_t mLife = 0;
  std::uint64_t mTerm = 0;
  std::uint64_t mSequence = 0;
  std::uint64_t mAllowed = 0;
};

struct Report
{
  std::uint64_t mLife = 0;
  std::uint64_t mTerm = 0;
  std::uint64_t mSequence = 0;
  RolloutProgress mProgress;
};

/**
 * Removes a random message from a queue. Returns false if the message is lost
 * or there is none.
 */
template<typename T>
bool
ReceiveAny(std::deque<T>& aQueue, std::mt19937& aRandom, T& aReceived)
{
  if (aQueue.empty()) {
    return false;
  }
  const std::size_t place = aRandom() % aQueue.size();
  aReceived = aQueue[place];
  aQueue.erase(aQueue.begin() + static_cast<std::ptrdiff_t>(place));
  return aRandom() % 8 != 0;
}

} // namespace

// Guards against more requests than were reserved when messages are lost or
// reordered and entries and leaders are replaced.
TEST_CASE("EntriesNeverUseMoreThanWasReserved")
{
  for (unsigned seed = 1; seed <= 300; ++seed) {
    std::mt19937 random(seed);
    std::map<std::uint64_t, Holder> entries;
    for (std::uint64_t incarnation = 1; incarnation <= 1 + seed % 12;
         ++incarnation) {
      entries[incarnation] = {};
    }
    std::uint64_t lastIncarnation = entries.size();
    std::uint64_t reserved = 10;
    std::uint64_t used = 0;
    std::uint64_t term = 1;
    std::uint64_t sequence = 0;
    AllowanceAccount account(0);
    std::deque<Update> updates;
    std::deque<Report> reports;
    for (int step = 0; step < 2000; ++step) {
      auto entry = entries.begin();
      std::advance(entry,
                   static_cast<std::ptrdiff_t>(random() % entries.size()));
      Holder& holder = entry->second;
      switch (random() % 10) {
        case 0:
        case 1:
        case 2:
          if (holder.mHolds && holder.mUsed < holder.mAllowed) {
            ++holder.mUsed;
            ++used;
          }
          break;
        case 3:
        case 4:
          reports.push_back(
            { .mLife = entry->first,
              .mTerm = holder.mTerm,
              .mSequence = holder.mSequence,
              .mProgress = { .mUsed = holder.mUsed,
                             .mAllowed =
                               holder.mHolds
                                 ? std::max(holder.mUsed, holder.mAllowed)
                                 : holder.mUsed } });
          break;
        case 5: {
          Report report;
          if (ReceiveAny(reports, random, report)) {
            account.RecordProgress(report.mLife,
                                   report.mProgress,
                                   report.mTerm == term ? report.mSequence : 0);
            ++sequence;
            updates.push_back({ .mLife = report.mLife,
                                .mTerm = term,
                                .mSequence = sequence,
                                .mAllowed = account.Allow(
                                  report.mLife, 2, reserved, sequence) });
          }
          break;
        }
        case 6: {
          Update update;
          if (ReceiveAny(updates, random, update) &&
              entries.contains(update.mLife)) {
            Holder& to = entries[update.mLife];
            if (std::pair(update.mTerm, update.mSequence) >
                std::pair(to.mTerm, to.mSequence)) {
              to.mTerm = update.mTerm;
              to.mSequence = update.mSequence;
              to.mAllowed = update.mAllowed;
              to.mHolds = true;
            }
          }
          break;
        }
        case 7:
          holder.mHolds = false;
          break;
        case 8:
          reserved += random() % 3;
          break;
        default:
          if (random() % 20 == 0) {
            ++term;
            account = AllowanceAccount(reserved);
          } else if (random() % 10 == 0) {
            entries.erase(entry);
            entries[++lastIncarnation] = {};
          }
          break;
      }
      INFO("seed " << seed << " step " << step);
      REQUIRE(used <= reserved);
      REQUIRE(account.Spent() <= reserved);
    }
  }
}

TEST_CASE("UnusableAllowanceIsGrantedToAnotherEntry")
{
  AllowanceAccount account(0);
  account.RecordProgress(1, {}, 0);
  CHECK(account.Allow(1, 2, 2, 1) == 2);
  CHECK(account.Allow(2, 2, 2, 1) == 0);
  // Its lease has expired, and it has applied the last update.
  account.RecordProgress(1, { .mUsed = 1, .mAllowed = 1 }, 1);
  CHECK(account.Allow(2, 2, 2, 2) == 1);
}

} // namespace peridotspool::rollout
