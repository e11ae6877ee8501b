#include "peridotspool/storage/RecordFile.h"

#include "storage/FileCalls.h"
#include "storage/RecordFormat.h"

#include <fcntl.h>
#include <unistd.h>
#include <utility>

namespace peridotspool::storage {

RecordFile::RecordFile(std::string aPath, int aDescriptor, SyncFunction aSync)
  : mPath(std::move(aPath))
  , mDescriptor(aDescriptor)
  , mSync(std::move(aSync))
{
}

RecordFile::RecordFile(RecordFile&& aOther) noexcept
{
  *this = std::move(aOther);
}

RecordFile&
RecordFile::operator=(RecordFile&& aOther) noexcept
{
  std::swap(mPath, aOther.mPath);
  std::swap(mDescriptor, aOther.mDescriptor);
  std::swap(mSync, aOther.mSync);
  std::swap(mNextNumber, aOther.mNextNumber);
  std::swap(mBytes, aOther.mBytes);
  std::swap(mCutBytes, aOther.mCutBytes);
  std::swap(mFailed, aOther.mFailed);
  std::swap(mNoSpace, aOther.mNoSpace);
  return *this;
}

RecordFile::~RecordFile()
{
  if (mDescriptor >= 0) {
    ::close(mDescriptor);
  }
}

std::optional<RecordFile>
RecordFile::Open(std::string aPath,
                 SyncFunction aSync,
                 std::vector<std::string>& aRecords,
                 LastReason& aReason)
{
  constexpr mode_t kOwnerOnly = 0600;
  const int descriptor =
    ::open(aPath.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kOwnerOnly);
  if (descriptor < 0) {
    aReason.Set(CallFailure("open", aPath));
    return std::nullopt;
  }
  RecordFile file(std::move(aPath), descriptor, std::move(aSync));
  if (!file.Recover(aRecords, aReason)) {
    return std::nullopt;
  }
  return file;
}

bool
RecordFile::Recover(std::vector<std::string>& aRecords, LastReason& aReason)
{
  const auto bytes = ReadWhole(mDescriptor, mPath, aReason);
  if (!bytes) {
    return false;
  }
  const ScanResult scan = ScanRecords(*bytes, aRecords);
  // A whole record behind a damaged one was written after it was synced, so
  // the damaged one was acknowledged. Cutting there would quietly lose a
  // committed entry or a vote.
  if (scan.mWholeAfter) {
    aReason.Set(mPath + ": record " + std::to_string(scan.mNextNumber) +
                " at byte " + std::to_string(scan.mGoodBytes) +
                " is damaged, and a whole record follows at byte " +
                std::to_string(*scan.mWholeAfter) +
                "; restore the disk or start with an empty folder");
    return false;
  }
  mCutBytes = bytes->size() - scan.mGoodBytes;
  mBytes = scan.mGoodBytes;
  mNextNumber = scan.mNextNumber;
  const auto end = static_cast<off_t>(scan.mGoodBytes);
  if (mCutBytes > 0 && ::ftruncate(mDescriptor, end) != 0) {
    aReason.Set(CallFailure("ftruncate", mPath));
    return false;
  }
  if (::lseek(mDescriptor, end, SEEK_SET) != end) {
    aReason.Set(CallFailure("lseek", mPath));
    return false;
  }
  return mCutBytes == 0 || Sync(aReason);
}

bool
RecordFile::Append(std::string_view aPayload, LastReason& aReason)
{
  if (mFailed) {
    aReason.Set(mPath + ": failed before");
    return false;
  }
  const std::string record = MakeRecord(mNextNumber, aPayload);
  const WriteOutcome outcome = WriteWhole(mDescriptor, record, mPath, aReason);
  if (outcome != WriteOutcome::kWritten) {
    mNoSpace = outcome == WriteOutcome::kNoSpace && CutBack();
    mFailed = !mNoSpace;
    return false;
  }
  mNoSpace = false;
  ++mNextNumber;
  mBytes += record.size();
  return true;
}

// A disk takes as much of a record as there is room for. The next record would
// follow that part, and opening would take it for damage.
bool
RecordFile::CutBack()
{
  const auto end = static_cast<off_t>(mBytes);
  return ::ftruncate(mDescriptor, end) == 0 &&
         ::lseek(mDescriptor, end, SEEK_SET) == end;
}

// After a failed sync the kernel may drop the unwritten pages and report the
// next sync as good. Trying again would acknowledge what is not on the disk.
bool
RecordFile::Sync(LastReason& aReason)
{
  if (mFailed) {
    aReason.Set(mPath + ": failed before");
    return false;
  }
  const int outcome = mSync ? mSync(mDescriptor) : ::fdatasync(mDescriptor);
  if (outcome != 0) {
    mFailed = true;
    aReason.Set(CallFailure("fdatasync", mPath));
    return false;
  }
  return true;
}

} // namespace peridotspool::storage
