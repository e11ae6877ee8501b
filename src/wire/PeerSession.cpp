#include "peridotspool/wire/PeerSession.h"

#include "peridotspool/base/Invariant.h"
#include "wire/FrameReader.h"

#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <utility>

namespace peridotspool::wire {

namespace {

// Ledger copies can be megabytes; a small window would make each of them wait
// for several round trips.
constexpr std::int32_t kWindowBytes = 16 << 20;

constexpr std::string_view kNonceField = "x-nonce";
constexpr std::string_view kProofField = "x-proof";
constexpr std::string_view kListenField = "x-listen";

nghttp2_nv
Field(std::string_view aName, std::string_view aValue)
{
  return nghttp2_nv{
    .name = reinterpret_cast<uint8_t*>(const_cast<char*>(aName.data())),
    .value = reinterpret_cast<uint8_t*>(const_cast<char*>(aValue.data())),
    .namelen = aName.size(),
    .valuelen = aValue.size(),
    .flags = NGHTTP2_NV_FLAG_NONE,
  };
}

PeerRole
Other(PeerRole aRole)
{
  return aRole == PeerRole::kClient ? PeerRole::kServer : PeerRole::kClient;
}

} // namespace

/**
 * Handshake: the client opens the stream with its nonce and listening address;
 * the server answers with its nonce and proof; the client's proof is the first
 * thing on the stream; frames follow in both directions.
 */
class PeerSession::Impl
{
public:
  explicit Impl(PeerSessionOptions aOptions)
    : mOptions(std::move(aOptions))
    , mReader(Other(mOptions.mRole), mOptions.mMaxFrameBytes)
  {
    StartSession();
    if (mOptions.mRole == PeerRole::kClient) {
      OpenStream();
    }
  }

  ~Impl() { nghttp2_session_del(mSession); }

  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  bool Receive(std::string_view aBytes,
               std::vector<std::string>& aFrames,
               LastReason& aReason)
  {
    mFrames = &aFrames;
    const auto taken = nghttp2_session_mem_recv(
      mSession, reinterpret_cast<const uint8_t*>(aBytes.data()), aBytes.size());
    mFrames = nullptr;
    if (taken < 0) {
      aReason.Set(nghttp2_strerror(static_cast<int>(taken)));
      return false;
    }
    if (mFailure.IsSet()) {
      aReason = mFailure;
      return false;
    }
    return true;
  }

  void Queue(std::string aFrame)
  {
    if (!mAuthenticated) {
      mWaitingBytes += aFrame.size();
      mWaiting.push_back(std::move(aFrame));
      return;
    }
    Append(WriteFrame(mSessionKey, mOptions.mRole, mNextNumber, aFrame));
    ++mNextNumber;
  }

  std::string TakeOutput()
  {
    std::string output;
    const uint8_t* bytes = nullptr;
    for (;;) {
      const auto size = nghttp2_session_mem_send(mSession, &bytes);
      if (size <= 0) {
        return output;
      }
      output.append(reinterpret_cast<const char*>(bytes),
                    static_cast<std::size_t>(size));
    }
  }

