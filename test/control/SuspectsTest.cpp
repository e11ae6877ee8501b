// ctest-labels: promise-survives-reclaim
#include "control/ControlCluster.h"

#include <catch2/catch.hpp>

namespace peridotspool::control {

namespace {

/** Eight entries in four domains; links between entries are told to them. */
class PeerLinks
{
public:
  PeerLinks()
  {
    mCluster.StartControls(3);
    mCluster.Edit("edit-1", 0, "a: 1\n");
    for (int number = 1; number <= 8; ++number) {
      mCluster.AddEntry(Name(number), "domain-" + std::to_string(number % 4));
    }
    mCluster.RunUntil([&] { return mCluster.AllEntriesAt(Revision(1)); });
    mCluster.Run(std::chrono::seconds(2));
    for (int number = 1; number <= 8; ++number) {
      mIds[number] = Session(number).Member();
    }
  }

  static std::string Name(int aNumber)
  {
    return "entry-" + std::to_string(aNumber);
  }
  membership::ControlSession& Session(int aNumber)
  {
    return *mCluster.Process(Name(aNumber)).mSession;
  }

  /** Tells each entry whom it can't reach, by a rule. */
  void Cut(const std::function<bool(int, int)>& aIsCut)
  {
    for (int one = 1; one <= 8; ++one) {
      membership::SuspectsEvent event;
      for (int other = 1; other <= 8; ++other) {
        if (one != other && aIsCut(one, other)) {
          event.mSuspects.push_back(mIds[other]);
        }
      }
      Session(one).Step(event, mCluster.LocalNow(mCluster.Process(Name(one))));
    }
  }

  bool IsMember(int aNumber)
  {
    return !mCluster.Process(Name(aNumber)).mWasRemoved;
  }

  ControlCluster mCluster;
  std::map<int, MemberId> mIds;
};

} // namespace

// Symptom: accepted requests of many shards wait without an end.
// Sequence: an entry's links to its peers go, its links to the control
// replicas stay.
// Cause: health judged by the control replicas' hearing alone.
TEST_CASE("EntryThatReachesControlButNoPeerIsRemoved")
{
  PeerLinks links;
  links.Cut([](int aOne, int aOther) { return aOne == 3 || aOther == 3; });
  links.mCluster.Run(std::chrono::seconds(10));
  for (int number = 1; number <= 8; ++number) {
    INFO("entry " << number);
    CHECK(links.IsMember(number) == (number != 3));
  }
  CHECK(links.mCluster.Problems() == std::vector<std::string>{});
}

TEST_CASE("OneBadLinkBetweenEntriesTakesNobodyOut")
{
  PeerLinks links;
  links.Cut([](int aOne, int aOther) {
    return (aOne == 1 && aOther == 2) || (aOne == 2 && aOther == 1);
  });
  links.mCluster.Run(std::chrono::seconds(30));
  for (int number = 1; number <= 8; ++number) {
    CHECK(links.IsMember(number));
  }
}

// One entry, or two of one domain, can't vote the others out.
TEST_CASE("EntriesOfOneDomainTakeNobodyElseOut")
{
  PeerLinks links;
  links.Cut(
    [](int aOne, int aOther) { return aOne % 4 == 1 && aOther % 4 == 2; });
  links.mCluster.Run(std::chrono::seconds(30));
  for (int number = 1; number <= 8; ++number) {
    CHECK(links.IsMember(number));
  }
}

// Symptom: a cut between two halves empties the member list.
// Cause: everybody who is reported taken out at the same moment.
TEST_CASE("CutBetweenTwoHalvesLeavesOneHalfWhole")
{
  PeerLinks links;
  const auto left = [](int aNumber) { return aNumber % 4 < 2; };
  links.Cut([&](int aOne, int aOther) { return left(aOne) != left(aOther); });
  links.mCluster.Run(std::chrono::seconds(40));
  int leftMembers = 0;
  int rightMembers = 0;
  for (int number = 1; number <= 8; ++number) {
    (left(number) ? leftMembers : rightMembers) +=
      links.IsMember(number) ? 1 : 0;
  }
  INFO("left " << leftMembers << " right " << rightMembers);
  CHECK(std::max(leftMembers, rightMembers) == 4);
  CHECK(std::min(leftMembers, rightMembers) <= 1);
}

} // namespace peridotspool::control
