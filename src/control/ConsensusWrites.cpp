// Delays messages until the writes they depend on have synced.

#include "control/EncodedSize.h"
#include "peridotspool/base/Overloaded.h"
#include "peridotspool/control/Consensus.h"

namespace peridotspool::control {

PersistEffect&
Consensus::Write()
{
  return mWrite;
}

void
Consensus::Send(ReplicaId aTo, ReplicaMessage aMessage)
{
  mEffects.emplace_back(SendReplicaEffect{ aTo, std::move(aMessage) });
}

// A promise (a vote or an acknowledged entry) sent before its sync could be
// lost in a crash while others rely on it, which would allow two leaders in one
// term or lose a committed edit. Promises therefore wait for the latest write.
void
Consensus::SendAfterSync(ReplicaId aTo, ReplicaMessage aMessage)
{
  const SyncToken token = mWrite.IsEmpty() ? mLastToken : mLastToken.Next();
  mMessagesAwaitingSync.push_back(
    { token, SendReplicaEffect{ aTo, std::move(aMessage) } });
}

void
Consensus::FlushWrites()
{
  if (mWrite.IsEmpty()) {
    return;
  }
  mLastToken = mLastToken.Next();
  mWrite.mToken = mLastToken;
  const bool ownVote = mWrite.mVote && mWrite.mVote->mVotedFor == mSelf;
  mPendingSyncs.push_back({ .mToken = mLastToken,
                            .mLastIndex = mLog.LastIndex(),
                            .mTerm = mVote.mTerm,
                            .mOwnVote = ownVote,
                            .mBytes = EncodedSize(mWrite) });
  mEffects.emplace_back(std::exchange(mWrite, {}));
}

void
Consensus::ReleaseHeld()
{
  while (!mMessagesAwaitingSync.empty() &&
         mMessagesAwaitingSync.front().mToken <= mSyncedToken) {
    MessageAwaitingSync held = std::move(mMessagesAwaitingSync.front());
    mMessagesAwaitingSync.pop_front();
    const auto termOf = Overloaded{
      [](const VoteRequest& aMessage) { return aMessage.mTerm; },
      [](const VoteReply& aMessage) { return aMessage.mTerm; },
      [](const AppendReply& aMessage) { return aMessage.mTerm; },
      [this](const auto&) { return mVote.mTerm; },
    };
    // A promise to the leader of an older term is void once a newer term is
    // known.
    if (std::visit(termOf, held.mSend.mMessage) == mVote.mTerm) {
      mEffects.emplace_back(std::move(held.mSend));
    }
  }
}

} // namespace peridotspool::control
