#include "fakes/support/FakeService.h"
#include "fakes/support/UpstreamMain.h"

using namespace peridotspool::fakes;

int
main(int aCount, char** aArguments)
{
  CLI::App app("A stand-in for a plain service");
  ServiceOptions options;
  AddServiceOptions(app, options);
  CLI11_PARSE(app, aCount, aArguments);
  return RunUpstream<FakeService>(options, "plain-service");
}
