#include "fakes/support/FakeEngine.h"
#include "fakes/support/UpstreamMain.h"

using namespace peridotspool::fakes;

int
main(int aCount, char** aArguments)
{
  CLI::App app("A stand-in for a model engine");
  EngineOptions options;
  AddEngineOptions(app, options);
  CLI11_PARSE(app, aCount, aArguments);
  return RunUpstream<FakeEngine>(options, "model-engine");
}
