#pragma once

#include "soak/SoakNames.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace peridotspool::soak {

/** One HTTP message, as far as it came. */
struct HttpText
{
  bool mWhole = false;
  bool mKeepAlive = false;
  unsigned mStatus = 0;
  std::string mMethod;
  std::string mTarget;
  /** By names in lower case. */
  std::map<std::string, std::string> mFields;
  std::string mBody;

  std::string Field(const std::string& aName) const
  {
    const auto found = mFields.find(aName);
    return found == mFields.end() ? "" : found->second;
  }
};

/** A blocking TCP connection with timeouts; ends with this object. */
class Wire
{
public:
  explicit Wire(int aSocket)
    : mSocket(aSocket)
  {
  }
  ~Wire();
  Wire(Wire&& aOther) noexcept;
  Wire& operator=(Wire&& aOther) noexcept;
  Wire(const Wire&) = delete;
  Wire& operator=(const Wire&) = delete;

  static std::optional<Wire> Connect(const std::string& aHost,
                                     std::uint16_t aPort,
                                     Ms aPatience);
  bool Send(std::string_view aBytes) const;
  /** aSilence: the longest wait for any one piece. */
  HttpText ReadAnswer(Ms aPatience, Ms aSilence);
  /** Returns what has come; empty once the peer has left, or after aPatience.
   */
  std::string ReadBytes(Ms aPatience);
  /** Returns empty once the caller has left, or after aPatience. */
  std::optional<HttpText> ReadRequest(Ms aPatience);
  /** Ends with a reset, as a process that dies does. */
  void Reset();
  /** Returns the address of the other end; empty once it is gone. */
  std::string PeerHost() const;
  /** Wakes a thread that reads, from another one. */
  void Shut() const;

private:
  bool ReadSome(Ms aPatience);

  int mSocket = -1;
  std::string mBuffer;
};

/** Listens at an address; returns the socket, or -1. */
int
ListenAt(const std::string& aHost, std::uint16_t aPort);

/** Accepts one connection within aPatience. */
std::optional<Wire>
AcceptOn(int aSocket, Ms aPatience);

/** One call on a connection of its own; empty if no whole answer came. */
std::optional<HttpText>
CallOnce(const std::string& aHost,
         std::uint16_t aPort,
         const std::string& aRequest,
         Ms aPatience = Ms(1000));

std::string
RequestText(const std::string& aMethod,
            const std::string& aTarget,
            const std::string& aFields,
            const std::string& aBody);

} // namespace peridotspool::soak
