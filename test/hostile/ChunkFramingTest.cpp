// ctest-labels: hostile
// Chunk headers and trailers without end.

#include "hostile/CallerScripts.h"
#include "hostile/HostileSystem.h"

#include <catch2/catch.hpp>

namespace peridotspool::hostile {

// Guards against trailers that are kept until their end comes.
TEST_CASE("TrailersWithoutEndFillNoMemory")
{
  CheckCrowd(40,
             4,
             { .mHead = kChunkedHead + Chunk(1) + "0\r\n",
               .mPiece = "X-More: " + std::string(1000, 'x') + "\r\n",
               .mPieces = 64000 });
}

// Guards against a chunk header that is kept until its end comes.
TEST_CASE("ChunkExtensionsWithoutEndFillNoMemory")
{
  CheckCrowd(41,
             4,
             { .mHead = kChunkedHead + "1;more=",
               .mPiece = std::string(1000, 'x'),
               .mPieces = 64000 });
}

} // namespace peridotspool::hostile
