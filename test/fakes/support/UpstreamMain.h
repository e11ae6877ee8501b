#pragma once

#include "fakes/support/Announcer.h"
#include "fakes/support/Process.h"
#include "peridotspool/http/HttpServer.h"

#include <memory>
#include <thread>

namespace peridotspool::fakes {

/** Announces that it leaves, and returns once everything is finished. */
template<typename Upstream>
void
LeaveGracefully(Upstream& aUpstream,
                Announcer& aAnnouncer,
                std::int64_t aLingerMs)
{
  aUpstream.NoteLeaving();
  aAnnouncer.Leave();
  std::this_thread::sleep_for(std::chrono::milliseconds(aLingerMs));
  while (!aUpstream.IsIdle()) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
}

/** Serves and announces until a stop signal; returns the exit code. */
template<typename Upstream, typename Options>
int
RunUpstream(const Options& aOptions, const std::string& aKind)
{
  const auto listen = ParseAddress(aOptions.mUpstream.mListen);
  if (!listen) {
    std::cerr << "--listen: expected host:port" << std::endl;
    return 2;
  }
  BlockStopSignals();
  std::unique_ptr<Upstream> upstream;
  http::HttpServer server(
    { .mListen = *listen, .mMaxBodyBytes = 16 << 20 },
    [&](auto aExchange, auto aRequest) {
      upstream->OnRequest(aExchange, aRequest);
    },
    [&](auto aExchange) { upstream->OnGone(aExchange); });
  upstream = std::make_unique<Upstream>(aOptions, server);
  LastReason reason;
  if (!server.Start(reason)) {
    std::cerr << reason.Text() << std::endl;
    return 1;
  }
  std::jthread ticker([&](const std::stop_token& aStop) {
    while (!aStop.stop_requested()) {
      upstream->Tick();
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
  });
  PrintListening(server.LocalAddress());
  Announcer announcer(aOptions.mUpstream, aKind, server.LocalAddress(), [&] {
    return upstream->Load();
  });
  WaitForStopSignal();
  LeaveGracefully(*upstream, announcer, aOptions.mUpstream.mLeaveLingerMs);
  server.Stop();
  return 0;
}

} // namespace peridotspool::fakes
