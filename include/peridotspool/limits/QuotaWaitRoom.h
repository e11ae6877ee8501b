#pragma once

#include <cstddef>

namespace peridotspool::limits {

/** Requests of one entry that wait at once. A tenth of the callers that an
 * entry of today's deployments has at its peak. */
constexpr std::size_t kMaxWaitingRequests = 512;
/** Bytes of their bodies: a tenth of the memory of the smallest entry, 160 MB.
 */
constexpr std::size_t kMaxWaitingBytes = std::size_t{ 16 } << 20U;

/** Bounds the requests of one entry that wait for customers' limits. */
class QuotaWaitRoom
{
public:
  /** Returns false iff a request with such a body may not wait. */
  bool TryEnter(std::size_t aBodyBytes)
  {
    if (mRequests >= kMaxWaitingRequests ||
        aBodyBytes > kMaxWaitingBytes - mBytes) {
      return false;
    }
    ++mRequests;
    mBytes += aBodyBytes;
    return true;
  }
  /** Called once for each request that has entered. */
  void Leave(std::size_t aBodyBytes)
  {
    --mRequests;
    mBytes -= aBodyBytes;
  }
  std::size_t Requests() const { return mRequests; }

private:
  std::size_t mRequests = 0;
  std::size_t mBytes = 0;
};

} // namespace peridotspool::limits
