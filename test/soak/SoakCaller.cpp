#include "soak/SoakCaller.h"

#include <boost/json.hpp>

#include <algorithm>

namespace peridotspool::soak {

namespace {

constexpr Ms kListKept{ 2000 };
constexpr Ms kPause{ 40 };
constexpr Ms kSilence{ 3500 };
/** The last number of an entry's address is its machine's. */
int
MachineOf(const std::string& aHost)
{
  return std::stoi(aHost.substr(aHost.rfind('.') + 1));
}

Ms
DeadlineOf(Kind aKind)
{
  return IsStream(aKind) ? Ms(4000) : Ms(2000);
}

} // namespace

SoakCaller::SoakCaller(const Places& aPlaces, int aNumber, Recorder& aRecorder)
  : mPlaces(aPlaces)
  , mNumber(aNumber)
  , mRecorder(aRecorder)
  , mRandom(static_cast<std::uint64_t>(aNumber))
  , mThread([this] { Run(); })
{
}

SoakCaller::~SoakCaller()
{
  mRunning = false;
  mThread.join();
}

void
SoakCaller::Run()
{
  while (mRunning) {
    if (mEntries.empty() || Clock::now() - mResolvedAt > kListKept) {
      Resolve();
    }
    if (!mEntries.empty()) {
      SendOne();
    }
    std::this_thread::sleep_for(kPause);
  }
}

void
SoakCaller::Resolve()
{
  const auto first = static_cast<int>(mRandom() % kControls);
  for (int i = 0; i < kControls; ++i) {
    const auto answer = CallOnce(
      mPlaces.Own((first + i) % kControls + 1),
      kDirectoryPort,
      RequestText("GET",
                  std::string("/resolve?name=") + kHost + "&region=r&zone=d" +
                    std::to_string(mNumber % kDomains),
                  "",
                  ""),
      Ms(700));
    boost::system::error_code error;
    if (!answer || answer->mStatus != 200) {
      continue;
    }
    const auto body = boost::json::parse(answer->mBody, error);
    mEntries.clear();
    for (const auto& entry : body.as_object().at("addresses").as_array()) {
      const std::string address(entry.as_string());
      mEntries.push_back(address.substr(0, address.find(':')));
    }
    mResolvedAt = Clock::now();
    const bool listed =
      std::find(mEntries.begin(), mEntries.end(), mEntry) != mEntries.end();
    if (!listed) {
      mWire.reset();
    }
    return;
  }
}

bool
SoakCaller::Connect()
{
  mEntry = mEntries[mRandom() % mEntries.size()];
  mWire = Wire::Connect(mEntry, kCallerPort, Ms(1000));
  if (!mWire) {
    // It has failed this caller; the next list may name it again.
    std::erase(mEntries, mEntry);
  }
  return mWire.has_value();
}

SeenRequest
SoakCaller::Draw()
{
  return { .mId = "c" + std::to_string(mNumber) + "-" + std::to_string(++mSent),
           .mKind = static_cast<Kind>(mRandom() % 4),
           .mMachine = MachineOf(mEntry) };
}

void
SoakCaller::SendOne()
{
  if (!mWire && !Connect()) {
    return;
  }
  SeenRequest seen = Draw();
  const std::string request = RequestText(
    seen.mKind == Kind::kSafe ? "GET" : "POST",
    std::string("/") + NameOf(seen.mKind) + "/x",
    "Peridotspool-Request-Id: " + seen.mId + "\r\nPeridotspool-Deadline-Ms: " +
      std::to_string(DeadlineOf(seen.mKind).count()) + "\r\n",
    "");
  seen.mSentAt = Clock::now();
  HttpText answer;
  if (mWire->Send(request)) {
    answer = mWire->ReadAnswer(DeadlineOf(seen.mKind) + Ms(700), kSilence);
    seen.mEnding = answer.mWhole ? Ending::kAnswered : Ending::kCut;
  }
  seen.mEndedAt = Clock::now();
  seen.mStatus = answer.mStatus;
  seen.mHasProof = !answer.Field("peridotspool-response-stamp").empty();
  seen.mHasRetryAfter = !answer.Field("retry-after").empty();
  seen.mBody = std::move(answer.mBody);
  if (!answer.mWhole || !answer.mKeepAlive) {
    mWire.reset();
  }
  mRecorder.With(
    [&](Record& aRecord) { aRecord.mRequests.push_back(std::move(seen)); });
}

} // namespace peridotspool::soak
