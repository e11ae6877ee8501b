#pragma once

#include "peridotspool/base/LastReason.h"
#include "peridotspool/storage/RecordFile.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peridotspool::storage {

/** What a data folder held when it was opened. */
struct FolderContents
{
  /** The identity file's records, newest last; empty when there is no file. */
  std::vector<std::string> mIdentities;
  /** The first record: the newest checkpoint; then the records after it. */
  std::optional<std::string> mCheckpoint;
  std::vector<std::string> mRecords;
};

/**
 * A replica's files under one folder: a file of identities, of which the
 * journal has one, and a journal that starts with a checkpoint and goes on with
 * appended records. A new checkpoint starts a new journal file and drops the
 * old one.
 *
 * All is synced, with the folder, before a call returns true. One process uses
 * a folder at a time (a lock file). Blocking; for one thread.
 */
class DataFolder
{
public:
  static std::optional<DataFolder> Open(std::string aPath,
                                        SyncFunction aSync,
                                        FolderContents& aContents,
                                        LastReason& aReason);

  DataFolder(DataFolder&& aOther) noexcept;
  DataFolder& operator=(DataFolder&& aOther) noexcept;
  DataFolder(const DataFolder&) = delete;
  DataFolder& operator=(const DataFolder&) = delete;
  ~DataFolder();

  /** Replaces all identities of the file by this one. */
  bool WriteIdentity(std::string_view aBytes, LastReason& aReason);
  /** Adds an identity behind the ones that the file has, and syncs it. */
  bool AppendIdentity(std::string_view aBytes, LastReason& aReason);
  /** Appends a record and syncs it. */
  bool Append(std::string_view aRecord, LastReason& aReason);
  bool Checkpoint(std::string_view aBytes, LastReason& aReason);
  /** The last write failed for lack of room only; it may be tried again. */
  bool NoSpace() const { return mNoSpace; }

  /** Bytes of the journal since its checkpoint, with it. */
  std::uint64_t JournalBytes() const;
  std::uint64_t CutBytes() const { return mCutBytes; }

private:
  DataFolder(std::string aPath, int aLock, SyncFunction aSync);
  std::string JournalPath(std::uint64_t aNumber) const;
  bool WriteFile(const std::string& aName,
                 std::string_view aBytes,
                 LastReason& aReason);
  bool OpenNewestJournal(FolderContents& aContents, LastReason& aReason);

  std::string mPath;
  int mLock = -1;
  SyncFunction mSync;
  std::uint64_t mJournalNumber = 0;
  std::optional<RecordFile> mJournal;
  std::uint64_t mCutBytes = 0;
  bool mFailed = false;
  bool mNoSpace = false;
};

} // namespace peridotspool::storage
