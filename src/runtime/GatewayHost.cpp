#include "peridotspool/runtime/GatewayHost.h"

#include "runtime/GatewayRelay.h"

#include <utility>

namespace peridotspool::runtime {

class GatewayHost::Impl : public GatewayRelay
{
public:
  using GatewayRelay::GatewayRelay;
};

GatewayHost::GatewayHost(settings::NodeSettings aSettings,
                         GatewayDialect aDialect)
  : mImpl(std::make_unique<Impl>(std::move(aSettings), std::move(aDialect)))
{
}

GatewayHost::~GatewayHost() = default;

bool
GatewayHost::Start(LastReason& aReason)
{
  return mImpl->Start(aReason);
}

void
GatewayHost::Reload(settings::NodeSettings aSettings)
{
  mImpl->Reload(std::move(aSettings));
}

void
GatewayHost::Leave()
{
  mImpl->Leave();
}

void
GatewayHost::Wait()
{
  mImpl->Wait();
}

} // namespace peridotspool::runtime
