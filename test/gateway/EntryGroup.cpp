#include "gateway/EntryGroup.h"

#include "peridotspool/base/Overloaded.h"

#include <boost/asio/post.hpp>

#include <variant>

namespace peridotspool::gateway {

namespace {

constexpr std::uint16_t kPeerPort = 7000;

Address
PeerAddress(std::size_t aIndex)
{
  return { "10.0.0." + std::to_string(aIndex + 1), kPeerPort };
}

} // namespace

EntryGroup::EntryGroup(std::size_t aCount)
{
  std::vector<Coordinator> members;
  for (std::size_t i = 0; i < aCount; ++i) {
    mEntries.push_back(std::make_unique<GatewayFixture>());
    members.push_back({ .mAddress = PeerAddress(i), .mDomain = {} });
  }
  for (std::size_t i = 0; i < aCount; ++i) {
    mEntries[i]->OnRelay([&] {
      GatewayCore& core = mEntries[i]->Core();
      core.mCoordinators.Set(members);
      core.mLastSendId = i << 32U;
      core.mSendToEntry = [this, from = PeerAddress(i)](
                            const Address& aTo, const PeerMessage& aMessage) {
        Deliver(from, aTo, aMessage);
      };
    });
  }
}

// No entry may post to one that is destroyed already.
EntryGroup::~EntryGroup()
{
  for (const auto& entry : mEntries) {
    entry->OnRelay([&] {
      entry->Core().mSendToEntry = [](const Address&, const PeerMessage&) {};
    });
  }
}

void
EntryGroup::Add(const std::string& aName, const Address& aWhere)
{
  for (const auto& entry : mEntries) {
    entry->Add(aName, aWhere);
  }
}

void
EntryGroup::Deliver(const Address& aFrom,
                    const Address& aTo,
                    const PeerMessage& aMessage)
{
  for (std::size_t i = 0; i < mEntries.size(); ++i) {
    if (PeerAddress(i) == aTo) {
      http::net::post(mEntries[i]->Core().mIo, [this, i, aFrom, aMessage] {
        Handle(i, aFrom, aMessage);
      });
    }
  }
}

void
EntryGroup::Handle(std::size_t aIndex,
                   const Address& aFrom,
                   const PeerMessage& aMessage)
{
  GatewayCore& core = mEntries[aIndex]->Core();
  const TimePoint now = core.mNow();
  std::visit(Overloaded{ [&](const LoadQuery& aQuery) {
                          core.mSendToEntry(
                            aFrom, core.mCoordinator.HandleQuery(aQuery, now));
                        },
                         [&](const LoadResponse& aResponse) {
                           core.HandleLoadResponse(aResponse);
                         },
                         [&](const SendStartedReport& aReport) {
                           core.mCoordinator.Handle(aReport, now);
                         },
                         [&](const PrefillDoneReport& aReport) {
                           core.mCoordinator.Handle(aReport, now);
                         },
                         [&](const SendEndedReport& aReport) {
                           core.mCoordinator.Handle(aReport, now);
                         },
                         [](const auto&) {} },
             aMessage);
}

} // namespace peridotspool::gateway
