#pragma once

#include "fakes/support/BlockingClient.h"
#include "fakes/support/Json.h"
#include "process/ChildProcess.h"
#include "process/SystemFiles.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace peridotspool::test {

namespace json = boost::json;

/** A system of real processes: three control replicas, four entries. */
class TestSystem
{
public:
  TestSystem();

  SystemFiles& Files() { return mFiles; }

  /** Starts control and entries, and puts the example's settings in force. */
  void Start();
  void StartControl();
  void StartEntries();
  std::string WhoEnded();
  /** Waits until every control replica has a vote. */
  void WaitForVoters();
  /** Starts (again) one of the control replicas or entries. */
  ChildProcess& StartOwn(const std::string& aName);
  /** Starts a stand-in that announces itself, and waits until it is known. */
  ChildProcess& StartEngine(const std::string& aName,
                            const std::vector<std::string>& aOptions = {});
  ChildProcess& StartService(const std::string& aName,
                             const std::vector<std::string>& aOptions = {});
  ChildProcess& StartFake(const std::string& aName,
                          const std::string& aProgram,
                          const std::vector<std::string>& aOptions);

  ChildProcess& Process(const std::string& aName);
  /** Caller address of an entry. */
  Address Entry(const std::string& aName) const;
  /** Caller addresses of all entries but those named. */
  std::vector<Address> EntriesBut(const std::vector<std::string>& aNames) const;

  /** Returns what an entry or control replica says of itself, if it answers. */
  std::optional<json::object> Status(const std::string& aName);
  /** Addresses that an entry gives to callers. */
  std::vector<std::string> DirectoryOf(const std::string& aName);
  /** Puts a whole tree of settings; returns the leader's answer. */
  json::object PutSettings(const std::string& aEdit,
                           std::int64_t aBase,
                           const std::string& aText);
  /** Returns the name of the control replica that leads now. */
  std::string WaitForLeader();
  /** What an upstream's journal holds. */
  std::vector<json::object> Journal(const std::string& aUpstream) const;
  /** Lines of all journals of a kind whose request holds aKey. */
  std::vector<json::object> Noted(const std::string& aWhat,
                                  const std::string& aKey) const;

  fakes::BlockingClient& Client() { return mClient; }

private:
  ChildProcess& StartUpstream(const std::string& aName,
                              const std::string& aProgram,
                              const std::string& aService,
                              const std::vector<std::string>& aOptions);
  http::HeaderFields OperatorHeaders() const;

  SystemFiles mFiles;
  fakes::BlockingClient mClient;
  std::vector<std::string> mUpstreams;
  std::map<std::string, std::unique_ptr<ChildProcess>> mProcesses;
};

} // namespace peridotspool::test
