#include "gateway/QuotaPlay.h"

#include <algorithm>
#include <cmath>

namespace peridotspool::gateway {

namespace {

constexpr int kStepMs = 5;
constexpr int kTickMs = 50;
constexpr int kReportMs = 300;
constexpr int kDelayMs = 5;
constexpr int kWindowMs = 8000;
/** Limits are this many times what the customer usually asks for. */
constexpr double kHeadroom = 1.8;
constexpr int kCommitMs = 20;
constexpr std::size_t kFirstPort = 1000;

Address
AddressOf(std::size_t aEntry)
{
  return { "127.0.0.1", static_cast<std::uint16_t>(kFirstPort + aEntry) };
}

} // namespace

QuotaPlay::QuotaPlay(QuotaPlayOptions aOptions,
                     std::vector<QuotaIncident> aIncidents)
  : mOptions(aOptions)
  , mCustomer{ .mName = CustomerName("c"),
               .mRatePerSecond = aOptions.mRate,
               .mBurst = aOptions.mRate }
  , mIncidents(std::move(aIncidents))
  , mRandom(aOptions.mSeed)
  , mEntries(aOptions.mEntries)
{
  mMostRate = mOptions.mRate;
  for (std::size_t i = 0; i < mEntries.size(); ++i) {
    StartEntry(i);
  }
  for (const QuotaIncident& incident : mIncidents) {
    At(incident.mAtMs, [this, incident] { Begin(incident); });
  }
  StartLeader();
}

TimePoint
QuotaPlay::Now() const
{
  return TimePoint(std::chrono::seconds(1000) + std::chrono::milliseconds(mMs));
}

void
QuotaPlay::At(int aMs, std::function<void()> aCall)
{
  mCalls.emplace(aMs, std::move(aCall));
}

void
QuotaPlay::StartEntry(std::size_t aEntry)
{
  mEntries[aEntry] = Entry{ .mLife = ++mLives };
  At(mMs + static_cast<int>(mRandom() % kReportMs),
     [this, aEntry] { MeetLeader(aEntry); });
}

void
QuotaPlay::MeetLeader(std::size_t aEntry)
{
  Entry& entry = mEntries[aEntry];
  entry.mKnowsLeader = mLeader != nullptr;
  SendToLeader(aEntry, entry.mGate.AskAgain());
  Report(aEntry);
}

void
QuotaPlay::StartLeader()
{
  ++mLeaders;
  mLeader = std::make_unique<QuotaBank>(
    QuotaBounds{ .mOvershoot = 0.1, .mSlack = mOptions.mSlack },
    mLeaders,
    mLeaders,
    mCommitted,
    Now());
  std::vector<Address> entries;
  for (std::size_t i = 0; i < mEntries.size(); ++i) {
    entries.push_back(AddressOf(i));
    At(mMs + static_cast<int>(mRandom() % kReportMs),
       [this, i] { MeetLeader(i); });
  }
  mLeader->UseEntries(entries, Now());
  UseSettings();
}

void
QuotaPlay::UseSettings()
{
  if (mLeader) {
    mLeader->Use(mKnown ? std::vector{ mCustomer } : std::vector<Customer>{},
                 Now());
  }
}

std::vector<std::size_t>
QuotaPlay::Draw(double aShare)
{
  std::vector<std::size_t> drawn;
  for (std::size_t i = 0; i < mEntries.size(); ++i) {
    if (static_cast<double>(mRandom() % 1000) < aShare * 1000) {
      drawn.push_back(i);
    }
  }
  return drawn;
}

void
QuotaPlay::Begin(const QuotaIncident& aIncident)
{
  const int end = mMs + aIncident.mForMs;
  switch (aIncident.mFault) {
    case QuotaFault::kFlood:
      mTimes = aIncident.mTimes;
      At(end, [this] { mTimes = 1.0; });
      return;
    case QuotaFault::kLeaderLost:
      mLeader.reset();
      At(end, [this] { StartLeader(); });
      return;
    case QuotaFault::kLeaderSlow:
      mAnswerDelay = aIncident.mForMs;
      At(mMs + static_cast<int>(aIncident.mTimes * 1000),
         [this] { mAnswerDelay = 0; });
      return;
    case QuotaFault::kEntriesRestart:
      for (const std::size_t entry : Draw(aIncident.mTimes)) {
        StartEntry(entry);
      }
      return;
    case QuotaFault::kEntriesCut:
      for (const std::size_t entry : Draw(aIncident.mTimes)) {
        mEntries[entry].mCutUntil = end;
      }
      return;
    case QuotaFault::kEntriesFrozen:
      for (const std::size_t entry : Draw(aIncident.mTimes)) {
        mEntries[entry].mFrozenUntil = end;
      }
      return;
    case QuotaFault::kUpstreamsDown:
      mDownUntil = end;
      return;
    case QuotaFault::kLimitChanged:
      mCustomer.mRatePerSecond = aIncident.mTimes * mOptions.mRate;
      mCustomer.mBurst = mCustomer.mRatePerSecond;
      mMostRate = std::max(mMostRate, mCustomer.mRatePerSecond);
      UseSettings();
      return;
    case QuotaFault::kCustomerRemoved:
      mKnown = false;
      UseSettings();
      At(end, [this] {
        mKnown = true;
        UseSettings();
      });
      return;
  }
}

void
QuotaPlay::SendToLeader(std::size_t aEntry, const QuotaAsk& aAsk)
{
  if (!mEntries[aEntry].mKnowsLeader) {
    return;
  }
  At(mMs + kDelayMs, [this, aEntry, aAsk] {
    if (mLeader && mEntries[aEntry].mCutUntil <= mMs) {
      SendGrant(aEntry, mLeader->Ask(AddressOf(aEntry), aAsk, Now()));
      CommitFloors();
    }
  });
}

void
QuotaPlay::SendGrant(std::size_t aEntry, const QuotaGrant& aGrant)
{
  SendToEntry(aEntry, [this, aEntry, aGrant](Entry& aOne) {
    Decide(aEntry, aOne.mGate.TakeGrant(aGrant));
  });
}

void
QuotaPlay::Report(std::size_t aEntry)
{
  const QuotaLease held = mEntries[aEntry].mGate.Lease();
  if (!mEntries[aEntry].mKnowsLeader) {
    return;
  }
  At(mMs + kDelayMs, [this, aEntry, held] {
    if (mLeader && mEntries[aEntry].mCutUntil <= mMs) {
      const QuotaLease lease = mLeader->Renew(AddressOf(aEntry), held, Now());
      SendToEntry(aEntry, [this, aEntry, lease](Entry& aOne) {
        if (aOne.mGate.TakeLease(lease, Now())) {
          Report(aEntry);
        }
      });
    }
  });
}

void
QuotaPlay::SendToEntry(std::size_t aEntry, std::function<void(Entry&)> aTake)
{
  At(mMs + kDelayMs + mAnswerDelay,
     [this, aEntry, life = mEntries[aEntry].mLife, take = std::move(aTake)] {
       Deliver(aEntry, life, take);
     });
}

/** What comes to an entry that stands still is read once it goes on. */
void
QuotaPlay::Deliver(std::size_t aEntry,
                   std::uint64_t aLife,
                   const std::function<void(Entry&)>& aTake)
{
  Entry& entry = mEntries[aEntry];
  if (entry.mLife != aLife || entry.mCutUntil > mMs) {
    return;
  }
  if (entry.mFrozenUntil > mMs) {
    At(entry.mFrozenUntil,
       [this, aEntry, aLife, aTake] { Deliver(aEntry, aLife, aTake); });
    return;
  }
  aTake(entry);
}

// A proposal of a leader that is lost meanwhile may be committed or not.
void
QuotaPlay::CommitFloors()
{
  for (const QuotaAnswerTo& answer : mLeader->TakeAnswered(Now())) {
    SendGrant(answer.mTo.mPort - kFirstPort, answer.mGrant);
  }
  const auto floors = mLeader->Due(Now());
  if (!floors) {
    return;
  }
  At(mMs + kCommitMs, [this, floors, leader = mLeaders] {
    const bool lost = !mLeader || mLeaders != leader;
    if ((lost && mRandom() % 2 == 0) || floors->mNumber <= mCommitted.mNumber) {
      return;
    }
    // An election commits what is under way first.
    if (mLeader && mLeaders != leader) {
      return;
    }
    mCommitted = *floors;
    if (mLeader) {
      mLeader->TakeCommitted(mCommitted);
      CommitFloors();
    }
  });
}

void
QuotaPlay::TickEntries()
{
  for (std::size_t i = 0; i < mEntries.size(); ++i) {
    if (mEntries[i].mFrozenUntil > mMs) {
      continue;
    }
    Decide(i, mEntries[i].mGate.Tick(Now()));
    if (const auto returns = mEntries[i].mGate.TakeReturns()) {
      SendToLeader(i, *returns);
    }
    if ((mMs + static_cast<int>(i) * kTickMs) % kReportMs == 0) {
      Report(i);
    }
  }
}

void
QuotaPlay::TickLeader()
{
  if (mLeader) {
    CommitFloors();
  }
}

// Prompts differ widely in length: most are short, a few are very long.
double
QuotaPlay::DrawUnits()
{
  std::lognormal_distribution<double> units(8.6, 0.9);
  return std::clamp(std::round(units(mRandom)), 1300.0, 32000.0);
}

void
QuotaPlay::AskFor(double aUnits, bool aAgain)
{
  const std::size_t which = mRandom() % mEntries.size();
  Entry& entry = mEntries[which];
  Request request{ .mUnits = aUnits, .mSentAt = mMs, .mAgain = aAgain };
  if (!mKnown || entry.mFrozenUntil > mMs) {
    return;
  }
  if (mTimes == 1.0 && !aAgain) {
    ++mCalm;
  }
  const QuotaAnswer answer = entry.mGate.Take(mCustomer, aUnits, Now());
  switch (answer.mOutcome) {
    case QuotaOutcome::kGranted:
      request.mReceipt = answer.mReceipt;
      OnGranted(which, request);
      return;
    case QuotaOutcome::kRefused:
      OnRefused(request, answer.mComeBack);
      return;
    case QuotaOutcome::kAsked:
      entry.mPending.emplace(answer.mTag, request);
      SendToLeader(which, answer.mAsk);
      return;
  }
}

void
QuotaPlay::Decide(std::size_t aEntry, const std::vector<QuotaDecided>& aDecided)
{
  Entry& entry = mEntries[aEntry];
  for (const QuotaDecided& one : aDecided) {
    const auto found = entry.mPending.find(one.mTag);
    if (found == entry.mPending.end()) {
      continue;
    }
    Request request = found->second;
    request.mReceipt = one.mReceipt;
    entry.mPending.erase(found);
    if (one.mGranted) {
      OnGranted(aEntry, request);
    } else {
      OnRefused(request, one.mComeBack);
    }
  }
}

void
QuotaPlay::OnGranted(std::size_t aEntry, const Request& aRequest)
{
  if (mMs < mDownUntil) {
    mEntries[aEntry].mGate.GiveBack(
      mCustomer, aRequest.mUnits, aRequest.mReceipt, Now());
    return;
  }
  mRan[aRequest.mSentAt][mMs] += aRequest.mUnits;
}

void
QuotaPlay::OnRefused(const Request& aRequest, Duration aComeBack)
{
  if (aRequest.mAgain) {
    mCalmRefused += mTimes == 1.0 ? 1 : 0;
    return;
  }
  const int wait = static_cast<int>(aComeBack.count() / 1000);
  At(mMs + std::clamp(wait, kStepMs, 4000),
     [this, units = aRequest.mUnits] { AskFor(units, true); });
}

QuotaPlayResult
QuotaPlay::Run()
{
  for (; mMs < mOptions.mForMs; mMs += kStepMs) {
    while (!mCalls.empty() && mCalls.begin()->first <= mMs) {
      auto call = std::move(mCalls.begin()->second);
      mCalls.erase(mCalls.begin());
      call();
    }
    if (mMs % kTickMs == 0) {
      TickEntries();
      TickLeader();
    }
    mDue += mTimes * mOptions.mRate / kHeadroom * kStepMs / 1000;
    while (mDue > 0.0) {
      const double units = DrawUnits();
      mDue -= units;
      AskFor(units, false);
    }
  }
  return Measure();
}

QuotaPlayResult
QuotaPlay::Measure() const
{
  const double allowed =
    (mMostRate * kWindowMs / 1000 + mMostRate) * 1.1 + mOptions.mSlack;
  QuotaPlayResult result{ .mCalm = mCalm, .mCalmRefused = mCalmRefused };
  for (const auto& [from, unused] : mRan) {
    double sum = 0.0;
    const auto end = mRan.upper_bound(from + kWindowMs);
    for (auto sent = mRan.lower_bound(from); sent != end; ++sent) {
      for (const auto& [ran, units] : sent->second) {
        sum += ran <= from + kWindowMs ? units : 0.0;
      }
    }
    if (sum / allowed > result.mWorst) {
      result.mWorst = sum / allowed;
      result.mWorstAtMs = from;
    }
  }
  return result;
}

} // namespace peridotspool::gateway
