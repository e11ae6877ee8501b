#include "peridotspool/wire/PeerAuth.h"

#include "peridotspool/base/Invariant.h"

#include <boost/algorithm/hex.hpp>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <iterator>

namespace peridotspool::wire {

namespace {

std::string
Hmac(std::string_view aKey, std::string_view aText)
{
  std::string digest(kProofBytes, '\0');
  unsigned int size = 0;
  const unsigned char* made =
    HMAC(EVP_sha256(),
         aKey.data(),
         static_cast<int>(aKey.size()),
         reinterpret_cast<const unsigned char*>(aText.data()),
         aText.size(),
         reinterpret_cast<unsigned char*>(digest.data()),
         &size);
  PERIDOTSPOOL_INVARIANT(made != nullptr && size == kProofBytes);
  return digest;
}

const char*
RoleText(PeerRole aRole)
{
  return aRole == PeerRole::kClient ? "client" : "server";
}

std::string
JoinTerms(const HandshakeTerms& aTerms)
{
  // Nonces have a fixed length, so the parts can't be shifted into each other.
  return aTerms.mClientNonce + aTerms.mServerNonce + aTerms.mClientListen;
}

} // namespace

std::string
MakeNonce()
{
  std::string nonce(kNonceBytes, '\0');
  const int made = RAND_bytes(reinterpret_cast<unsigned char*>(nonce.data()),
                              static_cast<int>(nonce.size()));
  PERIDOTSPOOL_INVARIANT(made == 1);
  return nonce;
}

std::string
MakeProof(std::string_view aKey, PeerRole aRole, const HandshakeTerms& aTerms)
{
  return Hmac(aKey,
              std::string("proof ") + RoleText(aRole) + JoinTerms(aTerms));
}

std::string
MakeSessionKey(std::string_view aKey, const HandshakeTerms& aTerms)
{
  return Hmac(aKey, "session " + JoinTerms(aTerms));
}

std::string
MakeFrameTag(std::string_view aSessionKey,
             PeerRole aSender,
             std::uint64_t aNumber,
             std::string_view aPayload)
{
  std::string text = RoleText(aSender);
  text.append(reinterpret_cast<const char*>(&aNumber), sizeof(aNumber));
  text.append(aPayload);
  return Hmac(aSessionKey, text).substr(0, kFrameTagBytes);
}

bool
SameBytes(std::string_view aLeft, std::string_view aRight)
{
  return aLeft.size() == aRight.size() &&
         CRYPTO_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

std::string
ToHex(std::string_view aBytes)
{
  std::string text;
  boost::algorithm::hex_lower(aBytes, std::back_inserter(text));
  return text;
}

std::string
FromHex(std::string_view aText)
{
  std::string bytes;
  try {
    boost::algorithm::unhex(aText, std::back_inserter(bytes));
  } catch (const boost::algorithm::hex_decode_error&) {
    bytes.clear();
  }
  return bytes;
}

} // namespace peridotspool::wire
