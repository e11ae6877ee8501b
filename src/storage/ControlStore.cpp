#include "peridotspool/storage/ControlStore.h"

#include "peridotspool/wire/Codec.h"

namespace peridotspool::storage {

using control::PersistEffect;
using control::ReplicaIdentity;
using control::RestoredState;

namespace {

/** Puts the checkpoint and the writes after it together. */
bool
Replay(const FolderContents& aContents,
       RestoredState& aState,
       LastReason& aReason)
{
  if (aContents.mCheckpoint) {
    auto state = wire::Decode<RestoredState>(*aContents.mCheckpoint, aReason);
    if (!state) {
      return false;
    }
    aState = std::move(*state);
  }
  for (const std::string& record : aContents.mRecords) {
    const auto write = wire::Decode<PersistEffect>(record, aReason);
    if (!write) {
      return false;
    }
    ApplyPersist(aState, *write);
  }
  return true;
}

// Somebody may have removed one of the files, or put them together from two
// folders. A replica that then came up with its old identity and without its
// votes and entries would break promises that others build on.
bool
CheckIdentity(const FolderContents& aContents,
              const RestoredState& aState,
              LastReason& aReason)
{
  if (aContents.mIdentities.empty()) {
    return true;
  }
  for (const std::string& record : aContents.mIdentities) {
    const auto identity = wire::Decode<ReplicaIdentity>(record, aReason);
    if (identity && aState.mIdentity == identity) {
      return true;
    }
  }
  aReason.Set("the data folder's identity file and its journal do not belong "
              "together; start with an empty folder");
  return false;
}

} // namespace

ControlStore::ControlStore(std::optional<DataFolder> aFolder)
  : mFolder(std::move(aFolder))
{
}

std::optional<ControlStore>
ControlStore::Open(std::string aPath,
                   RestoredState& aState,
                   LastReason& aReason,
                   SyncFunction aSync)
{
  if (aPath.empty()) {
    aState = RestoredState{};
    return ControlStore(std::nullopt);
  }
  FolderContents contents;
  auto folder =
    DataFolder::Open(std::move(aPath), std::move(aSync), contents, aReason);
  if (!folder) {
    return std::nullopt;
  }
  ControlStore store(std::move(*folder));
  if (!Replay(contents, store.mOnDisk, aReason) ||
      !CheckIdentity(contents, store.mOnDisk, aReason) ||
      !store.TidyIdentityFile(contents, aReason)) {
    return std::nullopt;
  }
  aState = store.mOnDisk;
  return store;
}

bool
ControlStore::Initialise(std::string aPath,
                         const RestoredState& aState,
                         LastReason& aReason)
{
  RestoredState before;
  auto store = Open(std::move(aPath), before, aReason);
  if (!store) {
    return false;
  }
  if (before.mIdentity) {
    aReason.Set("the data folder belongs to replica " +
                std::to_string(before.mIdentity->mReplica.Value()) +
                " of a system already");
    return false;
  }
  PersistEffect write;
  write.mIdentity = aState.mIdentity;
  write.mSnapshot = aState.mSnapshot;
  write.mAppend = aState.mEntries;
  write.mVote = aState.mVote;
  return store->Write(write, aReason);
}

// What is known of the disk changes only after the disk has: a write that found
// no room is given again as it was.
bool
ControlStore::Write(const PersistEffect& aWrite, LastReason& aReason)
{
  if (!mFolder) {
    return true;
  }
  if (aWrite.mIdentity || aWrite.mSnapshot) {
    RestoredState after = mOnDisk;
    ApplyPersist(after, aWrite);
    if (!WriteCheckpoint(aWrite, after, aReason)) {
      return false;
    }
    mOnDisk = std::move(after);
    return true;
  }
  if (!mFolder->Append(wire::Encode(aWrite), aReason)) {
    return false;
  }
  ApplyPersist(mOnDisk, aWrite);
  return true;
}

bool
ControlStore::WriteCheckpoint(const PersistEffect& aWrite,
                              const RestoredState& aAfter,
                              LastReason& aReason)
{
  // Opening refuses a journal with an identity that the identity file doesn't
  // have. While the journal changes, the file has the old and the new one, so
  // the folder can be opened whenever the process ends. A first identity is
  // written after the journal: an identity without a journal is refused, and a
  // journal without an identity file isn't.
  const std::string identity =
    aWrite.mIdentity ? wire::Encode(*aWrite.mIdentity) : std::string();
  const bool replaces = aWrite.mIdentity && mOnDisk.mIdentity;
  if (replaces && !mFolder->AppendIdentity(identity, aReason)) {
    return false;
  }
  return mFolder->Checkpoint(wire::Encode(aAfter), aReason) &&
         (!aWrite.mIdentity || replaces ||
          mFolder->WriteIdentity(identity, aReason));
}

// Leaves the journal's identity alone in the file, which has others or none
// after an identity change. Only lack of room may prevent that: the next start
// tries again.
bool
ControlStore::TidyIdentityFile(const FolderContents& aContents,
                               LastReason& aReason)
{
  if (aContents.mIdentities.size() == 1 || !mOnDisk.mIdentity) {
    return true;
  }
  return mFolder->WriteIdentity(wire::Encode(*mOnDisk.mIdentity), aReason) ||
         mFolder->NoSpace();
}

} // namespace peridotspool::storage
