#pragma once

#include "soak/SoakPlan.h"
#include "soak/SoakRecord.h"
#include "soak/SoakWire.h"

#include <atomic>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace peridotspool::soak {

/** Tells the system of an upstream, as often as upstreams do. */
class Announcer
{
public:
  explicit Announcer(const Places& aPlaces)
    : mPlaces(aPlaces)
  {
  }

  /** Sends one call to the replica that answered last, or to the next ones. */
  bool Tell(const std::string& aPath, const std::string& aBody);

private:
  const Places mPlaces;
  int mNext = 1;
};

std::string
BeatText(const std::string& aService,
         const std::string& aAddress,
         int aDomain,
         const char* aState,
         std::uint64_t aSequence,
         const std::string& aVersion = "v1");

/**
 * A stand-in for an upstream: one address, and one life after the other, each
 * with an identity of its own.
 */
class SoakUpstream
{
public:
  SoakUpstream(const Places& aPlaces,
               int aNumber,
               std::string aService,
               Recorder& aRecorder);
  ~SoakUpstream();
  SoakUpstream(const SoakUpstream&) = delete;
  SoakUpstream& operator=(const SoakUpstream&) = delete;

  void Start();
  /** Ends as a process that dies does, without a word. */
  void Crash();
  /** Says that it leaves, serves on, and goes in a while. */
  void Drain();
  /** Of its software; before Start. */
  void UseVersion(const std::string& aVersion) { mVersion = aVersion; }
  const std::string& Version() const { return mVersion; }
  /** Each event of its streams names its version; before Start. */
  void MarkEvents() { mMarksEvents = true; }
  bool IsServing() const { return mRunning && !mDraining; }
  /** Starts again at the same address, for another service. */
  void Become(const std::string& aService);
  const std::string& Service() const { return mService; }
  /** kMute, kLoseAnswers, kReject, kFail or kGarble; empty: works well. */
  void Misbehave(std::optional<FaultKind> aHow);
  /** States this limit in its answers, as written; empty: states none. */
  void StateLimit(const std::string& aValue);
  /** Turns all requests away from now on and states this in Retry-After, as
   * written; empty: accepts requests again. */
  void AskForRest(const std::string& aRetryAfter);
  /** States in its answers that it leaves, until the end of its life. */
  void StateLeaving() { mStatesLeaving = true; }
  /** Its answers to plain requests have this many bytes and a little more;
   * before Start. */
  void AnswerWith(std::size_t aBytes) { mFillerBytes = aBytes; }
  /** Records each request that reaches it. */
  void RecordVisits() { mRecordsVisits = true; }
  std::string Name() const { return mName; }
  /** From now on it dies of each request with this target that it begins. */
  void DieOf(const std::string& aTarget) { mDeadly = aTarget; }
  /** From now on it dies of each request that it begins whose prompt holds this
   * part, unless it is the last. */
  void DieOfPart(const std::string& aPart) { mDeadlyPart = aPart; }
  /** Returns true iff a request has ended this life; Start begins the next. */
  bool HasDied() const { return mDied; }

private:
  struct Session
  {
    std::shared_ptr<Wire> mWire;
    std::thread mThread;
    std::shared_ptr<std::atomic<bool>> mDone;
  };

  /** Ends the present life at once, from whatever thread. */
  void Die();
  /** Waits for the threads of a life that is over. */
  void Bury();
  void Beat();
  void Accept();
  void Serve(Wire& aWire);
  /** Returns false when the connection is over. */
  bool Answer(Wire& aWire, const HttpText& aRequest);
  bool AnswerPlain(Wire& aWire, const std::string& aId);
  bool AnswerStream(Wire& aWire,
                    const std::string& aId,
                    const std::string& aAfter);
  bool IsDeadly(const HttpText& aRequest) const;
  /** Sends the head of an answer, and is gone before its first event. */
  void DieAnswering(Wire& aWire, const std::string& aId);
  std::string Head(const std::string& aId) const;
  std::string LimitField() const;
  std::string LeavingField() const;
  std::string RetryAfter() const;
  /** Turns the request away if it asks for rest. Returns false if it doesn't.
   */
  bool TurnAway(Wire& aWire, const std::string& aId);
  void RecordVisit(const Wire& aWire,
                   const std::string& aId,
                   const std::string& aRetryAfter);
  void NoteLimited();
  bool Misbehaves(FaultKind aHow);
  bool Sleeps(Ms aFor) const;

  const Places mPlaces;
  const int mNumber;
  std::string mService;
  std::string mVersion = "v1";
  bool mMarksEvents = false;
  std::size_t mFillerBytes = kFillerBytes;
  Recorder& mRecorder;
  int mLife = 0;
  std::string mName;
  std::atomic<bool> mRunning{ false };
  std::atomic<bool> mDraining{ false };
  /** A FaultKind, or -1. */
  std::atomic<int> mHow{ -1 };
  std::atomic<unsigned> mCounted{ 0 };
  std::atomic<int> mBusy{ 0 };
  std::string mDeadly;
  std::string mDeadlyPart;
  mutable std::mutex mLimitMutex;
  std::string mLimit;
  std::string mRetryAfter;
  std::atomic<bool> mStatesLeaving{ false };
  std::atomic<bool> mRecordsVisits{ false };
  std::atomic<bool> mDied{ false };
  int mListening = -1;
  std::mutex mMutex;
  std::list<Session> mSessions;
  std::thread mAccepting;
  std::thread mBeating;
};

} // namespace peridotspool::soak
