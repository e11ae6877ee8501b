// ctest-labels: promise-state-survives
#include "peridotspool/storage/ControlStore.h"

#include "storage/TemporaryFolder.h"

#include <catch2/catch.hpp>

#include <cerrno>
#include <csignal>
#include <filesystem>
#include <sys/resource.h>
#include <unistd.h>

namespace peridotspool::storage {

using namespace control;

namespace {

RestoredState
First()
{
  return InitialState(SystemId(9),
                      ReplicaInfo{ .mId = {},
                                   .mName = ReplicaName("control-1"),
                                   .mDomain = FailureDomain("marousi"),
                                   .mAddress = { "127.0.0.1", 7000 },
                                   .mNonce = {},
                                   .mVoter = true });
}

PersistEffect
AppendEntries(std::uint64_t aFrom, std::uint64_t aTo)
{
  PersistEffect write;
  for (std::uint64_t index = aFrom; index <= aTo; ++index) {
    EditCommand edit;
    edit.mEdit = EditId("edit-" + std::to_string(index));
    edit.mDelta.mInserted = "a: " + std::to_string(index) + "\n";
    write.mAppend.push_back(
      { .mIndex = LogIndex(index), .mTerm = Term(1), .mCommand = edit });
  }
  return write;
}

/** Stands for a disk that takes no more bytes than this in any file. */
class FullDisk
{
public:
  explicit FullDisk(std::uint64_t aMost)
  {
    std::signal(SIGXFSZ, SIG_IGN);
    ::getrlimit(RLIMIT_FSIZE, &mBefore);
    const rlimit lower{ .rlim_cur = aMost, .rlim_max = mBefore.rlim_max };
    ::setrlimit(RLIMIT_FSIZE, &lower);
  }
  ~FullDisk() { ::setrlimit(RLIMIT_FSIZE, &mBefore); }
  FullDisk(const FullDisk&) = delete;
  FullDisk& operator=(const FullDisk&) = delete;

private:
  rlimit mBefore{};
};

/** Fails the sync with this number, counted from 1, and all after it. */
SyncFunction
FailFromSync(int aNumber, int& aSyncs)
{
  return [aNumber, &aSyncs](int aDescriptor) {
    if (++aSyncs >= aNumber) {
      errno = EIO;
      return -1;
    }
    return ::fsync(aDescriptor);
  };
}

RestoredState
Reopen(const std::string& aPath)
{
  RestoredState state;
  LastReason reason;
  const auto store = ControlStore::Open(aPath, state, reason);
  INFO(reason.Text());
  REQUIRE(store.has_value());
  return state;
}

} // namespace

TEST_CASE("WritesAreReadBackAsTheSameState")
{
  const TemporaryFolder folder;
  LastReason reason;
  RestoredState expected = First();
  REQUIRE(ControlStore::Initialise(folder.Path(), expected, reason));
  {
    RestoredState state;
    auto store = ControlStore::Open(folder.Path(), state, reason);
    REQUIRE(state == expected);
    PersistEffect vote;
    vote.mVote = VoteRecord{ .mTerm = Term(3), .mVotedFor = ReplicaId(2) };
    PersistEffect cut = AppendEntries(4, 6);
    cut.mCutFrom = LogIndex(4);
    PersistEffect compact;
    compact.mSnapshot = expected.mSnapshot;
    compact.mSnapshot->mIndex = LogIndex(3);
    compact.mSnapshot->mState.mSettings.mText = "a: 3\n";
    for (const PersistEffect& write :
         { AppendEntries(2, 5), vote, cut, compact, AppendEntries(7, 8) }) {
      REQUIRE(store->Write(write, reason));
      ApplyPersist(expected, write);
    }
  }
  CHECK(Reopen(folder.Path()) == expected);
}

TEST_CASE("WithoutAFolderNothingIsWrittenAndNothingComesBack")
{
  LastReason reason;
  RestoredState state;
  auto store = ControlStore::Open("", state, reason);
  REQUIRE(store);
  CHECK_FALSE(state.mIdentity);
  CHECK(store->Write(AppendEntries(1, 3), reason));
  CHECK(store->CutBytes() == 0);
  store = ControlStore::Open("", state, reason);
  CHECK(state == RestoredState{});
}

TEST_CASE("InitIsRefusedWhereASystemLivesAlready")
{
  const TemporaryFolder folder;
  LastReason reason;
  REQUIRE(ControlStore::Initialise(folder.Path(), First(), reason));
  CHECK_FALSE(ControlStore::Initialise(folder.Path(), First(), reason));
  CHECK(reason.Text().find("belongs to replica 1") != std::string::npos);
}

TEST_CASE("FolderIsUsedByOneProcessAtATime")
{
  const TemporaryFolder folder;
  LastReason reason;
  RestoredState state;
  const auto store = ControlStore::Open(folder.Path(), state, reason);
  REQUIRE(store.has_value());
  CHECK_FALSE(ControlStore::Open(folder.Path(), state, reason).has_value());
}

// Symptom: a replica comes back with its old identity and has forgotten its
// votes.
// Sequence: somebody removes the journal to "clean up" a full disk.
// Cause: identity and votes kept in files that are read one without the other.
TEST_CASE("IdentityWithoutItsJournalIsRefused")
{
  const TemporaryFolder folder;
  LastReason reason;
  REQUIRE(ControlStore::Initialise(folder.Path(), First(), reason));
  std::filesystem::remove(folder.Path() + "/journal-1");
  RestoredState state;
  CHECK_FALSE(ControlStore::Open(folder.Path(), state, reason).has_value());
  CHECK(reason.Text().find("do not belong together") != std::string::npos);
}

// Symptom: a replica doesn't start after a crash while it made a checkpoint.
// Sequence: the new journal is named, the old one not yet removed; or the new
// one is still under its temporary name.
TEST_CASE("CrashWhileACheckpointIsMadeLosesNothing")
{
  const TemporaryFolder folder;
  LastReason reason;
  REQUIRE(ControlStore::Initialise(folder.Path(), First(), reason));
  const std::string old = folder.Path() + "/journal-1";
  std::filesystem::copy_file(old, folder.Path() + "/journal-2.new");
  CHECK(Reopen(folder.Path()) == First());
  CHECK_FALSE(std::filesystem::exists(folder.Path() + "/journal-2.new"));
  std::filesystem::copy_file(old, folder.Path() + "/journal-2");
  CHECK(Reopen(folder.Path()) == First());
  CHECK_FALSE(std::filesystem::exists(old));
}

// Guards against a replica that can't start again because it ended while it
// took a new identity.
TEST_CASE("CrashWhileTheIdentityChangesLeavesAFolderThatOpens")
{
  PersistEffect change;
  change.mReset = true;
  change.mIdentity =
    ReplicaIdentity{ .mSystem = SystemId(9), .mReplica = ReplicaId(5) };
  RestoredState after = First();
  ApplyPersist(after, change);
  bool written = false;
  for (int failing = 1; !written; ++failing) {
    REQUIRE(failing < 20);
    const TemporaryFolder folder;
    LastReason reason;
    REQUIRE(ControlStore::Initialise(folder.Path(), First(), reason));
    {
      int syncs = 0;
      RestoredState state;
      auto store = ControlStore::Open(
        folder.Path(), state, reason, FailFromSync(failing, syncs));
      REQUIRE(store.has_value());
      written = store->Write(change, reason);
    }
    CAPTURE(failing);
    const RestoredState state = Reopen(folder.Path());
    CHECK((state == after || (!written && state == First())));
    CHECK(Reopen(folder.Path()) == state);
  }
}

// Guards against an identity change after which a removed journal, or one of
// an earlier identity, is taken for the folder's own.
TEST_CASE("JournalIsMissedAlsoAfterIdentitiesHaveChanged")
{
  const TemporaryFolder folder;
  LastReason reason;
  REQUIRE(ControlStore::Initialise(folder.Path(), First(), reason));
  const std::string old = folder.Path() + "/old";
  std::filesystem::copy_file(folder.Path() + "/journal-1", old);
  PersistEffect change;
  change.mReset = true;
  change.mIdentity =
    ReplicaIdentity{ .mSystem = SystemId(9), .mReplica = ReplicaId(5) };
  {
    RestoredState state;
    auto store = ControlStore::Open(folder.Path(), state, reason);
    REQUIRE(store.has_value());
    REQUIRE(store->Write(change, reason));
  }
  CHECK(Reopen(folder.Path()).mIdentity == change.mIdentity);
  const bool oldReturns = GENERATE(false, true);
  std::filesystem::remove(folder.Path() + "/journal-2");
  if (oldReturns) {
    std::filesystem::rename(old, folder.Path() + "/journal-1");
  }
  RestoredState state;
  CHECK_FALSE(ControlStore::Open(folder.Path(), state, reason).has_value());
  CHECK(reason.Text().find("do not belong together") != std::string::npos);
}

// Symptom: a replica whose disk is full ends again and again, each time with
// its elections and its callers' connections.
// Sequence: a record and a checkpoint find room for a part of them only; later
// there is room again.
// Cause: lack of room taken for a disk of which nothing is known any more.
TEST_CASE("AWriteThatFoundNoRoomMayBeTriedAgain")
{
  const TemporaryFolder folder;
  LastReason reason;
  RestoredState expected = First();
  REQUIRE(ControlStore::Initialise(folder.Path(), expected, reason));
  RestoredState state;
  auto store = ControlStore::Open(folder.Path(), state, reason);
  const auto bytes = std::filesystem::file_size(folder.Path() + "/journal-1");
  const PersistEffect append = AppendEntries(2, 5);
  PersistEffect compact;
  compact.mSnapshot = expected.mSnapshot;
  compact.mSnapshot->mIndex = LogIndex(3);
  {
    const FullDisk full(bytes + 7);
    for (int i = 0; i < 3; ++i) {
      CHECK_FALSE(store->Write(append, reason));
      CHECK(store->MayTryAgain());
    }
  }
  REQUIRE(store->Write(append, reason));
  {
    const FullDisk full(20);
    CHECK_FALSE(store->Write(compact, reason));
    CHECK(store->MayTryAgain());
  }
  REQUIRE(store->Write(compact, reason));
  REQUIRE(store->Write(AppendEntries(6, 7), reason));
  store.reset();
  for (const PersistEffect& write : { append, compact, AppendEntries(6, 7) }) {
    ApplyPersist(expected, write);
  }
  CHECK(Reopen(folder.Path()) == expected);
}

} // namespace peridotspool::storage
