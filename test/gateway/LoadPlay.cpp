#include "gateway/LoadPlay.h"

#include "peridotspool/gateway/LateRefusal.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <string>

namespace peridotspool::gateway {

namespace {

const ServiceName kService("s");
/** Bringing a prefix from another engine, as a part of reading it. */
constexpr double kCopyPart = 0.12;
/** From one entry to another. */
constexpr double kTellingMs = 2.0;

TimePoint
At(double aMs)
{
  return TimePoint(std::chrono::seconds(1000)) +
         std::chrono::duration_cast<Duration>(
           std::chrono::duration<double, std::milli>(aMs));
}

std::uint32_t
Microseconds(Duration aDuration)
{
  return static_cast<std::uint32_t>(
    std::chrono::duration_cast<std::chrono::microseconds>(aDuration).count());
}

double
Milliseconds(Duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

PromptParts
MakePrompt(std::uint64_t aSubject,
           std::uint64_t aShared,
           std::uint64_t aOwn,
           std::uint64_t aNumber)
{
  constexpr std::uint64_t kFirstOwn = 1000000;
  return { .mAffinity = aSubject,
           .mShared = aShared,
           .mOwn = aOwn,
           .mParts = { { .mId = aSubject,
                         .mTokens = static_cast<std::uint32_t>(aShared) },
                       { .mId = kFirstOwn + aNumber,
                         .mTokens = static_cast<std::uint32_t>(aOwn) } } };
}

} // namespace

std::vector<Arrival>
MakeLoad(const Deployment& aDeployment,
         unsigned aSeed,
         const std::vector<Phase>& aPhases)
{
  std::mt19937 random(aSeed);
  std::exponential_distribution<double> gap(aDeployment.mPromptsPerMs);
  const double spread = aDeployment.mSpread;
  std::lognormal_distribution<double> size(
    std::log(aDeployment.mMeanPrompt) - spread * spread / 2, spread);
  const auto times = [&](double aMs) {
    const auto phase =
      std::find_if(aPhases.begin(), aPhases.end(), [aMs](const Phase& aOne) {
        return aMs >= aOne.mFromMs && aMs < aOne.mToMs;
      });
    return phase == aPhases.end() ? 1.0 : phase->mTimes;
  };
  std::vector<Arrival> load;
  for (double at = 0.0; at < aDeployment.mDayMs;
       at += gap(random) / times(at)) {
    const std::uint64_t subject =
      1 + random() % static_cast<unsigned>(aDeployment.mSubjects);
    const auto own = static_cast<std::uint64_t>(
      std::min(aDeployment.mLongestPrompt, 1 + size(random)));
    load.push_back(
      { .mAtMs = at,
        .mPrompt = MakePrompt(subject, aDeployment.mShared, own, load.size()),
        .mEntry = static_cast<int>(random() %
                                   static_cast<unsigned>(aDeployment.mEntries)),
        .mAskedMs = at });
  }
  return load;
}

LoadPlay::LoadPlay(const Deployment& aDeployment, Policy aPolicy)
  : mDeployment(aDeployment)
  , mPolicy(aPolicy)
{
  for (int engine = 0; engine < aDeployment.mEngines; ++engine) {
    mEngines.push_back(
      { .mEngine = EmulatedEngine({ .mTokensPerMs = aDeployment.mTokensPerMs,
                                    .mFirstMs = aDeployment.mFirstMs,
                                    .mStepMs = aDeployment.mStepMs,
                                    .mSlots = aDeployment.mSlots }),
        .mKept = {} });
  }
  for (int entry = 0; entry < aDeployment.mEntries; ++entry) {
    mBoards.push_back(IdleBoard());
  }
}

void
LoadPlay::Run(const std::vector<Arrival>& aLoad)
{
  for (const Arrival& one : aLoad) {
    ServeReturning(one.mAtMs);
    ServeWhenIn(one);
  }
  const double last = aLoad.empty() ? 0.0 : aLoad.back().mAtMs;
  Settle(last + std::min(mDeployment.mPatienceMs, mDeployment.mDayMs));
}

Outcome
LoadPlay::Of(double aFromMs, double aToMs) const
{
  std::vector<double> times;
  double asked = 0.0;
  double read = 0.0;
  double good = 0.0;
  double refused = 0.0;
  for (const Served& one : mServed) {
    if (one.mAtMs < aFromMs || one.mAtMs >= aToMs) {
      continue;
    }
    times.push_back(one.mFirstMs);
    asked += one.mAsked;
    read += one.mRead;
    refused += one.mRefused ? 1.0 : 0.0;
    good +=
      !one.mRefused && one.mFirstMs <= mDeployment.mObjectiveMs ? 1.0 : 0.0;
  }
  if (times.empty()) {
    return {};
  }
  std::sort(times.begin(), times.end());
  return { .mInObjective = good / static_cast<double>(times.size()),
           .mP95Ms = times[times.size() * 95 / 100],
           .mRefused = refused / static_cast<double>(times.size()),
           .mRead = asked > 0.0 ? read / asked : 0.0 };
}

// It knows all engines and nothing of their work.
UpstreamBoard
LoadPlay::IdleBoard() const
{
  UpstreamBoard board{ UpstreamBoardOptions{} };
  for (int engine = 0; engine < mDeployment.mEngines; ++engine) {
    const membership::KnownUpstream known{
      .mReport = { .mName = UpstreamName(std::to_string(engine)),
                   .mService = kService,
                   .mAddress = { "127.0.0.1",
                                 static_cast<std::uint16_t>(engine + 1) },
                   .mSlots = mDeployment.mSlots }
    };
    board.Take(known.mReport.mName, &known, At(0));
  }
  return board;
}

UpstreamBoard&
LoadPlay::BoardOf(int aEntry)
{
  return mBoards[static_cast<std::size_t>(aEntry)];
}

UpstreamChoice
LoadPlay::Choose(const Arrival& aOne, bool aLooksFurther)
{
  ChooseQuestion question{ .mService = kService,
                           .mPrompt = aOne.mPrompt,
                           .mLooksFurther = aLooksFurther };
  const TimePoint now = At(aOne.mAtMs);
  if (mPolicy == Policy::kByPlace) {
    // An idle board orders the engines by the prefix alone.
    return *IdleBoard().Choose(question, now);
  }
  UpstreamBoard& board = BoardOf(aOne.mEntry);
  if (mPolicy == Policy::kByKeepers) {
    LoadAsk ask{ .mParts = aOne.mPrompt.mParts };
    for (const auto& upstream : board.Shortlist(question, now)) {
      ask.mUpstreams.push_back(upstream.mName);
    }
    question.mAmong = ask.mUpstreams;
    std::uniform_real_distribution<double> part(0.0, 1.0);
    for (const LoadLine& line : mKeeper.Answer(ask, now).mLines) {
      if (part(mRandom) < mDeployment.mUnheard) {
        continue;
      }
      board.TakeKept(line, now);
      question.mKept[line.mUpstream] = line.mKept;
    }
  }
  return *board.Choose(question, now);
}

double
LoadPlay::TokensToRead(const Engine& aEngine,
                       const PromptParts& aPrompt,
                       const std::optional<Address>& aNeighbour) const
{
  const double all = static_cast<double>(aPrompt.Tokens());
  const double own = static_cast<double>(aEngine.mKept.Kept(aPrompt.mParts));
  if (!aNeighbour) {
    return all - own;
  }
  const double there = static_cast<double>(
    mEngines[aNeighbour->mPort - 1].mKept.Kept(aPrompt.mParts));
  return all - std::max(own, there) + kCopyPart * std::max(0.0, there - own);
}

void
LoadPlay::ServeReturning(double aMs)
{
  while (!mReturning.empty() && mReturning.begin()->first <= aMs) {
    const Arrival one = mReturning.begin()->second;
    mReturning.erase(mReturning.begin());
    ServeWhenIn(one);
  }
}

void
LoadPlay::ServeWhenIn(const Arrival& aOne)
{
  Settle(aOne.mAtMs);
  for (const bool further : { false, true }) {
    const UpstreamChoice choice = Choose(aOne, further);
    const auto comeBack = ComeBack(aOne, choice);
    if (!comeBack) {
      Serve(aOne, choice);
      return;
    }
    if (further) {
      Refuse(aOne, *comeBack);
    }
  }
}

std::optional<Duration>
LoadPlay::ComeBack(const Arrival& aOne, const UpstreamChoice& aChoice) const
{
  return ComeBackIn(
    { .mExpected = aChoice.mExpected,
      .mObjective = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(mDeployment.mObjectiveMs)),
      .mPrompt = aOne.mPrompt.Tokens(),
      .mHeard = aChoice.mHeard,
      .mFullness = aChoice.mFullness });
}

void
LoadPlay::Refuse(const Arrival& aOne, Duration aComeBack)
{
  Arrival again = aOne;
  again.mAtMs += Milliseconds(aComeBack);
  ++again.mRefusals;
  const bool leaves = again.mRefusals > mDeployment.mReturns ||
                      again.mAtMs - again.mAskedMs > mDeployment.mPatienceMs;
  if (leaves) {
    mServed.push_back({ .mAtMs = aOne.mAskedMs,
                        .mFirstMs = mDeployment.mPatienceMs,
                        .mRefused = true });
  } else {
    mReturning.emplace(again.mAtMs, again);
  }
}

void
LoadPlay::Serve(const Arrival& aOne, const UpstreamChoice& aChoice)
{
  const std::size_t place = std::stoul(aChoice.mName.Value());
  Engine& engine = mEngines[place];
  const double reads = TokensToRead(engine, aOne.mPrompt, aChoice.mNeighbour);
  engine.mKept.Use(aOne.mPrompt.mParts, mDeployment.mMemory);
  const SentRequest sent = BoardOf(aOne.mEntry).Sent(aChoice, At(aOne.mAtMs));
  const std::uint64_t send = ++mLastSend;
  engine.mEngine.Send(send, reads, mDeployment.mAnswerTokens);
  Tell(aOne.mAtMs,
       LoadSent{ .mUpstream = aChoice.mName,
                 .mSend = send,
                 .mReadUs = Microseconds(sent.mReading),
                 .mParts = aOne.mPrompt.mParts,
                 .mMemory = mDeployment.mMemory });
  mServed.push_back({ .mAtMs = aOne.mAskedMs,
                      .mFirstMs = mDeployment.mPatienceMs,
                      .mAsked = static_cast<double>(aOne.mPrompt.Tokens()),
                      .mRead = reads });
  mUnderWay[send] = { .mPlace = mServed.size() - 1,
                      .mEngine = place,
                      .mEntry = aOne.mEntry,
                      .mSent = sent };
}

template<typename Message>
void
LoadPlay::Tell(double aMs, const Message& aMessage)
{
  mNews.push_back({ aMs + kTellingMs, [this, aMessage](TimePoint aNow) {
                     mKeeper.Take(aMessage, aNow);
                   } });
}

void
LoadPlay::TakeNews(double aMs)
{
  while (!mNews.empty() && mNews.front().first <= aMs) {
    mNews.front().second(At(mNews.front().first));
    mNews.pop_front();
  }
}

void
LoadPlay::TakeEvent(const EngineEvent& aEvent)
{
  const auto found = mUnderWay.find(aEvent.mId);
  if (found == mUnderWay.end()) {
    return;
  }
  UnderWay& one = found->second;
  UpstreamBoard& board = BoardOf(one.mEntry);
  const UpstreamName name = one.mSent.mName;
  if (aEvent.mKind == EngineEvent::Kind::kFirst) {
    one.mBegun = true;
    mServed[one.mPlace].mFirstMs = aEvent.mAtMs - mServed[one.mPlace].mAtMs;
    if (board.Began(one.mSent, At(aEvent.mAtMs))) {
      Tell(aEvent.mAtMs, LoadBegun{ name, aEvent.mId });
    }
    return;
  }
  board.Ended(one.mSent, SendResult::kAnswered, At(aEvent.mAtMs));
  Tell(aEvent.mAtMs, LoadEnded{ name, aEvent.mId, true });
  mUnderWay.erase(found);
}

// Sends are numbered in the order of their arrival, so those that wait longest
// come first.
void
LoadPlay::Leave(double aMs)
{
  for (; mOldest <= mLastSend; ++mOldest) {
    const auto found = mUnderWay.find(mOldest);
    if (found == mUnderWay.end() || found->second.mBegun) {
      continue;
    }
    UnderWay& one = found->second;
    if (Milliseconds(At(aMs) - one.mSent.mSentAt) < mDeployment.mPatienceMs) {
      return;
    }
    mEngines[one.mEngine].mEngine.Drop(found->first);
    BoardOf(one.mEntry).Ended(one.mSent, SendResult::kAnswered, At(aMs));
    Tell(aMs, LoadEnded{ one.mSent.mName, found->first, false });
    mUnderWay.erase(found);
  }
}

// Events come to the entries a while after the engine's own time, so some of
// those gathered here lie ahead.
void
LoadPlay::Settle(double aMs)
{
  for (Engine& engine : mEngines) {
    engine.mEngine.Advance(aMs, mEvents);
  }
  std::stable_sort(mEvents.begin(),
                   mEvents.end(),
                   [](const EngineEvent& aLeft, const EngineEvent& aRight) {
                     return aLeft.mAtMs < aRight.mAtMs;
                   });
  const auto ahead =
    std::find_if(mEvents.begin(), mEvents.end(), [&](const EngineEvent& aOne) {
      return aOne.mAtMs > aMs;
    });
  for (auto event = mEvents.begin(); event != ahead; ++event) {
    TakeNews(event->mAtMs);
    TakeEvent(*event);
  }
  mEvents.erase(mEvents.begin(), ahead);
  TakeNews(aMs);
  Leave(aMs);
}

} // namespace peridotspool::gateway
