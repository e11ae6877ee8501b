#pragma once

#include "peridotspool/base/Address.h"
#include "peridotspool/base/LastReason.h"
#include "peridotspool/http/HttpMessage.h"

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace peridotspool::runtime {

/** Returns the addresses of "ip:port,ip:port", or empty with the reason. */
std::optional<std::vector<Address>>
ParseAddresses(const std::string& aText, LastReason& aReason);

struct OperatorClientOptions
{
  /** HTTP addresses of the control replicas. */
  std::vector<Address> mControls;
  /** HTTP addresses of entries. */
  std::vector<Address> mEntries;
  std::string mKey;
  /** An address that says nothing for this long is left for another. */
  std::chrono::milliseconds mSilence{ 3000 };
  /** How long a request to the control replicas is retried. */
  std::chrono::milliseconds mRetryTimeout{ 15000 };
};

/** Asks control replicas and entries for an operator; blocking. */
class OperatorClient
{
public:
  explicit OperatorClient(OperatorClientOptions aOptions);
  ~OperatorClient();

  /**
   * Asks the control replica that leads. A request whose fate is not known is
   * sent again as it is, which is safe: edits carry an edit id.
   */
  std::optional<http::HttpResponse> AskControl(
    const http::HttpRequest& aRequest,
    LastReason& aReason);
  /** Asks the first entry that answers. */
  std::optional<http::HttpResponse> AskEntry(const http::HttpRequest& aRequest,
                                             LastReason& aReason);
  /** Asks every entry and returns the answers that came. */
  std::vector<http::HttpResponse> AskEveryEntry(
    const http::HttpRequest& aRequest);
  /** Asks one address, once. */
  std::optional<http::HttpResponse> Ask(const Address& aPeer,
                                        http::HttpRequest aRequest,
                                        LastReason& aReason);

private:
  class Calls;
  OperatorClientOptions mOptions;
  std::unique_ptr<Calls> mCalls;
};

} // namespace peridotspool::runtime
