#include "process/SystemFiles.h"

#include "support/TestRoot.h"

#include "peridotspool/settings/KeyHash.h"

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <fstream>
#include <netinet/in.h>
#include <optional>
#include <random>
#include <regex>
#include <set>
#include <sstream>
#include <sys/socket.h>
#include <unistd.h>

namespace peridotspool::test {

namespace {

std::string
TextOfFile(const std::filesystem::path& aPath)
{
  std::ostringstream text;
  text << std::ifstream(aPath).rdbuf();
  INFO(aPath << " must be there");
  REQUIRE_FALSE(text.str().empty());
  return text.str();
}

/** Below the ports that the system gives to those who ask for any. */
constexpr int kFirstPort = 20000;
constexpr int kEndOfPorts = 32000;

/** The socket that has the port now; empty if another has it. */
std::optional<int>
TakePort(int aPort)
{
  const int taken = ::socket(AF_INET, SOCK_STREAM, 0);
  REQUIRE(taken >= 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  if (::bind(taken, generic, sizeof address) == 0) {
    return taken;
  }
  ::close(taken);
  return std::nullopt;
}

// Takes all ports before it frees the first, so that they differ. A port that
// the system gives to whoever asks for any is given again once it is freed
// here: the relay that is started before the entries, or a stand-in, had one of
// theirs in 15 of 4,000 trials, and that entry could not listen and never
// joined.
std::vector<std::string>
FreePorts(std::size_t aCount)
{
  std::random_device random;
  const int first =
    kFirstPort + static_cast<int>(random() % (kEndOfPorts - kFirstPort));
  std::vector<int> sockets;
  std::vector<std::string> ports;
  for (int port = first; ports.size() < aCount; ++port) {
    REQUIRE(port - first < kEndOfPorts - kFirstPort);
    const int here =
      port < kEndOfPorts ? port : port - kEndOfPorts + kFirstPort;
    if (const auto taken = TakePort(here)) {
      sockets.push_back(*taken);
      ports.push_back(std::to_string(here));
    }
  }
  for (const int one : sockets) {
    ::close(one);
  }
  return ports;
}

std::string
ReplaceAll(std::string aText, const std::string& aOld, const std::string& aNew)
{
  for (std::size_t at = aText.find(aOld); at != std::string::npos;
       at = aText.find(aOld, at + aNew.size())) {
    aText.replace(at, aOld.size(), aNew);
  }
  return aText;
}

} // namespace

const std::vector<std::string>&
EntryNames()
{
  static const std::vector<std::string> sNames{
    "entryd-piraeus-a", "entryd-piraeus-b", "entryd-marousi", "entryd-elefsina"
  };
  return sNames;
}

const std::vector<std::string>&
ControlNames()
{
  static const std::vector<std::string> sNames{ "controld-piraeus-a",
                                                "controld-piraeus-b",
                                                "controld-marousi" };
  return sNames;
}

std::string
ExampleText(const std::string& aName)
{
  return TextOfFile(std::filesystem::path(PERIDOTSPOOL_SOURCE_DIR) /
                    "examples" / "lefkada" / aName);
}

SystemFiles::SystemFiles()
{
  std::string pattern = (TestRoot() / "peridotspool-test-XXXXXX").string();
  REQUIRE(::mkdtemp(pattern.data()) != nullptr);
  mFolder = pattern;
  WriteKeys();
  CopySettings();
}

SystemFiles::~SystemFiles()
{
  std::error_code ignored;
  std::filesystem::remove_all(mFolder, ignored);
}

std::string
SystemFiles::Read(const std::string& aName) const
{
  return TextOfFile(mFolder / aName);
}

void
SystemFiles::Write(const std::string& aName, const std::string& aText) const
{
  std::ofstream(mFolder / aName) << aText;
}

void
SystemFiles::Replace(const std::string& aName,
                     const std::string& aOld,
                     const std::string& aNew) const
{
  const std::string text = Read(aName);
  INFO(aName << " must have " << aOld << ":\n" << text);
  REQUIRE(text.find(aOld) != std::string::npos);
  Write(aName, ReplaceAll(text, aOld, aNew));
}

std::string
SystemFiles::Listen(const std::string& aProcess,
                    const std::string& aWhich) const
{
  const std::string text = Read(aProcess + ".yaml");
  const std::size_t listen = text.find("listen:");
  const std::string field = aWhich + ": ";
  const std::size_t begin = text.find(field, listen) + field.size();
  return text.substr(begin, text.find('\n', begin) - begin);
}

void
SystemFiles::WriteKeys()
{
  std::filesystem::create_directory(mFolder / "keys");
  const std::string tag = mFolder.filename().string();
  mOperatorKey = "operator-" + tag;
  const std::string upstreamKey = "upstream-" + tag;
  Write("keys/operator.key", mOperatorKey + "\n");
  Write("keys/upstream.key", upstreamKey + "\n");
  Write("keys/customer.key", std::string(kCustomerKey) + "\n");
  Write("keys/peer.key", "peers-of-" + tag + "\n");
  Write("keys/operators",
        "operator " + settings::KeyHash(mOperatorKey) + "\nupstream " +
          settings::KeyHash(upstreamKey) + "\n");
}

void
SystemFiles::CopySettings() const
{
  std::map<std::string, std::string> texts;
  std::set<std::string> ports;
  static const std::regex sAddress(R"(127\.0\.0\.1:(\d+))");
  for (const auto* names : { &EntryNames(), &ControlNames() }) {
    for (const std::string& name : *names) {
      const std::string text = texts[name] = ExampleText(name + ".yaml");
      for (std::sregex_iterator at(text.begin(), text.end(), sAddress), end;
           at != end;
           ++at) {
        ports.insert((*at)[1]);
      }
    }
  }
  const std::vector<std::string> free = FreePorts(ports.size());
  for (auto& [name, text] : texts) {
    std::size_t next = 0;
    for (const std::string& port : ports) {
      // The mark keeps a port that was put in from being taken for one of the
      // example's.
      text =
        ReplaceAll(text, "127.0.0.1:" + port, "127.0.0.1:*" + free[next++]);
    }
    Write(name + ".yaml", ReplaceAll(text, ":*", ":"));
  }
}

} // namespace peridotspool::test
