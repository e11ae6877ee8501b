#pragma once

#include "peridotspool/base/LastReason.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peridotspool::storage {

/** Replaced by tests to make syncs fail; the default is fdatasync. */
using SyncFunction = std::function<int(int aDescriptor)>;

/**
 * An append-only file of checksummed records.
 *
 * A record counts once Sync has returned true. A torn tail, which a crash
 * leaves behind, is cut when the file is opened. A damaged record with a whole
 * one behind it was once synced: opening is refused. After a failed write or
 * sync the object refuses everything, but for a write that found no room: that
 * one leaves the file as it was.
 */
class RecordFile
{
public:
  /** Opens or makes the file, and hands over the records that it holds. */
  static std::optional<RecordFile> Open(std::string aPath,
                                        SyncFunction aSync,
                                        std::vector<std::string>& aRecords,
                                        LastReason& aReason);

  RecordFile(RecordFile&& aOther) noexcept;
  RecordFile& operator=(RecordFile&& aOther) noexcept;
  RecordFile(const RecordFile&) = delete;
  RecordFile& operator=(const RecordFile&) = delete;
  ~RecordFile();

  bool Append(std::string_view aPayload, LastReason& aReason);
  bool Sync(LastReason& aReason);
  /** The last Append failed for lack of room only; it may be tried again. */
  bool NoSpace() const { return mNoSpace; }

  std::uint64_t Bytes() const { return mBytes; }
  /** Bytes that opening has cut off as a torn tail. */
  std::uint64_t CutBytes() const { return mCutBytes; }

private:
  RecordFile(std::string aPath, int aDescriptor, SyncFunction aSync);
  bool CutBack();
  bool Recover(std::vector<std::string>& aRecords, LastReason& aReason);

  std::string mPath;
  int mDescriptor = -1;
  SyncFunction mSync;
  std::uint64_t mNextNumber = 1;
  std::uint64_t mBytes = 0;
  std::uint64_t mCutBytes = 0;
  bool mFailed = false;
  bool mNoSpace = false;
};

} // namespace peridotspool::storage
