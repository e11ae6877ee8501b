#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace peridotspool::wire {

inline constexpr std::size_t kNonceBytes = 16;
inline constexpr std::size_t kProofBytes = 32;
inline constexpr std::size_t kFrameTagBytes = 16;

/** Which side of a connection a process is on. */
enum class PeerRole
{
  kClient,
  kServer,
};

/** Returns fresh random bytes from the system's generator. */
std::string
MakeNonce();

/** What both sides know of one connection before it is authenticated. */
struct HandshakeTerms
{
  std::string mClientNonce;
  std::string mServerNonce;
  /** Where the client itself listens, "host:port". */
  std::string mClientListen;
};

/** Proves that `aRole` holds the shared key, bound to this handshake. */
std::string
MakeProof(std::string_view aKey, PeerRole aRole, const HandshakeTerms& aTerms);

/** Returns the key of this connection's frames. */
std::string
MakeSessionKey(std::string_view aKey, const HandshakeTerms& aTerms);

/**
 * Returns the tag of a frame: bound to the session, the sender's role and the
 * frame's number, so that none can be replayed, reordered or reflected.
 */
std::string
MakeFrameTag(std::string_view aSessionKey,
             PeerRole aSender,
             std::uint64_t aNumber,
             std::string_view aPayload);

/** Compares in constant time. */
bool
SameBytes(std::string_view aLeft, std::string_view aRight);

std::string
ToHex(std::string_view aBytes);
/** Returns the bytes, or nothing at all if it is not hexadecimal. */
std::string
FromHex(std::string_view aText);

} // namespace peridotspool::wire
