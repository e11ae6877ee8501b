#include "peridotspool/routing/CrashWitness.h"

#include <utility>

namespace peridotspool::routing {

namespace {

/** An upstream that is started again announces itself well within it. */
constexpr Duration kOpenFor = std::chrono::seconds(15);
/** Answers of an ended life are lost on all connections at about once. */
constexpr Duration kEndedFor = std::chrono::seconds(60);
/** Bounds of what is held while an end is in question. */
constexpr std::size_t kMostOpen = 256;
constexpr std::size_t kMostLost = 256;
constexpr std::size_t kMostEnded = 4096;

} // namespace

std::optional<EndedLife>
CrashWitness::Lost(const UpstreamLife& aLife,
                   const Address& aAddress,
                   const LostAnswer& aLost)
{
  if (mEnded.contains(aLife)) {
    return EndedLife{ .mLife = aLife, .mLost = { aLost } };
  }
  if (!mOpen.contains(aLife) && mOpen.size() >= kMostOpen) {
    return std::nullopt;
  }
  Question& question = mOpen[aLife];
  question.mAddress = aAddress;
  if (question.mLost.size() < kMostLost) {
    question.mLost.push_back(aLost);
  }
  return std::nullopt;
}

bool
CrashWitness::ShouldProbe(const UpstreamLife& aLife)
{
  const auto question = mOpen.find(aLife);
  return question != mOpen.end() &&
         !std::exchange(question->second.mProbed, true);
}

std::optional<EndedLife>
CrashWitness::Refused(const UpstreamLife& aLife, TimePoint aNow)
{
  return End(aLife, EndShownBy::kRefusedConnection, aNow);
}

void
CrashWitness::Accepted(const UpstreamLife& aLife)
{
  mOpen.erase(aLife);
}

std::vector<EndedLife>
CrashWitness::Announced(const UpstreamLife& aLife,
                        const Address& aAddress,
                        TimePoint aNow)
{
  std::vector<UpstreamLife> over;
  for (const auto& [life, question] : mOpen) {
    if (question.mAddress == aAddress && life != aLife) {
      over.push_back(life);
    }
  }
  std::vector<EndedLife> ended;
  for (const UpstreamLife& life : over) {
    if (auto one = End(life, EndShownBy::kNextLife, aNow)) {
      ended.push_back(std::move(*one));
    }
  }
  return ended;
}

// Returns empty where no answer of this entry was lost by it.
std::optional<EndedLife>
CrashWitness::End(const UpstreamLife& aLife,
                  EndShownBy aShownBy,
                  TimePoint aNow)
{
  if (mEnded.size() < kMostEnded) {
    mEnded.try_emplace(aLife, aNow);
  }
  const auto question = mOpen.find(aLife);
  if (question == mOpen.end()) {
    return std::nullopt;
  }
  EndedLife ended{ .mLife = aLife,
                   .mShownBy = aShownBy,
                   .mLost = std::move(question->second.mLost) };
  mOpen.erase(question);
  return ended;
}

void
CrashWitness::Forget(TimePoint aNow)
{
  std::erase_if(mOpen, [&](const auto& aPair) {
    const auto& lost = aPair.second.mLost;
    return aNow - lost.front().mLostAt >= kOpenFor;
  });
  std::erase_if(mEnded, [&](const auto& aPair) {
    return aNow - aPair.second >= kEndedFor;
  });
}

} // namespace peridotspool::routing
