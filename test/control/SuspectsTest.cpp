// ctest-labels: promise-survives-reclaim
#include "control/ControlCluster.h"

#include <catch2/catch.hpp>

namespace peridotspool::control {

namespace {

/**
 * Eight entries in four failure domains. The tests set which links between
 * entries are reported as broken.
 */
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

  /**
   * Reports to each entry the peers that it can't reach according to aIsCut.
   */
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

// Guards against accepted requests of many shards that wait forever. An entry
// loses the links to its peers and retains those to the control replicas. The
// fault occurs if health is judged only by the heartbeats that control replicas
// receive.
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

TEST_CASE("OneFaultyLinkBetweenEntriesRemovesNoEntry")
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

// Reports by one entry, or by two of one failure domain, can't remove the
// others.
TEST_CASE("EntriesOfOneDomainCannotRemoveOthers")
{
  PeerLinks links;
  links.Cut(
    [](int aOne, int aOther) { return aOne % 4 == 1 && aOther % 4 == 2; });
  links.mCluster.Run(std::chrono::seconds(30));
  for (int number = 1; number <= 8; ++number) {
    CHECK(links.IsMember(number));
  }
}

// Guards against a partition between two halves that empties the member list.
// The fault occurs if all reported entries are removed at the same moment.
TEST_CASE("PartitionIntoTwoHalvesLeavesOneHalfComplete")
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
