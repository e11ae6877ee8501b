#pragma once

#include "soak/SoakUpstream.h"

#include <set>

namespace peridotspool::soak {

/**
 * Shows from outside by which configuration an entry works: each version has a
 * service of its own on the route /probe/, and all of them live at the one
 * address of this upstream, which answers with the version that was meant.
 */
class SoakProbe
{
public:
  SoakProbe(const Places& aPlaces, int aNumber);
  ~SoakProbe();
  SoakProbe(const SoakProbe&) = delete;
  SoakProbe& operator=(const SoakProbe&) = delete;

  void Start();
  /** Announces the service of a version; it goes on from then on. */
  void Know(std::uint64_t aVersion);

private:
  void Beat();
  void Serve();

  const Places mPlaces;
  const int mNumber;
  std::atomic<bool> mRunning{ true };
  std::mutex mMutex;
  std::set<std::uint64_t> mVersions;
  int mListening = -1;
  std::thread mBeating;
  std::thread mServing;
};

/** Asks an entry by which version it works; empty if it does not say. */
std::optional<std::uint64_t>
ProbeEntry(const std::string& aHost, const std::string& aId);

} // namespace peridotspool::soak
