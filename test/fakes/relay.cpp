#include "fakes/support/Relay.h"
#include "fakes/support/Answers.h"
#include "fakes/support/Process.h"
#include "fakes/support/UpstreamOptions.h"
#include "peridotspool/http/HttpServer.h"

using namespace peridotspool;
using namespace peridotspool::fakes;

namespace {

http::HttpResponse
Control(Relay& aRelay, const http::HttpRequest& aRequest)
{
  if (aRequest.mPath == "/cut") {
    aRelay.Cut();
  } else if (aRequest.mPath == "/heal") {
    aRelay.Heal();
  } else if (aRequest.mPath == "/silence") {
    const auto onlyOld = aRequest.mQuery.find("new");
    aRelay.Silence(onlyOld == aRequest.mQuery.end() || onlyOld->second != "0");
  } else if (aRequest.mPath == "/delay") {
    const auto ms = aRequest.mQuery.find("ms");
    aRelay.Delay(std::chrono::milliseconds(
      ms == aRequest.mQuery.end() ? 0
                                  : std::strtol(ms->second.c_str(), {}, 10)));
  } else {
    return ErrorAnswer(404, "cut, heal, silence or delay");
  }
  return JsonAnswer(200, {});
}

int
Run(const Address& aListen, const Address& aTo, const Address& aControl)
{
  Relay relay(aListen, aTo);
  http::HttpServer* server = nullptr;
  http::HttpServer control(
    { .mListen = aControl },
    [&](auto aExchange, auto aRequest) {
      server->Respond(aExchange, Control(relay, aRequest));
    },
    [](auto) {});
  server = &control;
  LastReason reason;
  if (!relay.Start(reason) || !control.Start(reason)) {
    std::cerr << reason.Text() << std::endl;
    return 1;
  }
  std::cout << "control " << ToText(control.LocalAddress()) << std::endl;
  PrintListening(relay.LocalAddress());
  WaitForStopSignal();
  control.Stop();
  return 0;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  CLI::App app("A TCP relay that can be told to cut or to go silent");
  std::string listen = "127.0.0.1:0";
  std::string to;
  std::string control = "127.0.0.1:0";
  app.add_option("--listen", listen);
  app.add_option("--to", to)->required();
  app.add_option("--control", control);
  CLI11_PARSE(app, aCount, aArguments);
  const auto listenAt = ParseAddress(listen);
  const auto toPeer = ParseAddress(to);
  const auto controlAt = ParseAddress(control);
  if (!listenAt || !toPeer || !controlAt) {
    std::cerr << "expected host:port" << std::endl;
    return 2;
  }
  BlockStopSignals();
  return Run(*listenAt, *toPeer, *controlAt);
}
