#pragma once

#include "soak/SoakNames.h"

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace peridotspool::soak {

/** How a caller's request ended, as the caller saw it. */
enum class Ending
{
  /** A whole answer came. */
  kAnswered,
  /** The connection ended, or went silent, before the answer was whole. */
  kCut,
  /** No connection could be made: nothing was sent. */
  kNoConnection,
};

struct SeenRequest
{
  std::string mId;
  Kind mKind = Kind::kSafe;
  int mMachine = 0;
  Time mSentAt;
  Time mEndedAt;
  Ending mEnding = Ending::kNoConnection;
  unsigned mStatus = 0;
  bool mHasProof = false;
  bool mHasRetryAfter = false;
  std::string mBody;
};

/** An upstream began to work on a request. */
struct SeenRun
{
  std::string mId;
  std::string mUpstream;
  /** What the upstream serves: a kind's name. */
  std::string mService;
  std::string mVersion;
  std::string mPath;
  Time mAt;
};

/** A request reached an upstream that stated a limit, whether it ran or not. */
struct SeenLimited
{
  std::string mUpstream;
  double mPerSecond = 0.0;
  Time mAt;
};

/** A request with parts of a prompt reached an upstream, run there or not. */
struct SeenArrival
{
  std::string mId;
  /** Its prompt holds the part of which the upstream dies. */
  bool mDeadly = false;
  Time mAt;
};

/** A request reached an upstream that may ask for rest or leave. */
struct SeenVisit
{
  std::string mId;
  std::string mUpstream;
  /** Address of the machine that sent it. */
  std::string mFrom;
  Time mAt;
  /** It was turned away, and the machine asked for this much rest. */
  std::optional<Ms> mRest;
  /** The answer states that the upstream leaves. */
  bool mLeaving = false;
};

/** An upstream answered with a failure of its own. */
struct SeenFailure
{
  std::string mVersion;
  Time mAt;
};

/** A life of an upstream that a request ended. */
struct SeenEnd
{
  std::string mUpstream;
  Time mAt;
};

/** A configuration that an operator sent. */
struct SeenChange
{
  std::uint64_t mVersion = 0;
  bool mValid = true;
  Time mSentAt;
  std::optional<Time> mAckedAt;
  /** A clear no. */
  bool mRefused = false;
};

/** A configuration's version as somebody saw it in force or read it back. */
struct SeenVersion
{
  int mMachine = 0;
  /** Which life of the entry's process; meaningless for reads. */
  int mLife = 0;
  Time mSentAt;
  Time mAnsweredAt;
  std::uint64_t mVersion = 0;
};

struct SeenDrain
{
  std::string mUpstream;
  Time mAckedAt;
};

struct SeenDuty
{
  std::string mHolder;
  std::uint64_t mFence = 0;
  std::string mPath;
  std::string mBody;
  Time mAt;
};

/** A span in which something was done to the system from outside. */
struct Span
{
  std::string mWhat;
  Time mFrom;
  Time mTo;
  /** Set for a planned stop. */
  int mStoppedMachine = 0;
};

/** All that was seen from outside in one run. */
struct Record
{
  std::vector<SeenRequest> mRequests;
  std::vector<SeenRun> mRuns;
  std::vector<SeenLimited> mLimited;
  std::vector<SeenFailure> mFailures;
  std::vector<SeenEnd> mEnds;
  std::vector<SeenArrival> mArrivals;
  std::vector<SeenVisit> mVisits;
  std::vector<SeenChange> mChanges;
  /** Versions in force at entries, and versions read back. */
  std::vector<SeenVersion> mInForce;
  std::vector<SeenVersion> mRead;
  std::vector<SeenDrain> mDrains;
  std::vector<SeenDuty> mDuties;
  std::vector<Span> mSpans;
  /** Processes that ended though nobody ended them. */
  std::vector<std::string> mOwnEnds;
  /** Since when nothing is done to the system any more. */
  Time mCalmSince;
  /** When the last requests are sent; what comes later is not judged. */
  Time mEnd;
};

/** A record that many threads write. */
class Recorder
{
public:
  template<typename Step>
  auto With(Step aStep)
  {
    const std::lock_guard lock(mMutex);
    return aStep(mRecord);
  }
  Record Take()
  {
    const std::lock_guard lock(mMutex);
    return mRecord;
  }

private:
  std::mutex mMutex;
  Record mRecord;
};

} // namespace peridotspool::soak
