#include "ledger/LedgerState.h"

#include "ledger/MessageCheck.h"
#include "peridotspool/base/Overloaded.h"

#include <utility>

namespace peridotspool::ledger {

LedgerState::LedgerState(MemberId aSelf, LedgerOptions aOptions)
  : mContext(aSelf, aOptions)
  , mPrimary(mContext,
             [this](CallId aCall, const OperationAnswer& aAnswer) {
               mCalls.OnAnswer(aCall, aAnswer);
             })
  , mTransfer(mContext)
  , mReplica(mContext)
  , mPeering(mContext, mPrimary, mTransfer)
  , mCalls(mContext, mPrimary)
{
}

Effects
LedgerState::Step(const Event& aEvent, TimePoint aNow)
{
  mContext.mNow = aNow;
  std::visit([this](const auto& aKind) { On(aKind); }, aEvent);
  mContext.mOutbox.Flush(mContext.mEpoch, mContext.mEffects);
  return std::exchange(mContext.mEffects, Effects());
}

LedgerCounters
LedgerState::Counters() const
{
  LedgerCounters counters = mContext.mCounters;
  counters.mHeldBytes = mContext.mHeldBytes;
  for (const Shard& shard : mContext.mShards) {
    counters.mHeldShards += shard.HoldsCopy() ? 1 : 0;
    counters.mServedShards += shard.mServing ? 1 : 0;
    counters.mHeldRecords += shard.mStore.All().size();
  }
  return counters;
}

void
LedgerState::On(const EpochChangedEvent& aEvent)
{
  // A delayed or resent older list must not replace a newer one.
  if (aEvent.mMap.mEpoch > mContext.mEpoch) {
    mPeering.OnEpoch(aEvent.mMap);
    mCalls.OnEpoch();
  }
}

void
LedgerState::On(const MessageEvent& aEvent)
{
  // A former member may resume and send queued messages. Its answers about
  // earlier commits are still valid; its other messages are ignored.
  const bool isAnswer = std::holds_alternative<AnswerMessage>(aEvent.mMessage);
  const bool counts = mContext.IsMember(aEvent.mFrom) || isAnswer;
  if (counts && NamesKnownShards(aEvent.mMessage)) {
    OnMessage(aEvent.mFrom, aEvent.mMessage);
  }
}

void
LedgerState::On(const ProposeEvent& aEvent)
{
  mCalls.OnPropose(aEvent);
}

void
LedgerState::On(const TickEvent& /*aEvent*/)
{
  for (Shard& shard : mContext.mShards) {
    mPeering.OnTick(shard);
    mTransfer.OnTick(shard);
    mPrimary.OnTick(shard);
  }
  mCalls.OnTick();
}

void
LedgerState::OnMessage(MemberId aFrom, const Message& aMessage)
{
  std::visit(
    Overloaded{
      [&](const ProposeMessage& aPropose) {
        mPrimary.Propose(
          mContext.ShardAt(ShardOf(aPropose.mKey)),
          { .mOrigin = { .mMember = aFrom, .mCall = aPropose.mCall },
            .mKey = aPropose.mKey,
            .mOperation = aPropose.mOperation });
      },
      [&](const AnswerMessage& aAnswer) {
        mCalls.OnAnswer(aAnswer.mCall, aAnswer.mAnswer);
      },
      [&](const ReplicateMessage& aKind) {
        mReplica.OnReplicate(aFrom, aKind);
      },
      [&](const AckMessage& aKind) { mPrimary.OnAck(aFrom, aKind); },
      [&](const QueryMessage& aKind) { mPeering.OnQuery(aFrom, aKind); },
      [&](const ReportMessage& aKind) { mPeering.OnReport(aFrom, aKind); },
      [&](const ActivateMessage& aKind) { mPeering.OnActivate(aFrom, aKind); },
      [&](const ActivatedMessage& aKind) {
        mPeering.OnActivated(aFrom, aKind);
      },
      [&](const RefusedMessage& aKind) { mPeering.OnRefused(aKind); },
      [&](const ReleaseMessage& aKind) { mPeering.OnRelease(aFrom, aKind); },
      [&](const PullMessage& aKind) { mTransfer.OnPull(aFrom, aKind); },
      [&](const ChunkMessage& aKind) {
        if (mTransfer.OnChunk(aFrom, aKind)) {
          mPeering.OnFilled(mContext.ShardAt(aKind.mShard));
        }
      } },
    aMessage);
}

Ledger::Ledger(MemberId aSelf, LedgerOptions aOptions)
  : mState(std::make_unique<LedgerState>(aSelf, aOptions))
{
}

Ledger::~Ledger() = default;
Ledger::Ledger(Ledger&&) noexcept = default;
Ledger&
Ledger::operator=(Ledger&&) noexcept = default;

Effects
Ledger::Step(const Event& aEvent, TimePoint aNow)
{
  return mState->Step(aEvent, aNow);
}

LedgerCounters
Ledger::Counters() const
{
  return mState->Counters();
}

} // namespace peridotspool::ledger
