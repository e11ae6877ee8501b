#pragma once

#include "peridotspool/runtime/OperatorClient.h"

#include <cstdint>
#include <string>

namespace peridotspool::runtime {

/** How peridotctl ends; docs/OPERATING.md lists the codes. */
enum class CtlExit
{
  kDone = 0,
  /** A file or value has a fault; nothing was changed. */
  kInvalid = 2,
  /** Another edit won; nothing was changed. */
  kConflict = 3,
  /** Nobody could be asked, or nobody leads. */
  kUnreachable = 4,
  /** Committed, but not in force everywhere in time. */
  kNotInForce = 5,
  /** Refused, or there is no such thing. */
  kRefused = 6,
};

enum class CtlFormat
{
  kTable,
  kJson,
};

/**
 * The commands of peridotctl. Each writes its result to standard output and
 * what went wrong to standard error.
 */
class CtlCommands
{
public:
  CtlCommands(OperatorClient& aClient, CtlFormat aFormat)
    : mClient(aClient)
    , mFormat(aFormat)
  {
  }

  CtlExit Status();
  CtlExit Entries();
  CtlExit Upstreams();
  CtlExit Drain(const std::string& aEntry);
  /** Contents that aren't treated like others, as upstreams ended under them.
   */
  CtlExit Quarantine();
  /** Lets a content run again. */
  CtlExit Lift(const std::string& aContent);
  /** Every rollout that is kept, with its state and why it ended. */
  CtlExit Rollouts();
  CtlExit StartRollout(const std::string& aService,
                       const std::string& aVersion,
                       std::uint64_t aSeconds);
  /** Rolls back what is being rolled out for a service. */
  CtlExit AbortRollout(const std::string& aService);
  CtlExit ShowRequest(const std::string& aCustomer, const std::string& aKey);
  CtlExit Explain(const std::string& aCustomer, const std::string& aKey);

  /** The whole tree, or one value with the branch that it comes from. */
  CtlExit SettingsGet(const std::string& aPath);
  /** Changes one value of the newest revision. */
  CtlExit SettingsSet(const std::string& aPath, const std::string& aValue);
  /** Replaces the tree that was read at revision aBase by a file's. */
  CtlExit SettingsApply(const std::string& aFile, std::uint64_t aBase);
  CtlExit SettingsDiff(std::uint64_t aFrom, std::uint64_t aTo);
  CtlExit SettingsHistory();
  /** Checks a file without asking anybody. */
  CtlExit SettingsCheck(const std::string& aFile);

private:
  struct SettingsText
  {
    std::uint64_t mRevision = 0;
    std::string mText;
  };

  std::optional<http::HttpResponse> AskControl(const std::string& aMethod,
                                               const std::string& aPath,
                                               const std::string& aBody = {});
  std::optional<http::HttpResponse> AskEntry(const std::string& aPath);
  std::optional<SettingsText> FetchSettings();
  CtlExit Commit(std::uint64_t aBase, const std::string& aText);
  CtlExit WaitInForce(std::uint64_t aRevision);
  CtlExit PrintEntryAnswer(const std::string& aPath);
  void PrintCounters();
  CtlExit PrintRows(const std::optional<http::HttpResponse>& aResponse,
                    const std::string& aList,
                    const std::vector<std::string>& aColumns);
  CtlExit PrintQuarantine(const std::optional<http::HttpResponse>& aResponse);
  CtlExit PrintRollouts(const std::optional<http::HttpResponse>& aResponse);
  CtlExit PrintAnswer(const http::HttpResponse& aResponse);

  OperatorClient& mClient;
  CtlFormat mFormat;
};

} // namespace peridotspool::runtime
