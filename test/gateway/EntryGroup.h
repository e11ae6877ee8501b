#pragma once

#include "gateway/GatewayFixture.h"

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace peridotspool::gateway {

/**
 * Several entries in one process that exchange their peer messages directly.
 * Each coordinates a part of the upstreams.
 */
class EntryGroup
{
public:
  /** Starts entries that have been in contact with control for aInContact. */
  explicit EntryGroup(std::size_t aCount, Duration aInContact = Duration(0));
  ~EntryGroup();
  EntryGroup(const EntryGroup&) = delete;
  EntryGroup& operator=(const EntryGroup&) = delete;

  /** Registers an upstream of the service at all entries. */
  void Add(const std::string& aName,
           const Address& aWhere,
           const std::string& aVersion = {});
  std::size_t Size() const { return mEntries.size(); }
  GatewayFixture& Entry(std::size_t aIndex) { return *mEntries[aIndex]; }

private:
  void Deliver(const Address& aFrom,
               const Address& aTo,
               const PeerMessage& aMessage);
  void Handle(std::size_t aIndex,
              const Address& aFrom,
              const PeerMessage& aMessage);

  void Tick();

  std::vector<std::unique_ptr<GatewayFixture>> mEntries;
  std::atomic<bool> mStopping{ false };
  std::thread mTicking;
};

} // namespace peridotspool::gateway
