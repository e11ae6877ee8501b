#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace peridotspool::hostile {

/** What one client of a crowd sends. */
struct ClientScript
{
  std::string mHead;
  /** Sent again and again after the head. */
  std::string mPiece;
  std::size_t mPieces = 0;
  std::string mTail;
  /** Reads its answer while it sends, and stops sending once it has it. */
  bool mReads = true;
};

/** How far a client came. */
struct ClientOutcome
{
  std::size_t mSent = 0;
  std::string mAnswer;
  /** A reset may make the client's system drop an answer that came before. */
  bool mIsReset = false;

  /** Returns the status of its answer; 0 if none came. */
  int Status() const;
};

/** Clients that send the same and then keep their connections open. */
class HostileCrowd
{
public:
  /** "{}" in the head is replaced by the number of the client. */
  HostileCrowd(const std::string& aHost,
               std::uint16_t aPort,
               std::size_t aClients,
               const ClientScript& aScript);
  ~HostileCrowd();
  HostileCrowd(const HostileCrowd&) = delete;
  HostileCrowd& operator=(const HostileCrowd&) = delete;

  /** Returns once each client has sent all or has an answer, or once nothing
   * has moved for a while. */
  void Send();
  /** The same for one client after the other; each waits for the first byte of
   * its answer. */
  void SendInTurn();
  /** Sends what the script says, and then more in a packet of its own. */
  void SendSlowly(const std::string& aMore);
  /** Waits until each client that reads has an answer or is disconnected, or
   * until nothing has come for a while. */
  void ReadAnswers();

  const std::vector<ClientOutcome>& Outcomes() const { return mOutcomes; }

private:
  struct Client
  {
    int mSocket = -1;
    std::string mHead;
    bool mOver = false;
  };

  bool Connect(Client& aClient) const;
  /** Waits until what was sent has reached the other end, or moves no more. */
  void WaitUntilTaken() const;
  std::string BytesFrom(const Client& aClient, std::size_t aOffset) const;
  /** Sends and reads what is possible now; returns true iff anything moved. */
  bool Move(std::size_t aClient);
  bool SendSome(std::size_t aClient);
  bool ReadSome(std::size_t aClient);

  const std::string mHost;
  const std::uint16_t mPort;
  const ClientScript mScript;
  /** Many pieces in a row, so that small ones are sent together. */
  std::string mBlock;
  std::vector<Client> mClients;
  std::vector<ClientOutcome> mOutcomes;
};

} // namespace peridotspool::hostile
