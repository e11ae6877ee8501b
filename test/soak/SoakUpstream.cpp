#include "soak/SoakUpstream.h"

#include "soak/SoakAnswers.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <sys/socket.h>
#include <unistd.h>

namespace peridotspool::soak {

namespace {

constexpr Ms kBeat{ 300 };
constexpr Ms kCheck{ 5 };
constexpr Ms kPlainWork{ 15 };
constexpr Ms kEventGap{ 25 };
/** A deadly request takes this long to end the upstream that runs it. */
constexpr Ms kDying{ 75 };
constexpr Ms kIdle{ 20000 };
constexpr int kSlots = 8;
/** A misbehaving upstream spoils every third request. */
constexpr unsigned kSpoilEach = 3;
constexpr const char* kNotRun = "Peridotspool-Not-Run: 1\r\n";

std::string
Chunk(const std::string& aBytes)
{
  char size[20];
  std::snprintf(size, sizeof size, "%zx\r\n", aBytes.size());
  return size + aBytes + "\r\n";
}

std::string
Short(unsigned aStatus, const std::string& aFields)
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " Short\r\n" + aFields +
         "Content-Length: 0\r\n\r\n";
}

} // namespace

bool
Announcer::Tell(const std::string& aPath, const std::string& aBody)
{
  const std::string request =
    RequestText("POST", aPath, "Content-Type: application/json\r\n", aBody);
  for (int tries = 0; tries < kControls; ++tries) {
    const auto answer =
      CallOnce(mPlaces.Own(mNext), kControlPort, request, Ms(700));
    if (answer && answer->mStatus / 100 == 2) {
      return true;
    }
    mNext = mNext % kControls + 1;
  }
  return false;
}

std::string
BeatText(const std::string& aService,
         const std::string& aAddress,
         int aDomain,
         const char* aState,
         std::uint64_t aSequence,
         const std::string& aVersion)
{
  return R"({"service":")" + aService + R"(","address":")" + aAddress +
         R"(","zone":"d)" + std::to_string(aDomain) + R"(","version":")" +
         aVersion + R"(","slots":8,"state":")" + aState +
         R"(","cold_remaining_ms":0,"seq":)" + std::to_string(aSequence) + "}";
}

SoakUpstream::SoakUpstream(const Places& aPlaces,
                           int aNumber,
                           std::string aService,
                           Recorder& aRecorder)
  : mPlaces(aPlaces)
  , mNumber(aNumber)
  , mService(std::move(aService))
  , mRecorder(aRecorder)
{
}

SoakUpstream::~SoakUpstream()
{
  Crash();
}

void
SoakUpstream::Start()
{
  if (mRunning) {
    return;
  }
  Bury();
  mRunning = true;
  mDied = false;
  ++mLife;
  mName = "u" + std::to_string(mNumber) + "-" + std::to_string(mLife);
  mDraining = false;
  mStatesLeaving = false;
  mListening = ListenAt(mPlaces.Upstream(mNumber), kUpstreamPort);
  mAccepting = std::thread([this] { Accept(); });
  mBeating = std::thread([this] { Beat(); });
}

void
SoakUpstream::Crash()
{
  Die();
  Bury();
}

// Nobody can connect from the first moment on, as with a process that is gone.
void
SoakUpstream::Die()
{
  mRunning = false;
  ::shutdown(mListening, SHUT_RDWR);
  const std::lock_guard lock(mMutex);
  for (Session& session : mSessions) {
    session.mWire->Shut();
  }
}

void
SoakUpstream::Bury()
{
  if (!mAccepting.joinable()) {
    return;
  }
  mAccepting.join();
  mBeating.join();
  ::close(mListening);
  std::list<Session> sessions;
  {
    // One of them may be about to end this life, for which it takes the lock.
    const std::lock_guard lock(mMutex);
    sessions.swap(mSessions);
  }
  for (Session& session : sessions) {
    session.mWire->Shut();
    session.mThread.join();
  }
}

void
SoakUpstream::Drain()
{
  mDraining = true;
}

void
SoakUpstream::Become(const std::string& aService)
{
  Crash();
  mService = aService;
  Start();
}

void
SoakUpstream::Misbehave(std::optional<FaultKind> aHow)
{
  mHow = aHow ? static_cast<int>(*aHow) : -1;
}

bool
SoakUpstream::Misbehaves(FaultKind aHow)
{
  return mHow == static_cast<int>(aHow) &&
         (aHow == FaultKind::kMute || mCounted++ % kSpoilEach == 0);
}

/** Returns false when the upstream dies meanwhile. */
bool
SoakUpstream::Sleeps(Ms aFor) const
{
  const Time until = Clock::now() + aFor;
  while (mRunning && Clock::now() < until) {
    std::this_thread::sleep_for(std::min<Clock::duration>(
      kCheck, until - Clock::now() + std::chrono::microseconds(1)));
  }
  return mRunning;
}

