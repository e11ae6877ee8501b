#pragma once

#include "peridotspool/base/LastReason.h"
#include "peridotspool/wire/PeerAuth.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace peridotspool::wire {

/** Cuts a stream's bytes into frames and checks their tags. */
class FrameReader
{
public:
  FrameReader(PeerRole aSender, std::size_t aMaxFrameBytes);

  /** Sets the key; frames are read only once it is known. */
  void SetSessionKey(std::string aKey) { mSessionKey = std::move(aKey); }

  /** Returns the bytes of memory that an incomplete frame takes. */
  std::size_t HeldBytes() const { return mBuffer.capacity(); }

  /** Appends whole frames; false with the reason on a bad one. */
  bool Read(std::string_view aBytes,
            std::vector<std::string>& aFrames,
            LastReason& aReason);

private:
  void Append(std::string_view aBytes);
  bool TakeFrame(std::size_t& aOffset,
                 std::vector<std::string>& aFrames,
                 LastReason& aReason);

  PeerRole mSender;
  std::size_t mMaxFrameBytes;
  std::string mSessionKey;
  std::string mBuffer;
  std::uint64_t mNextNumber = 0;
};

/** Returns a frame as it goes on the stream: length, tag, payload. */
std::string
WriteFrame(std::string_view aSessionKey,
           PeerRole aSender,
           std::uint64_t aNumber,
           std::string_view aPayload);

} // namespace peridotspool::wire
