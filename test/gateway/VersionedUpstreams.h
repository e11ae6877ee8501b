#pragma once

#include "gateway/EntryGroup.h"

#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace peridotspool::gateway {

/** What an upstream ran. */
struct VersionedRun
{
  std::string mVersion;
  std::string mRequest;
  /** The event after which the stream was resumed; empty for a new one. */
  std::string mLastEvent;
};

/**
 * Upstreams of several software versions of one service, known to all entries
 * of a group. Each event of a stream names the version that generated it.
 */
class VersionedUpstreams
{
public:
  /** What an upstream does after the first events of a new stream. */
  enum class Then
  {
    kWait,
    kReset,
  };

  explicit VersionedUpstreams(Then aThen)
    : mThen(aThen)
  {
  }

  void Add(EntryGroup& aGroup,
           const std::string& aName,
           const std::string& aVersion);
  std::vector<VersionedRun> Runs() const;
  /** Returns the address of the upstream that was added at this place. */
  Address Where(std::size_t aPlace) const
  {
    return mUpstreams.at(aPlace)->Where();
  }

private:
  Script Answer(const std::string& aVersion, const std::string& aRequest);

  const Then mThen;
  mutable std::mutex mMutex;
  std::vector<VersionedRun> mRuns;
  std::vector<std::unique_ptr<ScriptedUpstream>> mUpstreams;
};

/** Returns a request for a stream.
 * @param aResumes the request that began the stream; empty for a new stream */
std::string
StreamRequest(const std::string& aId, const std::string& aResumes = {});

/** Returns the versions that generated a response's events, in order. */
std::vector<std::string>
VersionsIn(const std::string& aResponse);

} // namespace peridotspool::gateway
