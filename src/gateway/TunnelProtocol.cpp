#include "peridotspool/gateway/TunnelProtocol.h"

#include "http/BeastTypes.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace peridotspool::gateway {

namespace {

namespace beast_http = http::beast_http;

constexpr const char* kNameField = "X-Upstream";
constexpr const char* kIncarnationField = "X-Incarnation";
/** Entries of another version, whose tunnels carry something else, don't agree
 * on the same framing. */
constexpr const char* kFramingField = "X-Tunnel-Framing";
constexpr const char* kFraming = "records-2";
constexpr unsigned kOpen = 200;

struct FailureStatus
{
  TunnelFailure mFailure;
  unsigned mStatus;
};

constexpr std::array<FailureStatus, 6> kStatuses{ {
  { TunnelFailure::kUnknownUpstream, 404 },
  { TunnelFailure::kUpstreamResting, 409 },
  { TunnelFailure::kPeerBusy, 429 },
  { TunnelFailure::kUpstreamRefused, 502 },
  { TunnelFailure::kPeerPartitioned, 503 },
  { TunnelFailure::kUpstreamTimedOut, 504 },
} };

/** Parses a complete head; returns false iff it is malformed. */
template<typename Parser>
bool
ParseHead(Parser& aParser, std::string_view aHead)
{
  http::ErrorCode error;
  aParser.header_limit(kMaxTunnelHeadBytes);
  const std::size_t used =
    aParser.put(http::net::buffer(aHead.data(), aHead.size()), error);
  return !error && aParser.is_header_done() && used == aHead.size();
}

} // namespace

std::string
WriteTunnelRequest(const DialTarget& aTarget)
{
  const std::string authority = ToText(aTarget.mAddress);
  return "CONNECT " + authority + " HTTP/1.1\r\nHost: " + authority + "\r\n" +
         kNameField + ": " + aTarget.mName.Value() + "\r\n" +
         kIncarnationField + ": " +
         std::to_string(aTarget.mIncarnation.Value()) + "\r\n" + kFramingField +
         ": " + kFraming + "\r\n\r\n";
}

std::optional<DialTarget>
ParseTunnelRequest(std::string_view aHead)
{
  beast_http::request_parser<beast_http::empty_body> parser;
  if (!ParseHead(parser, aHead) ||
      parser.get().method() != beast_http::verb::connect ||
      parser.get()[kFramingField] != kFraming) {
    return std::nullopt;
  }
  const auto name = parser.get()[kNameField];
  const auto number = parser.get()[kIncarnationField];
  std::uint64_t incarnation = 0;
  const auto [rest, fault] =
    std::from_chars(number.data(), number.data() + number.size(), incarnation);
  if (name.empty() || fault != std::errc{} ||
      rest != number.data() + number.size()) {
    return std::nullopt;
  }
  return DialTarget{ .mName = UpstreamName(std::string(name)),
                     .mIncarnation = Incarnation(incarnation),
                     .mAddress = {} };
}

std::string
WriteTunnelResponse(const std::optional<TunnelFailure>& aFailure)
{
  unsigned status = kOpen;
  for (const FailureStatus& row : kStatuses) {
    if (aFailure == row.mFailure) {
      status = row.mStatus;
    }
  }
  return "HTTP/1.1 " + std::to_string(status) + " Tunnel\r\n" + kFramingField +
         ": " + kFraming + "\r\n\r\n";
}

bool
ParseTunnelResponse(std::string_view aHead,
                    std::optional<TunnelFailure>& aFailure)
{
  beast_http::response_parser<beast_http::empty_body> parser;
  // A response to CONNECT has no body, whatever its fields say.
  parser.skip(true);
  if (!ParseHead(parser, aHead) || parser.get()[kFramingField] != kFraming) {
    return false;
  }
  const unsigned status = parser.get().result_int();
  if (status == kOpen) {
    aFailure.reset();
    return true;
  }
  const auto row =
    std::find_if(kStatuses.begin(), kStatuses.end(), [&](const auto& aRow) {
      return aRow.mStatus == status;
    });
  if (row == kStatuses.end()) {
    return false;
  }
  aFailure = row->mFailure;
  return true;
}

} // namespace peridotspool::gateway
