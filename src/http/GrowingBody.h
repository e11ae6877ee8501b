#pragma once

#include "http/BeastTypes.h"
#include "peridotspool/base/TextCapacity.h"

#include <algorithm>
#include <cstdint>
#include <string>

namespace peridotspool::http {

/**
 * A body that is kept whole. Its capacity grows with the bytes that have come,
 * never by the length that the peer announces, and never beyond that length.
 */
struct GrowingBody
{
  // Beast looks these names up.
  // NOLINTBEGIN(readability-identifier-naming)
  using value_type = std::string;

  class reader
  {
  public:
    template<bool aIsRequest, typename Fields>
    reader(beast_http::header<aIsRequest, Fields>&, value_type& aBody)
      : mBody(aBody)
    {
    }

    void init(const boost::optional<std::uint64_t>& aLength, ErrorCode& aError)
    {
      mMaxBytes = aLength ? *aLength : UINT64_MAX;
      aError = {};
    }

    template<typename Buffers>
    std::size_t put(const Buffers& aBuffers, ErrorCode& aError)
    {
      aError = {};
      const std::size_t bytes = beast::buffer_bytes(aBuffers);
      Reserve(mBody.size() + bytes);
      for (const auto buffer : beast::buffers_range_ref(aBuffers)) {
        mBody.append(static_cast<const char*>(buffer.data()), buffer.size());
      }
      return bytes;
    }

    void finish(ErrorCode& aError)
    {
      aError = {};
      if (mBody.capacity() - mBody.size() > mBody.size() / kMaxSpareDivisor) {
        SetCapacity(mBody, mBody.size());
      }
    }

  private:
    static constexpr std::size_t kMaxSpareDivisor = 8;

    void Reserve(std::size_t aBytes)
    {
      if (aBytes > mBody.capacity()) {
        const std::uint64_t grown = mBody.capacity() + mBody.capacity() / 2;
        SetCapacity(
          mBody, std::max<std::uint64_t>(aBytes, std::min(grown, mMaxBytes)));
      }
    }

    value_type& mBody;
    std::uint64_t mMaxBytes = UINT64_MAX;
  };
  // NOLINTEND(readability-identifier-naming)
};

} // namespace peridotspool::http
