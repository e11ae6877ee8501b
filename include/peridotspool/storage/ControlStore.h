#pragma once

#include "peridotspool/control/PersistEffect.h"
#include "peridotspool/storage/DataFolder.h"

#include <optional>
#include <string>

namespace peridotspool::storage {

/**
 * A control replica's state on disk. Blocking; for one thread: the host's disk
 * thread carries PersistEffects out in order and reports their tokens.
 */
class ControlStore
{
public:
  /**
   * Opens the folder and returns what was synced in it. Without a path nothing
   * is written: the state ends with the process.
   */
  static std::optional<ControlStore> Open(std::string aPath,
                                          control::RestoredState& aState,
                                          LastReason& aReason,
                                          SyncFunction aSync = {});

  /**
   * Writes the first state of a new system (see control::InitialState) into an
   * empty folder; refused when the folder holds anything.
   */
  static bool Initialise(std::string aPath,
                         const control::RestoredState& aState,
                         LastReason& aReason);

  /**
   * Writes one effect and syncs it. After a failure for which it may not be
   * tried again the process must stop: it can't know what is on the disk.
   */
  bool Write(const control::PersistEffect& aWrite, LastReason& aReason);
  /**
   * Returns true iff the last Write found no room and left all as it was: the
   * same effect may be written again.
   */
  bool MayTryAgain() const { return mFolder && mFolder->NoSpace(); }

  /** Bytes cut off as a torn tail when the folder was opened. */
  std::uint64_t CutBytes() const { return mFolder ? mFolder->CutBytes() : 0; }

private:
  explicit ControlStore(std::optional<DataFolder> aFolder);
  bool WriteCheckpoint(const control::PersistEffect& aWrite,
                       const control::RestoredState& aAfter,
                       LastReason& aReason);
  bool TidyIdentityFile(const FolderContents& aContents, LastReason& aReason);

  /** Unset where nothing outlives the process. */
  std::optional<DataFolder> mFolder;
  /** The state on disk; needed for checkpoints. */
  control::RestoredState mOnDisk;
};

} // namespace peridotspool::storage