void
SoakUpstream::Beat()
{
  Announcer announcer(mPlaces);
  std::uint64_t sequence = 0;
  bool told = false;
  const std::string address =
    mPlaces.Upstream(mNumber) + ":" + std::to_string(kUpstreamPort);
  while (mRunning) {
    const bool draining = mDraining;
    const bool taken = announcer.Tell("/instances/" + mName + "/heartbeat",
                                      BeatText(mService,
                                               address,
                                               mNumber % kDomains,
                                               draining ? "draining" : "ready",
                                               ++sequence,
                                               mVersion));
    if (taken && draining && !told) {
      told = true;
      mRecorder.With([&](Record& aRecord) {
        aRecord.mDrains.push_back({ mName, Clock::now() });
      });
    }
    Sleeps(kBeat);
  }
}

void
SoakUpstream::Accept()
{
  while (mRunning) {
    auto wire = AcceptOn(mListening, Ms(50));
    if (!wire) {
      continue;
    }
    const std::lock_guard lock(mMutex);
    mSessions.remove_if([](Session& aSession) {
      const bool done = *aSession.mDone;
      if (done) {
        aSession.mThread.join();
      }
      return done;
    });
    auto shared = std::make_shared<Wire>(std::move(*wire));
    auto done = std::make_shared<std::atomic<bool>>(false);
    mSessions.push_back({ .mWire = shared,
                          .mThread = std::thread([this, shared, done] {
                            Serve(*shared);
                            shared->Shut();
                            *done = true;
                          }),
                          .mDone = done });
  }
}

void
SoakUpstream::Serve(Wire& aWire)
{
  while (mRunning) {
    const auto request = aWire.ReadRequest(kIdle);
    if (!request || !mRunning || !Answer(aWire, *request)) {
      return;
    }
  }
}

std::string
SoakUpstream::Head(const std::string& aId) const
{
  return "Peridotspool-Request-Id: " + aId +
         "\r\nPeridotspool-Response-Stamp: " + mName + "." + aId +
         "\r\nKeep-Alive: timeout=20\r\n" + LimitField() + LeavingField();
}

std::string
SoakUpstream::LeavingField() const
{
  return mStatesLeaving ? "Server-Leaving: 1\r\n" : "";
}

void
SoakUpstream::AskForRest(const std::string& aRetryAfter)
{
  const std::lock_guard lock(mLimitMutex);
  mRetryAfter = aRetryAfter;
}

std::string
SoakUpstream::RetryAfter() const
{
  const std::lock_guard lock(mLimitMutex);
  return mRetryAfter;
}

void
SoakUpstream::RecordVisit(const Wire& aWire,
                          const std::string& aId,
                          const std::string& aRetryAfter)
{
  if (!mRecordsVisits) {
    return;
  }
  const double seconds = std::atof(aRetryAfter.c_str());
  mRecorder.With([&](Record& aRecord) {
    aRecord.mVisits.push_back(
      { .mId = aId,
        .mUpstream = mName,
        .mFrom = aWire.PeerHost(),
        .mAt = Clock::now(),
        .mRest = seconds > 0
                   ? std::optional(Ms(static_cast<int>(seconds * 1000)))
                   : std::nullopt,
        .mLeaving = mStatesLeaving });
  });
}

bool
SoakUpstream::TurnAway(Wire& aWire, const std::string& aId)
{
  const std::string retryAfter = RetryAfter();
  RecordVisit(aWire, aId, retryAfter);
  if (retryAfter.empty()) {
    return false;
  }
  aWire.Send(Short(503,
                   "Peridotspool-Request-Id: " + aId + "\r\nRetry-After: " +
                     retryAfter + "\r\n" + LeavingField() + kNotRun));
  return true;
}

void
SoakUpstream::StateLimit(const std::string& aValue)
{
  const std::lock_guard lock(mLimitMutex);
  mLimit = aValue;
}

std::string
SoakUpstream::LimitField() const
{
  const std::lock_guard lock(mLimitMutex);
  return mLimit.empty() ? "" : "Server-Limit: " + mLimit + "\r\n";
}

void
SoakUpstream::NoteLimited()
{
  const std::lock_guard lock(mLimitMutex);
  if (!mLimit.empty()) {
    mRecorder.With([&](Record& aRecord) {
      aRecord.mLimited.push_back({ .mUpstream = mName,
                                   .mPerSecond = std::atof(mLimit.c_str()),
                                   .mAt = Clock::now() });
    });
  }
}

bool
SoakUpstream::IsDeadly(const HttpText& aRequest) const
{
  if (!mDeadlyPart.empty()) {
    const std::string prompt = "," + aRequest.Field("peridotspool-prefix-hash");
    const std::size_t at = prompt.find("," + mDeadlyPart + ":");
    return at != std::string::npos && at < prompt.rfind(',');
  }
  return !mDeadly.empty() && aRequest.mTarget == mDeadly;
}

