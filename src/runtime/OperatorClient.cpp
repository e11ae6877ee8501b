#include "peridotspool/runtime/OperatorClient.h"

#include "http/JsonFields.h"
#include "peridotspool/base/Overloaded.h"
#include "peridotspool/http/HttpClient.h"

#include <algorithm>
#include <charconv>
#include <condition_variable>
#include <cstdlib>
#include <mutex>
#include <thread>
#include <utility>

namespace peridotspool::runtime {

namespace {

constexpr std::uint32_t kStatusMisdirected = 421;
constexpr std::uint32_t kStatusUnavailable = 503;
constexpr std::chrono::milliseconds kPause{ 200 };
/** A request that waits for something names how long in its query. */
constexpr const char* kWaitParameter = "wait_ms";

std::optional<Address>
ParseAddress(const std::string& aText)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string::npos || colon == 0) {
    return std::nullopt;
  }
  std::uint16_t port = 0;
  const char* end = aText.data() + aText.size();
  const auto [stop, error] =
    std::from_chars(aText.data() + colon + 1, end, port);
  if (error != std::errc() || stop != end || port == 0) {
    return std::nullopt;
  }
  return Address{ .mHost = aText.substr(0, colon), .mPort = port };
}

/** Returns the leader that an answer names, if it names one. */
std::optional<Address>
LeaderOf(const http::HttpResponse& aResponse)
{
  const auto data = http::ParseJson(aResponse.mBody);
  const auto* fields = data ? data->if_object() : nullptr;
  const auto text =
    fields != nullptr ? http::TextField(*fields, "leader") : std::nullopt;
  return text ? ParseAddress(*text) : std::nullopt;
}

} // namespace

std::optional<std::vector<Address>>
ParseAddresses(const std::string& aText, LastReason& aReason)
{
  std::vector<Address> addresses;
  std::size_t from = 0;
  while (from < aText.size()) {
    const std::size_t comma = std::min(aText.find(',', from), aText.size());
    const auto address = ParseAddress(aText.substr(from, comma - from));
    if (!address) {
      aReason.Set("not an address (IP:port): " +
                  aText.substr(from, comma - from));
      return std::nullopt;
    }
    addresses.push_back(*address);
    from = comma + 1;
  }
  return addresses;
}

/** One call at a time, waited for. */
class OperatorClient::Calls
{
public:
  Calls()
    : mClient(http::HttpClientOptions{},
              [this](http::ClientCallId aCall, const http::CallEvent& aEvent) {
                Take(aCall, aEvent);
              })
  {
  }

  std::optional<http::HttpResponse> Run(const Address& aPeer,
                                        http::HttpRequest aRequest,
                                        std::chrono::milliseconds aSilence,
                                        LastReason& aReason)
  {
    std::unique_lock lock(mMutex);
    mResponse = http::HttpResponse{};
    mFailure.clear();
    mOver = false;
    mClient.Start(++mCall, aPeer, std::move(aRequest), aSilence);
    mChanged.wait(lock, [this] { return mOver; });
    if (!mFailure.empty()) {
      aReason.Set(ToText(aPeer) + ": " + mFailure);
      return std::nullopt;
    }
    return mResponse;
  }

private:
  void Take(http::ClientCallId aCall, const http::CallEvent& aEvent)
  {
    const std::lock_guard lock(mMutex);
    if (aCall != mCall) {
      return;
    }
    std::visit(Overloaded{ [this](const http::CallHead& aHead) {
                            mResponse.mStatus = aHead.mStatus;
                            mResponse.mHeaders = aHead.mHeaders;
                          },
                           [this](const http::CallPiece& aPiece) {
                             mResponse.mBody += aPiece.mBytes;
                           },
                           [this](const http::CallDone&) { mOver = true; },
                           [this](const http::CallFailed& aFailed) {
                             mFailure = aFailed.mReason;
                             mOver = true;
                           } },
               aEvent);
    mChanged.notify_all();
  }

  std::mutex mMutex;
  std::condition_variable mChanged;
  http::ClientCallId mCall = 0;
  http::HttpResponse mResponse;
  std::string mFailure;
  bool mOver = false;
  // Last: its thread uses the members above.
  http::HttpClient mClient;
};

OperatorClient::OperatorClient(OperatorClientOptions aOptions)
  : mOptions(std::move(aOptions))
  , mCalls(std::make_unique<Calls>())
{
}

OperatorClient::~OperatorClient() = default;

std::optional<http::HttpResponse>
OperatorClient::Ask(const Address& aPeer,
                    http::HttpRequest aRequest,
                    LastReason& aReason)
{
  aRequest.mHeaders["authorization"] = "Bearer " + mOptions.mKey;
  // A frozen replica accepts connections and says nothing: an operator must
  // not wait for it while another could answer.
  std::chrono::milliseconds silence = mOptions.mSilence;
  const auto wait = aRequest.mQuery.find(kWaitParameter);
  if (wait != aRequest.mQuery.end()) {
    silence += std::chrono::milliseconds(std::atol(wait->second.c_str()));
  }
  return mCalls->Run(aPeer, std::move(aRequest), silence, aReason);
}

std::optional<http::HttpResponse>
OperatorClient::AskEntry(const http::HttpRequest& aRequest, LastReason& aReason)
{
  aReason.Set("no entry's address is given (--entries)");
  for (const Address& entry : mOptions.mEntries) {
    if (auto response = Ask(entry, aRequest, aReason)) {
      return response;
    }
  }
  return std::nullopt;
}

std::vector<http::HttpResponse>
OperatorClient::AskEveryEntry(const http::HttpRequest& aRequest)
{
  std::vector<http::HttpResponse> responses;
  for (const Address& entry : mOptions.mEntries) {
    LastReason ignored;
    if (auto response = Ask(entry, aRequest, ignored)) {
      responses.push_back(std::move(*response));
    }
  }
  return responses;
}

std::optional<http::HttpResponse>
OperatorClient::AskControl(const http::HttpRequest& aRequest,
                           LastReason& aReason)
{
  aReason.Set("no control replica's address is given (--control)");
  if (mOptions.mControls.empty()) {
    return std::nullopt;
  }
  const auto giveUpAt =
    std::chrono::steady_clock::now() + mOptions.mRetryTimeout;
  std::size_t next = 0;
  std::optional<Address> leader;
  do {
    const Address peer =
      leader.value_or(mOptions.mControls[next++ % mOptions.mControls.size()]);
    auto response = Ask(peer, aRequest, aReason);
    const bool unsure = !response || response->mStatus == kStatusMisdirected ||
                        response->mStatus == kStatusUnavailable;
    if (!unsure) {
      return response;
    }
    const bool hinted =
      response && LeaderOf(*response) && LeaderOf(*response) != leader;
    leader = hinted ? LeaderOf(*response) : std::nullopt;
    if (!hinted) {
      aReason.Set("no control replica leads now");
      std::this_thread::sleep_for(kPause);
    }
  } while (std::chrono::steady_clock::now() < giveUpAt);
  return std::nullopt;
}

} // namespace peridotspool::runtime
