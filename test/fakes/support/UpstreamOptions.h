#pragma once

#include "peridotspool/base/Address.h"

#include <CLI/CLI.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace peridotspool::fakes {

/** Returns the address in "host:port", or empty. */
inline std::optional<Address>
ParseAddress(const std::string& aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string::npos || colon + 1 == aText.size()) {
    return std::nullopt;
  }
  unsigned port = 0;
  for (const char digit : aText.substr(colon + 1)) {
    if (digit < '0' || digit > '9' || port > 65535) {
      return std::nullopt;
    }
    port = port * 10 + static_cast<unsigned>(digit - '0');
  }
  if (port > 65535) {
    return std::nullopt;
  }
  return Address{ aText.substr(0, colon), static_cast<std::uint16_t>(port) };
}

/** What both stand-ins for upstreams are told on their command line. */
struct UpstreamOptions
{
  std::string mListen = "127.0.0.1:0";
  std::string mName = "upstream";
  std::string mService = "assistant";
  std::string mDomain = "domain-a";
  std::vector<std::string> mAnnounceTo;
  /** Address to announce, where callers reach this process through a relay. */
  std::string mAnnounceAs;
  std::string mKeyFile;
  std::string mJournal;
  std::vector<std::string> mModels;
  std::uint32_t mSlots = 4;
  std::uint64_t mPriceMicrosPerHour = 1000000;
  bool mReclaimable = false;
  bool mChecksFencing = false;
  std::int64_t mIncarnation = 0;
  std::int64_t mLeaseMs = 1500;
  std::int64_t mRenewMs = 500;
  std::int64_t mTokenMs = 20;
  std::int64_t mFirstTokenMs = 50;
  /** How long it goes on serving after it announced that it leaves. */
  std::int64_t mLeaveLingerMs = 1000;
  double mSlowFactor = 1.0;
  double mFailRate = 0.0;
};

inline void
AddUpstreamOptions(CLI::App& aApp, UpstreamOptions& aOptions)
{
  aApp.add_option("--listen", aOptions.mListen, "host:port; port 0 is free");
  aApp.add_option("--name", aOptions.mName, "the upstream's name");
  aApp.add_option("--service", aOptions.mService, "the service it serves");
  aApp.add_option("--domain", aOptions.mDomain, "its failure domain");
  aApp
    .add_option("--announce",
                aOptions.mAnnounceTo,
                "caller addresses of entries, host:port,host:port")
    ->delimiter(',');
  aApp.add_option("--announce-as", aOptions.mAnnounceAs, "address to announce");
  aApp.add_option("--key-file", aOptions.mKeyFile, "file with upstreams' key");
  aApp.add_option("--journal", aOptions.mJournal, "file to append to");
  aApp.add_option("--models", aOptions.mModels, "loaded models")
    ->delimiter(',');
  aApp.add_option("--slots", aOptions.mSlots, "requests run at once");
  aApp.add_option(
    "--price", aOptions.mPriceMicrosPerHour, "millionths of a unit an hour");
  aApp.add_flag("--reclaimable", aOptions.mReclaimable);
  aApp.add_flag("--checks-fencing", aOptions.mChecksFencing);
  aApp.add_option("--incarnation", aOptions.mIncarnation, "else start time");
  aApp.add_option("--lease-ms", aOptions.mLeaseMs);
  aApp.add_option("--renew-ms", aOptions.mRenewMs);
  aApp.add_option("--token-ms", aOptions.mTokenMs, "time between tokens");
  aApp.add_option("--first-token-ms", aOptions.mFirstTokenMs);
  aApp.add_option("--leave-linger-ms", aOptions.mLeaveLingerMs);
  aApp.add_option("--slow-factor", aOptions.mSlowFactor, "fault: slower");
  aApp.add_option(
    "--fail-rate", aOptions.mFailRate, "fault: share refused before running");
}

} // namespace peridotspool::fakes
