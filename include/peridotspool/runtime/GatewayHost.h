#pragma once

#include "peridotspool/base/LastReason.h"
#include "peridotspool/gateway/HeaderNames.h"
#include "peridotspool/gateway/RouteTable.h"
#include "peridotspool/settings/NodeSettings.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace peridotspool::runtime {

/** How a deployment's callers and documents look on the outside. */
struct GatewayDialect
{
  gateway::HeaderNames mNames;
  /** Reads a committed document; empty with the reason if it can't. */
  std::function<std::optional<gateway::RouteTable>(const std::string&,
                                                   LastReason&)>
    mReadDocument;
  /** The path at which the deployment asks whether the entry is ready. */
  std::string mReadyPath;
};

/**
 * Runs one entry of a seeded deployment: hands callers' requests on to
 * upstreams, unchanged. A thread for each duty: the relay, our own processes'
 * messages, readiness and metrics, and the log.
 */
class GatewayHost
{
public:
  GatewayHost(settings::NodeSettings aSettings, GatewayDialect aDialect);
  ~GatewayHost();

  bool Start(LastReason& aReason);
  /** Takes the settings file's new content, as far as it may change. */
  void Reload(settings::NodeSettings aSettings);
  /** Begins a graceful stop; returns at once. */
  void Leave();
  /** Waits until everything has stopped. */
  void Wait();

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace peridotspool::runtime
