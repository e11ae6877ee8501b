#include "gateway/EntryGroup.h"

#include "peridotspool/base/Overloaded.h"
#include "peridotspool/limits/PermitTiming.h"

#include <boost/asio/post.hpp>

#include <variant>

namespace peridotspool::gateway {

namespace {

constexpr std::chrono::milliseconds kTick{ 50 };

} // namespace

EntryGroup::EntryGroup(std::size_t aCount, Duration aInContact)
{
  std::vector<Coordinator> members;
  for (std::size_t i = 0; i < aCount; ++i) {
    mEntries.push_back(std::make_unique<GatewayFixture>());
    members.push_back(
      { .mAddress = mEntries.back()->PeerAddress(), .mDomain = {} });
  }
  std::vector<streams::Replica> replicas;
  for (const Coordinator& member : members) {
    replicas.push_back({ .mMember = MemberId(replicas.size() + 1),
                         .mAddress = member.mAddress,
                         .mRegion = {},
                         .mDomain = member.mDomain });
  }
  for (std::size_t i = 0; i < aCount; ++i) {
    mEntries[i]->OnRelay([&] {
      GatewayCore& core = mEntries[i]->Core();
      std::vector<Coordinator> peers = members;
      peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(i));
      core.SetTunnelPeers(peers, {});
      core.mCoordinators.Set(members);
      core.mOrigins.Start(members[i].mAddress, {}, i << 32U);
      core.mOrigins.SetMembers(replicas);
      for (Duration ago = aInContact; ago > Duration(0);
           ago -= std::chrono::seconds(1)) {
        core.mContact.RecordConfirmation(core.mNow() - ago);
      }
      core.mTenure.SetSelf(members[i].mAddress);
      core.mTenure.ApplyEpoch(EpochNumber(1),
                              core.mCoordinators,
                              core.mNow() - limits::kTakeoverDelay);
      core.mPermitAllocator = limits::PermitAllocator(i + 1);
      core.mLastSendId = i << 32U;
      core.mSendToEntry = [this, from = members[i].mAddress](
                            const Address& aTo, const PeerMessage& aMessage) {
        Deliver(from, aTo, aMessage);
      };
    });
  }
  mTicking = std::thread([this] { Tick(); });
}

// No entry may post to one that is destroyed already.
EntryGroup::~EntryGroup()
{
  mStopping = true;
  mTicking.join();
  for (const auto& entry : mEntries) {
    entry->OnRelay([&] {
      entry->Core().mSendToEntry = [](const Address&, const PeerMessage&) {};
    });
  }
}

void
EntryGroup::Add(const std::string& aName,
                const Address& aWhere,
                const std::string& aVersion)
{
  for (const auto& entry : mEntries) {
    entry->Add(aName, aWhere, aVersion);
  }
}

void
EntryGroup::Deliver(const Address& aFrom,
                    const Address& aTo,
                    const PeerMessage& aMessage)
{
  for (std::size_t i = 0; i < mEntries.size(); ++i) {
    if (mEntries[i]->PeerAddress() == aTo) {
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
  core.mOrigins.HandlePeerMessage(aFrom, aMessage);
  std::visit(
    Overloaded{
      [&](const LoadQuery& aQuery) { core.HandleLoadQuery(aFrom, aQuery); },
      [&](const LoadResponse& aResponse) {
        core.HandleLoadResponse(aResponse);
      },
      [&](const SendStartedReport& aReport) {
        core.HandleSendStarted(aReport);
      },
      [&](const PrefillDoneReport& aReport) {
        core.mCoordinator.Handle(aReport, now);
      },
      [&](const SendEndedReport& aReport) { core.HandleSendEnded(aReport); },
      [&](const limits::LimitReport& aReport) {
        core.HandleLimitReport(aReport);
      },
      [&](const limits::SendPermitRequest& aRequest) {
        core.HandleSendPermitRequest(aFrom, aRequest);
      },
      [&](const limits::SendPermitResponse& aResponse) {
        core.HandleSendPermitResponse(aFrom, aResponse);
      },
      [&](const limits::BrittleState& aState) {
        core.HandleBrittleReport(aState);
      },
      [&](const limits::SendPermitReturn& aReturn) {
        core.HandleSendPermitReturn(aFrom, aReturn);
      },
      [&](const limits::WithdrawalReport& aReport) {
        core.HandleWithdrawalReport(aReport);
      },
      [&](const routing::SlotRequest& aRequest) {
        core.HandleSlotRequest(aFrom, aRequest);
      },
      [&](const routing::SlotResponse& aResponse) {
        core.HandleSlotResponse(aFrom, aResponse);
      },
      [&](const routing::SlotReturn& aReturn) {
        core.HandleSlotReturn(aFrom, aReturn);
      },
      [](const auto&) {} },
    aMessage);
}

// Stands in for the control leader, which confirms each entry's epoch.
void
EntryGroup::Tick()
{
  while (!mStopping) {
    for (const auto& entry : mEntries) {
      entry->OnRelay([&] {
        entry->Core().mTenure.SetConfirmedAt(entry->Core().mNow());
        entry->Core().mContact.RecordConfirmation(entry->Core().mNow());
        entry->Core().TickPermits();
        entry->Core().TickSlots();
        entry->Core().mOrigins.Tick();
        entry->TickUpstreamPath();
      });
    }
    std::this_thread::sleep_for(kTick);
  }
}

} // namespace peridotspool::gateway
