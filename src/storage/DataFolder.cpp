#include "peridotspool/storage/DataFolder.h"

#include "storage/FileCalls.h"
#include "storage/RecordFormat.h"

#include <algorithm>
#include <charconv>
#include <fcntl.h>
#include <filesystem>
#include <sys/file.h>
#include <unistd.h>
#include <utility>

namespace peridotspool::storage {

namespace {

constexpr std::string_view kIdentityName = "identity";
constexpr std::string_view kJournalPrefix = "journal-";
constexpr mode_t kOwnerOnly = 0600;

/** Returns the number in a journal's name, or empty for another file. */
std::optional<std::uint64_t>
JournalNumber(const std::string& aName)
{
  if (!aName.starts_with(kJournalPrefix)) {
    return std::nullopt;
  }
  std::uint64_t number = 0;
  const char* end = aName.data() + aName.size();
  const auto parsed =
    std::from_chars(aName.data() + kJournalPrefix.size(), end, number);
  return parsed.ptr == end && parsed.ec == std::errc() ? std::optional(number)
                                                       : std::nullopt;
}

std::vector<std::uint64_t>
JournalNumbers(const std::string& aFolder)
{
  std::vector<std::uint64_t> numbers;
  std::error_code error;
  for (const auto& entry :
       std::filesystem::directory_iterator(aFolder, error)) {
    if (const auto number = JournalNumber(entry.path().filename().string())) {
      numbers.push_back(*number);
    }
  }
  std::sort(numbers.begin(), numbers.end());
  return numbers;
}

// A process that ended while it wrote a file left a part of it, which may be as
// large as a journal and would take its room from the next one.
void
RemoveUnfinished(const std::string& aFolder)
{
  std::error_code error;
  for (const auto& entry :
       std::filesystem::directory_iterator(aFolder, error)) {
    if (entry.path().extension() == kUnfinishedSuffix) {
      std::error_code ignored;
      std::filesystem::remove(entry.path(), ignored);
    }
  }
}

std::optional<int>
TakeLock(const std::string& aFolder, LastReason& aReason)
{
  const std::string path = aFolder + "/lock";
  const int lock =
    ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kOwnerOnly);
  if (lock < 0) {
    aReason.Set(CallFailure("open", path));
    return std::nullopt;
  }
  if (::flock(lock, LOCK_EX | LOCK_NB) != 0) {
    aReason.Set(aFolder + ": another process uses this data folder");
    ::close(lock);
    return std::nullopt;
  }
  return lock;
}

/**
 * An identity is a checksummed record, so that damage is noticed. A torn tail
 * is an identity whose write had not completed.
 */
bool
ReadIdentities(const std::string& aFolder,
               FolderContents& aContents,
               LastReason& aReason)
{
  const std::string path = aFolder + "/" + std::string(kIdentityName);
  const int descriptor = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
  if (descriptor < 0 && errno == ENOENT) {
    return true;
  }
  if (descriptor < 0) {
    aReason.Set(CallFailure("open", path));
    return false;
  }
  const auto bytes = ReadWhole(descriptor, path, aReason);
  ::close(descriptor);
  if (!bytes) {
    return false;
  }
  const ScanResult scan = ScanRecords(*bytes, aContents.mIdentities);
  if (aContents.mIdentities.empty() || scan.mWholeAfter) {
    aReason.Set(path + ": is damaged; start with an empty folder");
    return false;
  }
  return true;
}

} // namespace

DataFolder::DataFolder(std::string aPath, int aLock, SyncFunction aSync)
  : mPath(std::move(aPath))
  , mLock(aLock)
  , mSync(std::move(aSync))
{
}

DataFolder::DataFolder(DataFolder&& aOther) noexcept
{
  *this = std::move(aOther);
}

DataFolder&
DataFolder::operator=(DataFolder&& aOther) noexcept
{
  std::swap(mPath, aOther.mPath);
  std::swap(mLock, aOther.mLock);
  std::swap(mSync, aOther.mSync);
  std::swap(mJournalNumber, aOther.mJournalNumber);
  std::swap(mJournal, aOther.mJournal);
  std::swap(mCutBytes, aOther.mCutBytes);
  std::swap(mFailed, aOther.mFailed);
  std::swap(mNoSpace, aOther.mNoSpace);
  return *this;
}

DataFolder::~DataFolder()
{
  if (mLock >= 0) {
    ::close(mLock);
  }
}

