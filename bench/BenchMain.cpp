#include "PolicyModel.h"

#include <benchmark/benchmark.h>
#include <cstdio>
#include <cstring>

/**
 * Runs the benchmarks; Google Benchmark's own options apply. With --policy it
 * compares the routing policies in the queue model instead, as a table, and
 * with --policy-json as JSON.
 */
int
main(int aCount, char** aArguments)
{
  if (aCount > 1 && std::strncmp(aArguments[1], "--policy", 8) == 0) {
    const auto report = peridotspool::bench::ComparePolicies();
    const bool json = std::strcmp(aArguments[1], "--policy-json") == 0;
    std::fputs(json ? report.mJson.c_str() : report.mTable.c_str(), stdout);
    return 0;
  }
  benchmark::Initialize(&aCount, aArguments);
  if (benchmark::ReportUnrecognizedArguments(aCount, aArguments)) {
    return 1;
  }
  benchmark::RunSpecifiedBenchmarks();
  benchmark::Shutdown();
  return 0;
}
