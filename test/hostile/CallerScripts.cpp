#include "hostile/CallerScripts.h"

#include "soak/SoakNames.h"

#include <cstdio>

namespace peridotspool::hostile {

namespace {

std::string
RequestHead(const std::string& aFields)
{
  return std::string("POST /safe/x HTTP/1.1\r\nHost: ") + soak::kHost +
         "\r\nPeridotspool-Request-Id: c{}\r\n" + aFields + "\r\n";
}

} // namespace

const std::string kChunkedHead = RequestHead("Transfer-Encoding: chunked\r\n");
const std::string kOrderHead = "POST /config/replace HTTP/1.1\r\nHost: c\r\n";

std::string
WithLength(std::size_t aBytes)
{
  return RequestHead("Content-Length: " + std::to_string(aBytes) + "\r\n");
}

std::string
Chunk(std::size_t aBytes)
{
  char size[20];
  std::snprintf(size, sizeof size, "%zx\r\n", aBytes);
  return size + std::string(aBytes, 'x') + "\r\n";
}

} // namespace peridotspool::hostile
