#pragma once

#include "http/BeastTypes.h"
#include "peridotspool/base/Address.h"

#include <atomic>
#include <cstddef>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace peridotspool::gateway {

/**
 * The network path to an instance whose process ends: the first connection
 * after each Cut passes a number of bytes from the instance and is then closed.
 * Other connections pass everything.
 */
class CuttingLink
{
public:
  explicit CuttingLink(const Address& aTo);
  ~CuttingLink();
  CuttingLink(const CuttingLink&) = delete;
  CuttingLink& operator=(const CuttingLink&) = delete;

  Address Where() const;
  /** Cuts the next connection after this many bytes. */
  void Cut(std::size_t aBytes) { mCut = static_cast<std::ptrdiff_t>(aBytes); }
  /** Holds up all bytes from the instance instead of closing. */
  void Freeze(bool aFrozen) { mFrozen = aFrozen; }
  /** Returns the bytes from the instance that passed so far. */
  std::size_t Passed() const { return mPassed; }

private:
  struct Pair;
  static constexpr std::ptrdiff_t kNoCut = -1;

  void Accept();
  void PassBack(Pair& aPair, std::ptrdiff_t aCut);
  static void PassOn(Pair& aPair);

  const http::Tcp::endpoint mTo;
  http::net::io_context mIo;
  http::Tcp::acceptor mAcceptor;
  std::atomic<std::ptrdiff_t> mCut{ kNoCut };
  std::atomic<bool> mFrozen{ false };
  std::atomic<std::size_t> mPassed{ 0 };
  std::atomic<bool> mStopping{ false };
  std::mutex mMutex;
  std::vector<std::unique_ptr<Pair>> mPairs;
  std::thread mAccepting;
};

} // namespace peridotspool::gateway
