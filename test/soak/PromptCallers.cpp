#include "soak/PromptCallers.h"

#include "soak/SoakWire.h"

#include <functional>
#include <optional>
#include <utility>

namespace peridotspool::soak {

namespace {

constexpr int kSoundCallers = 6;
constexpr Ms kSoundPause{ 60 };
constexpr Ms kSlice{ 20 };
constexpr Ms kPatience{ 5000 };

const std::string kFirstPart = "a0a0";
const std::string kSecondPart = "b0b0";

std::string
OwnPart(const std::string& aId)
{
  return std::to_string(std::hash<std::string>{}(aId) % 1000000007);
}

} // namespace

PromptCallers::PromptCallers(PromptCallersOptions aOptions)
  : mOptions(std::move(aOptions))
{
  for (int number = 0; number < mOptions.mDeadlyCallers; ++number) {
    mThreads.emplace_back([this, number] { Repeat(number, true); });
  }
  for (int number = 0; number < kSoundCallers; ++number) {
    mThreads.emplace_back([this, number] { Repeat(number, false); });
  }
}

PromptCallers::~PromptCallers()
{
  mSending = false;
  for (std::thread& thread : mThreads) {
    thread.join();
  }
}

std::vector<SoundRequest>
PromptCallers::Sound() const
{
  const std::lock_guard lock(mMutex);
  return mSound;
}

int
PromptCallers::EntryOf(const std::string& aId)
{
  return aId.back() - '0';
}

void
PromptCallers::Repeat(int aCaller, bool aDeadly)
{
  std::mt19937_64 random(mOptions.mSeed * 100 +
                         static_cast<std::uint64_t>(aCaller * 2 + aDeadly));
  for (int sent = 0; mSending; ++sent) {
    const int entry = 1 + static_cast<int>(random() % kMachines);
    const std::string id = std::string(aDeadly ? "d" : "s") +
                           std::to_string(aCaller) + "-" +
                           std::to_string(sent) + "-" + std::to_string(entry);
    if (aDeadly) {
      Send(entry,
           id,
           kFirstPart + ":10," + kSecondPart + ":20," + kDeadlyPart + ":30," +
             OwnPart(id));
    } else {
      SendSound(entry, id, random);
    }
    const Time until =
      Clock::now() + (aDeadly ? mOptions.mDeadlyPause : kSoundPause);
    while (mSending && Clock::now() < until) {
      std::this_thread::sleep_for(kSlice);
    }
  }
}

void
PromptCallers::SendSound(int aEntry,
                         const std::string& aId,
                         std::mt19937_64& aRandom)
{
  const auto kind = aRandom() % 10;
  const std::string other = std::to_string(aRandom() % 40);
  std::string prompt = kFirstPart + ":10,e" + other + ":20,";
  if (kind < 2) {
    prompt = kFirstPart + ":10," + kSecondPart + ":20,";
  } else if (kind < 5) {
    prompt = "f" + other + ":40,";
  }
  SoundRequest sound{ .mSentAt = Clock::now(),
                      .mSharesFirstPart = kind < 2 || kind >= 5,
                      .mInTouch = mOptions.mIsInTouch(aEntry) };
  sound.mBegan =
    Send(aEntry, aId, prompt + (kind == 9 ? kDeadlyPart : OwnPart(aId)));
  sound.mInTouch = sound.mInTouch && mOptions.mIsInTouch(aEntry);
  const std::lock_guard lock(mMutex);
  mSound.push_back(sound);
}

bool
PromptCallers::Send(int aEntry,
                    const std::string& aId,
                    const std::string& aPrompt)
{
  const auto answer =
    CallOnce(mOptions.mPlaces.Own(aEntry),
             kCallerPort,
             RequestText("POST",
                         std::string("/") + NameOf(Kind::kStream) + "/x",
                         "Peridotspool-Request-Id: " + aId +
                           "\r\nPeridotspool-Prefix-Hash: " + aPrompt +
                           ":9\r\nPeridotspool-Deadline-Ms: 4000\r\n",
                         "prompt of " + aId),
             kPatience);
  return answer && answer->mStatus == 200;
}

} // namespace peridotspool::soak
