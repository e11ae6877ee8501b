#pragma once

#include <cstddef>
#include <string>

namespace peridotspool::hostile {

/** Heads of requests and orders; "{}" stands for the number of a client. */
extern const std::string kChunkedHead;
extern const std::string kOrderHead;

/** Returns the head of a request with this Content-Length. */
std::string
WithLength(std::size_t aBytes);

/** Returns a chunk of this many bytes of data. */
std::string
Chunk(std::size_t aBytes);

} // namespace peridotspool::hostile