  bool Authenticated() const { return mAuthenticated; }
  const std::string& PeerListen() const { return mPeerListen; }
  std::size_t HeldBytes() const { return mReader.HeldBytes(); }
  std::size_t QueuedBytes() const
  {
    return mWaitingBytes + mOutgoing.size() - mOutgoingTaken;
  }

private:
  void StartSession()
  {
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, OnHeader);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, OnFrame);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks,
                                                              OnData);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, OnClose);
    const int made = mOptions.mRole == PeerRole::kClient
                       ? nghttp2_session_client_new(&mSession, callbacks, this)
                       : nghttp2_session_server_new(&mSession, callbacks, this);
    nghttp2_session_callbacks_del(callbacks);
    PERIDOTSPOOL_INVARIANT(made == 0);
    const std::array<nghttp2_settings_entry, 2> settings{
      { { NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, kWindowBytes },
        { NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, 1 } }
    };
    nghttp2_submit_settings(
      mSession, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
    nghttp2_session_set_local_window_size(
      mSession, NGHTTP2_FLAG_NONE, 0, kWindowBytes);
  }

  void OpenStream()
  {
    mTerms.mClientNonce = MakeNonce();
    mTerms.mClientListen = mOptions.mOwnListen;
    const std::string nonce = ToHex(mTerms.mClientNonce);
    const std::array<nghttp2_nv, 6> fields{ {
      Field(":method", "POST"),
      Field(":scheme", "http"),
      Field(":path", "/peer"),
      Field(":authority", "peer"),
      Field(kNonceField, nonce),
      Field(kListenField, mTerms.mClientListen),
    } };
    nghttp2_data_provider provider = DataProvider();
    mStream = nghttp2_submit_request(
      mSession, nullptr, fields.data(), fields.size(), &provider, nullptr);
    PERIDOTSPOOL_INVARIANT(mStream > 0);
  }

  nghttp2_data_provider DataProvider()
  {
    nghttp2_data_provider provider{};
    provider.source.ptr = this;
    provider.read_callback = ReadOutgoing;
    return provider;
  }

  void Append(const std::string& aBytes)
  {
    mOutgoing += aBytes;
    nghttp2_session_resume_data(mSession, mStream);
  }

  void OnRequestHead()
  {
    if (mTerms.mClientNonce.size() != kNonceBytes) {
      mFailure.Set("peer sent no valid nonce");
      return;
    }
    mTerms.mServerNonce = MakeNonce();
    const std::string nonce = ToHex(mTerms.mServerNonce);
    const std::string proof =
      ToHex(MakeProof(mOptions.mSharedKey, PeerRole::kServer, mTerms));
    const std::array<nghttp2_nv, 3> fields{ {
      Field(":status", "200"),
      Field(kNonceField, nonce),
      Field(kProofField, proof),
    } };
    nghttp2_data_provider provider = DataProvider();
    nghttp2_submit_response(
      mSession, mStream, fields.data(), fields.size(), &provider);
  }

  void OnResponseHead()
  {
    const std::string expected =
      MakeProof(mOptions.mSharedKey, PeerRole::kServer, mTerms);
    if (!SameBytes(mPeerProof, expected)) {
      mFailure.Set("server does not hold the shared key");
      return;
    }
    Append(MakeProof(mOptions.mSharedKey, PeerRole::kClient, mTerms));
    BecomeAuthenticated();
  }

  void OnClientProof()
  {
    const std::string expected =
      MakeProof(mOptions.mSharedKey, PeerRole::kClient, mTerms);
    if (!SameBytes(mPeerProof, expected)) {
      mFailure.Set("client does not hold the shared key");
      return;
    }
    mPeerListen = mTerms.mClientListen;
    BecomeAuthenticated();
  }

  void BecomeAuthenticated()
  {
    mSessionKey = MakeSessionKey(mOptions.mSharedKey, mTerms);
    mReader.SetSessionKey(mSessionKey);
    mAuthenticated = true;
    std::vector<std::string> waiting = std::move(mWaiting);
    mWaiting.clear();
    mWaitingBytes = 0;
    for (std::string& frame : waiting) {
      Queue(std::move(frame));
    }
  }

  void OnBytes(std::string_view aBytes)
  {
    if (mFailure.IsSet()) {
      return;
    }
    if (!mAuthenticated && mOptions.mRole == PeerRole::kServer) {
      const std::size_t missing = kProofBytes - mPeerProof.size();
      mPeerProof.append(aBytes.substr(0, missing));
      aBytes.remove_prefix(std::min(missing, aBytes.size()));
      if (mPeerProof.size() < kProofBytes) {
        return;
      }
      OnClientProof();
    }
    if (mAuthenticated) {
      mReader.Read(aBytes, *mFrames, mFailure);
    } else if (!mFailure.IsSet()) {
      mFailure.Set("peer sent data before its proof");
    }
  }

  void OnHeaderField(std::string_view aName, std::string_view aValue)
  {
    if (aName == kNonceField) {
      std::string& nonce = mOptions.mRole == PeerRole::kServer
                             ? mTerms.mClientNonce
                             : mTerms.mServerNonce;
      nonce = FromHex(aValue);
    } else if (aName == kProofField) {
      mPeerProof = FromHex(aValue);
    } else if (aName == kListenField) {
      mTerms.mClientListen = aValue;
    }
  }

  static int OnHeader(nghttp2_session* /*aSession*/,
                      const nghttp2_frame* /*aFrame*/,
                      const uint8_t* aName,
                      size_t aNameSize,
                      const uint8_t* aValue,
                      size_t aValueSize,
                      uint8_t /*aFlags*/,
                      void* aUser)
  {
    const std::string_view name(reinterpret_cast<const char*>(aName),
                                aNameSize);
    const std::string_view value(reinterpret_cast<const char*>(aValue),
                                 aValueSize);
    static_cast<Impl*>(aUser)->OnHeaderField(name, value);
    return 0;
  }

  static int OnFrame(nghttp2_session* /*aSession*/,
                     const nghttp2_frame* aFrame,
                     void* aUser)
  {
    auto* self = static_cast<Impl*>(aUser);
    if (aFrame->hd.type != NGHTTP2_HEADERS) {
      return 0;
    }
    if (self->mHeadSeen) {
      // A second head could swap the nonces that the session key stands on.
      self->mFailure.Set("peer sent a second head");
      return 0;
    }
    self->mHeadSeen = true;
    if (self->mOptions.mRole == PeerRole::kServer) {
      self->mStream = aFrame->hd.stream_id;
      self->OnRequestHead();
    } else {
      self->OnResponseHead();
    }
    return 0;
  }

  static int OnData(nghttp2_session* /*aSession*/,
                    uint8_t /*aFlags*/,
                    int32_t /*aStream*/,
                    const uint8_t* aBytes,
                    size_t aSize,
                    void* aUser)
  {
    static_cast<Impl*>(aUser)->OnBytes(
      std::string_view(reinterpret_cast<const char*>(aBytes), aSize));
    return 0;
  }

  static int OnClose(nghttp2_session* /*aSession*/,
                     int32_t /*aStream*/,
                     uint32_t /*aError*/,
                     void* aUser)
  {
    static_cast<Impl*>(aUser)->mFailure.Set("peer closed the stream");
    return 0;
  }

  static ssize_t ReadOutgoing(nghttp2_session* /*aSession*/,
                              int32_t /*aStream*/,
                              uint8_t* aBuffer,
                              size_t aSize,
                              uint32_t* /*aFlags*/,
                              nghttp2_data_source* aSource,
                              void* /*aUser*/)
  {
    auto* self = static_cast<Impl*>(aSource->ptr);
    const std::size_t left = self->mOutgoing.size() - self->mOutgoingTaken;
    if (left == 0) {
      self->mOutgoing.clear();
      self->mOutgoingTaken = 0;
      return NGHTTP2_ERR_DEFERRED;
    }
    const std::size_t size = std::min(left, aSize);
    std::memcpy(aBuffer, self->mOutgoing.data() + self->mOutgoingTaken, size);
    self->mOutgoingTaken += size;
    return static_cast<ssize_t>(size);
  }

  PeerSessionOptions mOptions;
  nghttp2_session* mSession = nullptr;
  std::int32_t mStream = 0;
  HandshakeTerms mTerms;
  std::string mPeerProof;
  std::string mPeerListen;
  std::string mSessionKey;
  bool mHeadSeen = false;
  bool mAuthenticated = false;
  LastReason mFailure;
  FrameReader mReader;
  std::vector<std::string>* mFrames = nullptr;
  std::vector<std::string> mWaiting;
  std::size_t mWaitingBytes = 0;
  std::string mOutgoing;
  std::size_t mOutgoingTaken = 0;
  std::uint64_t mNextNumber = 0;
};

PeerSession::PeerSession(PeerSessionOptions aOptions)
  : mImpl(std::make_unique<Impl>(std::move(aOptions)))
{
}

PeerSession::~PeerSession() = default;

bool
PeerSession::Receive(std::string_view aBytes,
                     std::vector<std::string>& aFrames,
                     LastReason& aReason)
{
  return mImpl->Receive(aBytes, aFrames, aReason);
}

void
PeerSession::Queue(std::string aFrame)
{
  mImpl->Queue(std::move(aFrame));
}

std::string
PeerSession::TakeOutput()
{
  return mImpl->TakeOutput();
}

bool
PeerSession::Authenticated() const
{
  return mImpl->Authenticated();
}

const std::string&
PeerSession::PeerListen() const
{
  return mImpl->PeerListen();
}

std::size_t
PeerSession::QueuedBytes() const
{
  return mImpl->QueuedBytes();
}

std::size_t
PeerSession::HeldBytes() const
{
  return mImpl->HeldBytes();
}

} // namespace peridotspool::wire
