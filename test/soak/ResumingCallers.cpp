#include "soak/ResumingCallers.h"

#include "soak/SoakWire.h"

#include <optional>
#include <utility>

namespace peridotspool::soak {

namespace {

constexpr Ms kPause{ 30 };
constexpr Ms kDeadline{ 3500 };
constexpr Ms kSilence{ 2000 };
constexpr int kTries = 3;

int
AnyEntry(std::mt19937_64& aRandom)
{
  return 1 + static_cast<int>(aRandom() % kMachines);
}

/** Removes the text up to the mark, and returns it; empty without the mark. */
std::optional<std::string>
TakeTo(std::string& aText, const std::string& aMark)
{
  const std::size_t end = aText.find(aMark);
  if (end == std::string::npos) {
    return std::nullopt;
  }
  std::string taken = aText.substr(0, end + 1);
  aText.erase(0, end + aMark.size());
  return taken;
}

std::string
FieldIn(const std::string& aEvent, const std::string& aName)
{
  const std::size_t place = aEvent.find(aName + ": ");
  if (place == std::string::npos) {
    return {};
  }
  const std::size_t from = place + aName.size() + 2;
  return aEvent.substr(from, aEvent.find('\n', from) - from);
}

} // namespace

ResumingCallers::ResumingCallers(Options aOptions)
  : mOptions(std::move(aOptions))
{
  for (int number = 0; number < mOptions.mCount; ++number) {
    mThreads.emplace_back([this, number] { Repeat(number); });
  }
}

ResumingCallers::~ResumingCallers()
{
  mRunning = false;
  for (std::thread& thread : mThreads) {
    thread.join();
  }
}

ResumeCounts
ResumingCallers::Counts() const
{
  const std::lock_guard lock(mMutex);
  return mCounts;
}

template<typename Step>
void
ResumingCallers::Count(Step aStep)
{
  const std::lock_guard lock(mMutex);
  aStep(mCounts);
}

void
ResumingCallers::Repeat(int aCaller)
{
  std::mt19937_64 random(mOptions.mSeed * 1000 +
                         static_cast<std::uint64_t>(aCaller));
  for (int sent = 0; mRunning; ++sent) {
    const std::string name =
      "s" + std::to_string(aCaller) + "-" + std::to_string(sent);
    PlayStream(random, name);
    if (sent % 8 == 0) {
      TakeUpForged(random, name);
    }
    std::this_thread::sleep_for(kPause);
  }
}

void
ResumingCallers::PlayStream(std::mt19937_64& aRandom, const std::string& aName)
{
  Progress stream{ .mName = aName };
  const int entry = AnyEntry(aRandom);
  const bool isInTouch = mOptions.mIsInTouch(entry);
  // Events come 25 ms apart: most streams are dropped in their middle.
  const Ms patience(60 + static_cast<int>(aRandom() % 300));
  const bool begun = Receive(entry, aName, "", patience, stream);
  if (isInTouch) {
    Count([&](ResumeCounts& aCounts) {
      ++aCounts.mSent;
      aCounts.mBegun += begun ? 1 : 0;
    });
  }
  for (int i = 1; i <= kTries && begun && !stream.mIsWhole; ++i) {
    TakeUp(aRandom, stream, i);
  }
  if (!stream.mFault.empty() || stream.mVersions.size() > 1) {
    std::string text = "stream " + aName + ": " + stream.mFault + " of";
    for (const std::string& version : stream.mVersions) {
      text += " " + version;
    }
    Count([&](ResumeCounts& aCounts) { aCounts.mBroken.push_back(text); });
  }
}

void
ResumingCallers::TakeUp(std::mt19937_64& aRandom, Progress& aStream, int aTry)
{
  std::this_thread::sleep_for(Ms(aRandom() % 400));
  const int entry = AnyEntry(aRandom);
  const auto isServed = [&] {
    return mOptions.mIsInTouch(entry) &&
           mOptions.mIsServed(*aStream.mVersions.begin());
  };
  const bool wasServed = isServed();
  const bool goesOn = Receive(entry,
                              aStream.mName + "-" + std::to_string(aTry),
                              aStream.mName,
                              kDeadline,
                              aStream);
  const bool isOwed = wasServed && isServed();
  Count([&](ResumeCounts& aCounts) {
    aCounts.mAsked += isOwed ? 1 : 0;
    aCounts.mResumed += isOwed && goesOn ? 1 : 0;
    if (isOwed && !goesOn) {
      ++aCounts.mReasons[aStream.mRefusal];
    }
    aCounts.mResumedAtAll += goesOn ? 1 : 0;
  });
}

void
ResumingCallers::TakeUpForged(std::mt19937_64& aRandom,
                              const std::string& aName)
{
  Progress forged{ .mName = "none", .mLast = 3 };
  const bool served = Receive(
    AnyEntry(aRandom), "f-" + aName, "forged-" + aName, kDeadline, forged);
  Count(
    [&](ResumeCounts& aCounts) { aCounts.mForgedServed += served ? 1 : 0; });
}

bool
ResumingCallers::Receive(int aEntry,
                         const std::string& aId,
                         const std::string& aResumes,
                         Ms aPatience,
                         Progress& aStream) const
{
  std::string fields =
    "Peridotspool-Request-Id: " + aId +
    "\r\nPeridotspool-Deadline-Ms: " + std::to_string(kDeadline.count()) +
    "\r\n";
  if (!aResumes.empty()) {
    fields += "Resumes: " + aResumes +
              "\r\nLast-Event-Id: " + std::to_string(aStream.mLast) + "\r\n";
  }
  auto wire = Wire::Connect(mOptions.mPlaces.Own(aEntry), kCallerPort, Ms(400));
  if (!wire ||
      !wire->Send(RequestText(
        "POST", std::string("/") + NameOf(Kind::kResume) + "/x", fields, ""))) {
    aStream.mRefusal = "no connection";
    return false;
  }
  HttpText answer = wire->ReadAnswer(aPatience, kSilence);
  aStream.mRefusal = std::to_string(answer.mStatus) + " " + answer.mBody;
  if (answer.mStatus != 200) {
    return false;
  }
  bool hasEvent = false;
  while (const auto event = TakeTo(answer.mBody, "\n\n")) {
    const int number = std::stoi("0" + FieldIn(*event, "id"));
    if (number != aStream.mLast + 1) {
      aStream.mFault = "event " + std::to_string(number) + " after " +
                       std::to_string(aStream.mLast);
    }
    aStream.mLast = number;
    aStream.mVersions.insert(FieldIn(*event, "version"));
    hasEvent = true;
  }
  aStream.mIsWhole = answer.mWhole;
  if (answer.mWhole && aStream.mLast != kStreamEvents) {
    aStream.mFault = "whole after event " + std::to_string(aStream.mLast);
  }
  return hasEvent;
}

} // namespace peridotspool::soak
