#include "http/TransferEncoding.h"

namespace peridotspool::http {

bool
HasKnownTransferEncoding(const beast_http::fields& aFields)
{
  constexpr auto kName = beast_http::field::transfer_encoding;
  const std::size_t count = aFields.count(kName);
  return count == 0 ||
         (count == 1 && beast::iequals(aFields[kName], "chunked"));
}

} // namespace peridotspool::http
