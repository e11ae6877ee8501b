#include "peridotspool/settings/KeyHash.h"

#include "peridotspool/base/Invariant.h"

#include <array>
#include <openssl/evp.h>

namespace peridotspool::settings {

std::string
KeyHash(std::string_view aApiKey)
{
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  const int done = EVP_Digest(aApiKey.data(),
                              aApiKey.size(),
                              digest.data(),
                              &size,
                              EVP_sha256(),
                              nullptr);
  PERIDOTSPOOL_INVARIANT(done == 1);
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  for (unsigned int at = 0; at < size; ++at) {
    text += kDigits[digest[at] >> 4];
    text += kDigits[digest[at] & 0xf];
  }
  return text;
}

} // namespace peridotspool::settings
