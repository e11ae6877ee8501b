#include "wire/FrameReader.h"

#include "peridotspool/base/TextCapacity.h"

#include <boost/endian/conversion.hpp>

#include <algorithm>

namespace peridotspool::wire {

namespace {

constexpr std::size_t kLengthBytes = 4;
/** A buffer that a frame has made larger is freed after the frame. */
constexpr std::size_t kMaxIdleBytes = 64U << 10;
constexpr std::size_t kHeaderBytes = kLengthBytes + kFrameTagBytes;

std::uint32_t
ReadLength(const char* aBytes)
{
  return boost::endian::load_big_u32(
    reinterpret_cast<const unsigned char*>(aBytes));
}

} // namespace

FrameReader::FrameReader(PeerRole aSender, std::size_t aMaxFrameBytes)
  : mSender(aSender)
  , mMaxFrameBytes(aMaxFrameBytes)
{
}

bool
FrameReader::Read(std::string_view aBytes,
                  std::vector<std::string>& aFrames,
                  LastReason& aReason)
{
  Append(aBytes);
  std::size_t offset = 0;
  while (mBuffer.size() - offset >= kHeaderBytes) {
    const std::uint32_t length = ReadLength(mBuffer.data() + offset);
    if (length > mMaxFrameBytes) {
      aReason.Set("frame over the bound of " + std::to_string(mMaxFrameBytes) +
                  " bytes");
      return false;
    }
    if (mBuffer.size() - offset < kHeaderBytes + length) {
      break;
    }
    if (!TakeFrame(offset, aFrames, aReason)) {
      return false;
    }
  }
  mBuffer.erase(0, offset);
  if (mBuffer.empty() && mBuffer.capacity() > kMaxIdleBytes) {
    FreeText(mBuffer);
  }
  return true;
}

// The capacity follows the bytes that have come, up to the frame's length.
void
FrameReader::Append(std::string_view aBytes)
{
  const std::size_t size = mBuffer.size() + aBytes.size();
  if (size > mBuffer.capacity()) {
    const std::size_t frame =
      mBuffer.size() < kLengthBytes
        ? 0
        : kHeaderBytes + std::size_t{ ReadLength(mBuffer.data()) };
    const std::size_t grown = mBuffer.capacity() + mBuffer.capacity() / 2;
    SetCapacity(mBuffer, std::max(size, std::min(grown, frame)));
  }
  mBuffer.append(aBytes);
}

bool
FrameReader::TakeFrame(std::size_t& aOffset,
                       std::vector<std::string>& aFrames,
                       LastReason& aReason)
{
  const std::string_view all(mBuffer);
  const std::uint32_t length = ReadLength(mBuffer.data() + aOffset);
  const auto tag = all.substr(aOffset + kLengthBytes, kFrameTagBytes);
  const auto payload = all.substr(aOffset + kHeaderBytes, length);
  const std::string expected =
    MakeFrameTag(mSessionKey, mSender, mNextNumber, payload);
  // A wrong tag means that someone between the two processes changed, left
  // out or repeated a frame; nothing after it can be trusted.
  if (!SameBytes(tag, expected)) {
    aReason.Set("frame tag does not match");
    return false;
  }
  ++mNextNumber;
  aFrames.emplace_back(payload);
  aOffset += kHeaderBytes + length;
  return true;
}

std::string
WriteFrame(std::string_view aSessionKey,
           PeerRole aSender,
           std::uint64_t aNumber,
           std::string_view aPayload)
{
  std::string frame(kLengthBytes, '\0');
  boost::endian::store_big_u32(reinterpret_cast<unsigned char*>(frame.data()),
                               static_cast<std::uint32_t>(aPayload.size()));
  frame += MakeFrameTag(aSessionKey, aSender, aNumber, aPayload);
  frame += aPayload;
  return frame;
}

} // namespace peridotspool::wire
