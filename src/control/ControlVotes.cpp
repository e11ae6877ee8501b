// Log events about elections. A group without a leader can be waiting for a
// message, a disk or a leader's lease. The events show which, because a promise
// is sent only once it has synced.

#include "control/ControlNodeState.h"

namespace peridotspool::control {

namespace {

std::string
Flag(const char* aName, bool aIsSet)
{
  return std::string(" ") + aName + "=" + (aIsSet ? "true" : "false");
}

std::string
TextOf(const char* aSide, ReplicaId aOther, Term aTerm, bool aPreVote)
{
  return std::string(aSide) + "=" + std::to_string(aOther.Value()) +
         " term=" + std::to_string(aTerm.Value()) + Flag("pre", aPreVote);
}

} // namespace

void
ControlNodeState::LogVoteSent(const SendReplicaEffect& aSend)
{
  if (const auto* request = std::get_if<VoteRequest>(&aSend.mMessage)) {
    Notice(ControlNotice::kVoteAsked,
           TextOf("of", aSend.mTo, request->mTerm, request->mPreVote));
  } else if (const auto* reply = std::get_if<VoteReply>(&aSend.mMessage)) {
    Notice(ControlNotice::kVoteAnswered,
           TextOf("to", aSend.mTo, reply->mTerm, reply->mPreVote) +
             Flag("granted", reply->mGranted) +
             Flag("restarted", reply->mRestarted));
  }
}

// A request without a reply was dropped because this replica has recently heard
// from a leader.
void
ControlNodeState::LogVoteReceived(ReplicaId aFrom,
                                  const ReplicaMessage& aMessage)
{
  if (const auto* request = std::get_if<VoteRequest>(&aMessage)) {
    Notice(ControlNotice::kVoteHeard,
           TextOf("from", aFrom, request->mTerm, request->mPreVote) +
             " last=" + std::to_string(request->mLastIndex.Value()));
  }
}

void
ControlNodeState::LogVoteSaved(const PersistEffect& aWrite)
{
  if (aWrite.mVote) {
    Notice(ControlNotice::kVoteSaved,
           "for=" + std::to_string(aWrite.mVote->mVotedFor.Value()) +
             " term=" + std::to_string(aWrite.mVote->mTerm.Value()) +
             " write=" + std::to_string(aWrite.mToken.Value()));
  }
}

} // namespace peridotspool::control
