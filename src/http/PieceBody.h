#pragma once

#include "http/BeastTypes.h"

#include <cstdint>

namespace peridotspool::http {

/**
 * A body that is taken from its parser piece by piece. Unlike string_body it
 * reserves no memory for the length that the peer announces, which may be more
 * than there is.
 */
struct PieceBody : beast_http::string_body
{
  // Beast looks these names up.
  // NOLINTBEGIN(readability-identifier-naming)
  class reader : public beast_http::string_body::reader
  {
  public:
    using beast_http::string_body::reader::reader;

    void init(const boost::optional<std::uint64_t>&, ErrorCode& aError)
    {
      aError = {};
    }
  };
  // NOLINTEND(readability-identifier-naming)
};

} // namespace peridotspool::http
