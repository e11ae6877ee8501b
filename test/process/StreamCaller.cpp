#include "process/StreamCaller.h"

#include "http/Eventually.h"
#include "process/SystemFiles.h"

#include <catch2/catch.hpp>

namespace peridotspool::test {

using fakes::ParseObject;
using fakes::TextOf;

namespace {

constexpr std::chrono::seconds kPatience{ 30 };
constexpr std::chrono::milliseconds kSilence{ 3000 };
constexpr std::chrono::milliseconds kRetryDelay{ 50 };

bool
IsToAskAgain(const std::string& aReason)
{
  return aReason == "moved" || aReason == "not-confirmed" ||
         aReason == "no-such-request";
}

} // namespace

StreamCaller::StreamCaller(std::string aKey,
                           std::string aPrompt,
                           std::uint64_t aTokens)
  : mClient({ .mSilenceTimeout = kSilence },
            [this](auto aCall, auto aEvent) { OnEvent(aCall, aEvent); })
{
  mRequest.mKey = std::move(aKey);
  mRequest.mTokens = aTokens;
  mRequest.mBody = { { "prompt", std::move(aPrompt) },
                     { "max_tokens", aTokens } };
}

void
StreamCaller::Connect(const Address& aEntry)
{
  std::unique_lock lock(mMutex);
  mClient.Cancel(mCall);
  mConnected = true;
  mRequest.mStatus = 0;
  mRequest.mAnswer.clear();
  mRequest.mParser = http::SseParser();
  const http::ClientCallId call = ++mCall;
  http::HttpRequest request = Request();
  lock.unlock();
  mClient.Start(call, aEntry, std::move(request));
}

http::HttpRequest
StreamCaller::Request() const
{
  http::HttpRequest request;
  request.mHeaders = { { "authorization",
                         "Bearer " + std::string(kCustomerKey) },
                       { "accept", "text/event-stream" } };
  if (mRequest.mAccepted) {
    request.mMethod = "GET";
    request.mPath = "/v1/requests/" + mRequest.mKey;
    if (!mRequest.mLastId.empty()) {
      request.mHeaders["last-event-id"] = mRequest.mLastId;
    }
    return request;
  }
  request.mMethod = "POST";
  request.mPath = "/v1/services/assistant/requests";
  request.mHeaders["idempotency-key"] = mRequest.mKey;
  request.mHeaders["x-deadline-ms"] = "60000";
  request.mBody = fakes::json::serialize(mRequest.mBody);
  return request;
}

void
StreamCaller::OnEvent(http::ClientCallId aCall, const http::CallEvent& aEvent)
{
  const std::lock_guard lock(mMutex);
  if (aCall != mCall) {
    return;
  }
  if (const auto* head = std::get_if<http::CallHead>(&aEvent)) {
    mRequest.mStatus = head->mStatus;
    return;
  }
  const auto* piece = std::get_if<http::CallPiece>(&aEvent);
  if (piece == nullptr) {
    TakeRefusal();
    mConnected = false;
    return;
  }
  if (mRequest.mStatus != 200) {
    mRequest.mAnswer += piece->mBytes;
    return;
  }
  LastReason reason;
  const auto events = mRequest.mParser.Feed(piece->mBytes, reason);
  for (const http::SseEvent& event :
       events.value_or(std::vector<http::SseEvent>())) {
    OnSseEvent(event);
  }
}

void
StreamCaller::OnSseEvent(const http::SseEvent& aEvent)
{
  const auto data = ParseObject(aEvent.mData).value_or(fakes::json::object());
  if (aEvent.mName == "accepted") {
    mRequest.mAccepted = true;
  } else if (aEvent.mName == "token") {
    fakes::TakeToken(mRequest, aEvent);
  } else if (aEvent.mName == "restart") {
    ++mRestarts;
    mRequest.mText.clear();
    mRequest.mLastId = aEvent.mId.value_or("");
  } else if (aEvent.mName != "moved" && aEvent.mName != "message" &&
             !IsToAskAgain(TextOf(data, "reason"))) {
    mRequest.mOutcome = aEvent.mName;
    mFinal = data;
  }
}

/** A whole answer that is no stream: an end, or that another may know more. */
void
StreamCaller::TakeRefusal()
{
  if (mRequest.mStatus == 0 || mRequest.mStatus == 200) {
    return;
  }
  const auto answer =
    ParseObject(mRequest.mAnswer).value_or(fakes::json::object());
  if (!IsToAskAgain(TextOf(answer, "reason"))) {
    mRequest.mOutcome = "refused";
    mFinal = answer;
  }
}

bool
StreamCaller::IsConnected() const
{
  const std::lock_guard lock(mMutex);
  return mConnected;
}

void
StreamCaller::WaitForBytes(std::size_t aBytes)
{
  Eventually([&] { return Text().size() >= aBytes || !IsConnected(); },
             kPatience);
  const std::string text = Text();
  INFO(mRequest.mKey << " ended as '" << Outcome() << "' "
                     << fakes::json::serialize(mFinal));
  REQUIRE(text.size() >= aBytes);
}

bool
StreamCaller::Follow(const std::vector<Address>& aEntries,
                     const std::function<bool()>& aIsEnough)
{
  std::size_t turn = 0;
  return Eventually(
    [&] {
      if (aIsEnough()) {
        return true;
      }
      if (!IsConnected()) {
        std::this_thread::sleep_for(kRetryDelay);
        Connect(aEntries[turn++ % aEntries.size()]);
      }
      return false;
    },
    2 * kPatience);
}

void
StreamCaller::FollowToEnd(const std::vector<Address>& aEntries)
{
  const bool ended = Follow(aEntries, [&] { return !Outcome().empty(); });
  INFO(mRequest.mKey << " must end; " << Text().size() << " bytes came");
  REQUIRE(ended);
}

void
StreamCaller::FollowToBytes(std::size_t aBytes,
                            const std::vector<Address>& aEntries)
{
  const bool came = Follow(aEntries, [&] { return Text().size() >= aBytes; });
  INFO(mRequest.mKey << " must go on; " << Text().size() << " bytes came of "
                     << aBytes << ", ended as '" << Outcome() << "'");
  REQUIRE(came);
}

void
StreamCaller::RequireWholeAnswer()
{
  const std::lock_guard lock(mMutex);
  INFO(mRequest.mKey << " ended as '" << mRequest.mOutcome << "' "
                     << fakes::json::serialize(mFinal));
  REQUIRE(mRequest.mOutcome == "done");
  CHECK(mRequest.mFaults.mDoubled == 0);
  CHECK(mRequest.mFaults.mMissing == 0);
  REQUIRE(mRequest.mText == fakes::AnswerText(TextOf(mRequest.mBody, "prompt"),
                                              mRequest.mTokens));
}

std::string
StreamCaller::Text() const
{
  const std::lock_guard lock(mMutex);
  return mRequest.mText;
}

std::string
StreamCaller::Outcome() const
{
  const std::lock_guard lock(mMutex);
  return mRequest.mOutcome;
}

fakes::json::object
StreamCaller::Path() const
{
  const std::lock_guard lock(mMutex);
  const fakes::json::value* path = mFinal.if_contains("path");
  return path != nullptr && path->is_object() ? path->as_object()
                                              : fakes::json::object();
}

int
StreamCaller::Restarts() const
{
  const std::lock_guard lock(mMutex);
  return mRestarts;
}

} // namespace peridotspool::test