std::optional<DataFolder>
DataFolder::Open(std::string aPath,
                 SyncFunction aSync,
                 FolderContents& aContents,
                 LastReason& aReason)
{
  std::error_code error;
  std::filesystem::create_directories(aPath, error);
  if (error) {
    aReason.Set(aPath + ": " + error.message());
    return std::nullopt;
  }
  const auto lock = TakeLock(aPath, aReason);
  if (!lock) {
    return std::nullopt;
  }
  RemoveUnfinished(aPath);
  DataFolder folder(std::move(aPath), *lock, std::move(aSync));
  if (!ReadIdentities(folder.mPath, aContents, aReason) ||
      !folder.OpenNewestJournal(aContents, aReason)) {
    return std::nullopt;
  }
  return folder;
}

std::string
DataFolder::JournalPath(std::uint64_t aNumber) const
{
  return mPath + "/" + std::string(kJournalPrefix) + std::to_string(aNumber);
}

// A journal gets its name only once its checkpoint is synced, so the newest
// name is always a whole journal, and older ones are left-overs of a crash
// between naming the new one and removing the old one.
bool
DataFolder::OpenNewestJournal(FolderContents& aContents, LastReason& aReason)
{
  const std::vector<std::uint64_t> numbers = JournalNumbers(mPath);
  if (numbers.empty()) {
    return true;
  }
  mJournalNumber = numbers.back();
  mJournal = RecordFile::Open(
    JournalPath(mJournalNumber), mSync, aContents.mRecords, aReason);
  if (!mJournal) {
    return false;
  }
  if (aContents.mRecords.empty()) {
    aReason.Set(JournalPath(mJournalNumber) +
                ": its checkpoint is damaged; start with an empty folder");
    return false;
  }
  aContents.mCheckpoint = std::move(aContents.mRecords.front());
  aContents.mRecords.erase(aContents.mRecords.begin());
  mCutBytes = mJournal->CutBytes();
  for (const std::uint64_t number : numbers) {
    if (number != mJournalNumber) {
      std::error_code ignored;
      std::filesystem::remove(JournalPath(number), ignored);
    }
  }
  return true;
}

bool
DataFolder::WriteFile(const std::string& aName,
                      std::string_view aBytes,
                      LastReason& aReason)
{
  const WriteOutcome outcome =
    WriteAtomically(mPath, aName, MakeRecord(1, aBytes), mSync, aReason);
  mNoSpace = outcome == WriteOutcome::kNoSpace;
  mFailed = mFailed || outcome == WriteOutcome::kFailed;
  return outcome == WriteOutcome::kWritten;
}

bool
DataFolder::WriteIdentity(std::string_view aBytes, LastReason& aReason)
{
  return WriteFile(std::string(kIdentityName), aBytes, aReason);
}

bool
DataFolder::AppendIdentity(std::string_view aBytes, LastReason& aReason)
{
  std::vector<std::string> records;
  auto file = RecordFile::Open(
    mPath + "/" + std::string(kIdentityName), mSync, records, aReason);
  // A change of identity that found no room later is tried again as a whole.
  const bool listed = !records.empty() && records.back() == aBytes;
  const bool written =
    file && (listed || file->Append(aBytes, aReason)) && file->Sync(aReason);
  mNoSpace = file && file->NoSpace();
  mFailed = mFailed || (!written && !mNoSpace);
  return written;
}

bool
DataFolder::Append(std::string_view aRecord, LastReason& aReason)
{
  mNoSpace = false;
  if (mFailed || !mJournal) {
    aReason.Set(mPath + ": has no usable journal");
    return false;
  }
  if (!mJournal->Append(aRecord, aReason)) {
    mNoSpace = mJournal->NoSpace();
    mFailed = !mNoSpace;
    return false;
  }
  mFailed = !mJournal->Sync(aReason);
  return !mFailed;
}

bool
DataFolder::Checkpoint(std::string_view aBytes, LastReason& aReason)
{
  mNoSpace = false;
  if (mFailed) {
    aReason.Set(mPath + ": failed before");
    return false;
  }
  const std::uint64_t number = mJournalNumber + 1;
  const std::string name = std::string(kJournalPrefix) + std::to_string(number);
  std::vector<std::string> records;
  if (!WriteFile(name, aBytes, aReason)) {
    return false;
  }
  mJournal = RecordFile::Open(JournalPath(number), mSync, records, aReason);
  mFailed = !mJournal;
  if (!mFailed && mJournalNumber > 0) {
    std::error_code ignored;
    std::filesystem::remove(JournalPath(mJournalNumber), ignored);
  }
  mJournalNumber = number;
  return !mFailed;
}

std::uint64_t
DataFolder::JournalBytes() const
{
  return mJournal ? mJournal->Bytes() : 0;
}

} // namespace peridotspool::storage