bool
SoakUpstream::Answer(Wire& aWire, const HttpText& aRequest)
{
  const std::string id = aRequest.Field("peridotspool-request-id");
  const std::string echo = "Peridotspool-Request-Id: " + id + "\r\n";
  if (!mDeadlyPart.empty()) {
    mRecorder.With([&](Record& aRecord) {
      aRecord.mArrivals.push_back(
        { .mId = id, .mDeadly = IsDeadly(aRequest), .mAt = Clock::now() });
    });
  }
  if (aRequest.Field("peridotspool-expect-instance") != mName) {
    return aWire.Send(Short(421, echo));
  }
  NoteLimited();
  if (TurnAway(aWire, id)) {
    return true;
  }
  if (mBusy >= kSlots || Misbehaves(FaultKind::kReject)) {
    return aWire.Send(
      Short(503, echo + LimitField() + LeavingField() + kNotRun));
  }
  mRecorder.With([&](Record& aRecord) {
    aRecord.mRuns.push_back({ .mId = id,
                              .mUpstream = mName,
                              .mService = mService,
                              .mVersion = mVersion,
                              .mPath = aRequest.mTarget,
                              .mAt = Clock::now() });
  });
  if (IsDeadly(aRequest)) {
    DieAnswering(aWire, id);
    return false;
  }
  ++mBusy;
  bool goOn = true;
  if (Misbehaves(FaultKind::kMute)) {
    Sleeps(Ms(10000));
    goOn = false;
  } else if (Misbehaves(FaultKind::kLoseAnswers)) {
    Sleeps(kPlainWork);
    goOn = false;
  } else if (Misbehaves(FaultKind::kFail)) {
    mRecorder.With([&](Record& aRecord) {
      aRecord.mFailures.push_back(
        { .mVersion = mVersion, .mAt = Clock::now() });
    });
    goOn = aWire.Send(Short(500, Head(id)));
  } else if (mService == NameOf(Kind::kStream) ||
             mService == NameOf(Kind::kResume)) {
    goOn = AnswerStream(aWire, id, aRequest.Field("last-event-id"));
  } else {
    goOn = AnswerPlain(aWire, id);
  }
  --mBusy;
  return goOn;
}

void
SoakUpstream::DieAnswering(Wire& aWire, const std::string& aId)
{
  aWire.Send("HTTP/1.1 200 OK\r\n" + Head(aId) +
             "Content-Type: text/event-stream\r\n"
             "Transfer-Encoding: chunked\r\n\r\n");
  if (Sleeps(kDying)) {
    mRecorder.With([&](Record& aRecord) {
      aRecord.mEnds.push_back({ .mUpstream = mName, .mAt = Clock::now() });
    });
    mDied = true;
    Die();
  }
}

bool
SoakUpstream::AnswerPlain(Wire& aWire, const std::string& aId)
{
  if (!Sleeps(kPlainWork)) {
    return false;
  }
  const std::string body = PlainAnswer(aId, mName, mFillerBytes);
  const std::string answer = "HTTP/1.1 200 OK\r\n" + Head(aId) +
                             "Content-Length: " + std::to_string(body.size()) +
                             "\r\n\r\n" + body;
  if (Misbehaves(FaultKind::kGarble)) {
    // In turn: it breaks off, it is no HTTP, it answers twice.
    switch (mCounted % 3) {
      case 0:
        aWire.Send(answer.substr(0, answer.size() - 20));
        return false;
      case 1:
        aWire.Send("what is this\r\n\r\n");
        return false;
      default:
        return aWire.Send(answer + answer);
    }
  }
  return aWire.Send(answer);
}

bool
SoakUpstream::AnswerStream(Wire& aWire,
                           const std::string& aId,
                           const std::string& aAfter)
{
  if (!aWire.Send("HTTP/1.1 200 OK\r\n" + Head(aId) +
                  "Content-Type: text/event-stream\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n")) {
    return false;
  }
  const int first = aAfter.empty() ? 1 : std::stoi(aAfter) + 1;
  const bool breaks = Misbehaves(FaultKind::kGarble);
  for (int number = first; number <= kStreamEvents; ++number) {
    const std::string event =
      (mMarksEvents ? "version: " + mVersion + "\n" : "") +
      StreamEvent(aId, number);
    if (!Sleeps(kEventGap)) {
      return false;
    }
    if (breaks && number > first + 2) {
      aWire.Send(Chunk(event.substr(0, event.size() / 2)));
      return false;
    }
    if (!aWire.Send(Chunk(event))) {
      return false;
    }
  }
  return aWire.Send("0\r\n\r\n");
}

} // namespace peridotspool::soak
