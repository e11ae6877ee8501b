#pragma once

#include <CLI/CLI.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace peridotspool::fakes {

struct LoadOptions
{
  /** Caller addresses of entries to ask first. */
  std::vector<std::string> mEntries;
  /** An engine to call without the system, for comparison. */
  std::string mDirect;
  /** A plain service to call without the system. */
  std::string mDirectService;
  std::string mKeyFile;
  std::string mService = "assistant";
  std::string mPlainService = "floor-data";
  std::string mPrefix = "load";
  std::uint64_t mCount = 100;
  double mRate = 20.0;
  /** Share of requests that are streamed; the others are calls. */
  double mStreamedShare = 1.0;
  std::uint64_t mTokens = 20;
  std::size_t mPromptBytes = 400;
  std::int64_t mDeadlineMs = 20000;
  std::int64_t mSilenceMs = 2000;
  bool mNoAck = false;
};

inline void
AddLoadOptions(CLI::App& aApp, LoadOptions& aOptions)
{
  aApp.add_option("--entry", aOptions.mEntries, "host:port,host:port")
    ->delimiter(',');
  aApp.add_option("--direct", aOptions.mDirect, "an engine, host:port");
  aApp.add_option(
    "--direct-service", aOptions.mDirectService, "a plain service, host:port");
  aApp.add_option("--key-file", aOptions.mKeyFile, "file with customer's key");
  aApp.add_option("--service", aOptions.mService, "of model engines");
  aApp.add_option("--plain-service", aOptions.mPlainService);
  aApp.add_option("--prefix", aOptions.mPrefix, "of the requests' keys");
  aApp.add_option("--count", aOptions.mCount, "requests in all");
  aApp.add_option("--rate", aOptions.mRate, "requests a second");
  aApp.add_option("--streamed-share", aOptions.mStreamedShare, "0 to 1");
  aApp.add_option("--tokens", aOptions.mTokens, "of each streamed answer");
  aApp.add_option("--prompt-bytes", aOptions.mPromptBytes);
  aApp.add_option("--deadline-ms", aOptions.mDeadlineMs);
  aApp.add_option("--silence-ms", aOptions.mSilenceMs, "then attach elsewhere");
  aApp.add_flag("--no-ack", aOptions.mNoAck);
}

} // namespace peridotspool::fakes
