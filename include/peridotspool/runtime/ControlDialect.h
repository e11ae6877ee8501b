#pragma once

#include "peridotspool/control/ControlOptions.h"
#include "peridotspool/control/OperatorRequest.h"
#include "peridotspool/control/OperatorResponse.h"
#include "peridotspool/fleet/CloudCall.h"
#include "peridotspool/gateway/RouteTable.h"
#include "peridotspool/http/HttpMessage.h"
#include "peridotspool/membership/EntryProfile.h"
#include "peridotspool/membership/UpstreamReport.h"

#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace peridotspool::runtime {

/** An upstream's heartbeat. */
struct AnnounceCall
{
  membership::UpstreamReport mReport;
};

/** An upstream's deregistration. */
struct DeregisterCall
{
  UpstreamName mName;
  /** Unset where it does not say. */
  Incarnation mIncarnation;
};

/** A caller asks which entries to connect to. */
struct DirectoryCall
{
  Region mRegion;
  FailureDomain mDomain;
};

/** The dialect answers by itself, most often because a request is malformed. */
struct AnsweredCall
{
  http::HttpResponse mResponse;
};

using ControlCall = std::variant<control::OperatorRequest,
                                 AnnounceCall,
                                 DeregisterCall,
                                 DirectoryCall,
                                 AnsweredCall>;

/**
 * How requests to a control replica look on the outside. Pure functions of
 * their arguments; called on several threads.
 */
struct ControlDialect
{
  std::function<ControlCall(const http::HttpRequest&)> mRead;
  /**
   * Writes an operator's answer. The target (path and query) and the leader's
   * peer address are there for a redirection.
   */
  std::function<http::HttpResponse(const control::OperatorResponse&,
                                   const std::string& aTarget)>
    mWriteAnswer;
  std::function<http::HttpResponse()> mWriteAnnounced;
  /** Says that another replica is to be asked. */
  std::function<http::HttpResponse()> mWriteNotNow;
  /** Entries in the order in which a caller is to try them; may be empty. */
  std::function<http::HttpResponse(const std::vector<membership::EntryProfile>&,
                                   const DirectoryCall&)>
    mWriteDirectory;
  /** Reads a committed document; unset where settings are no documents. */
  std::function<std::optional<gateway::RouteTable>(const std::string&,
                                                   LastReason&)>
    mReadDocument;
  /** Writes what the holder of the duties tells the cloud. */
  std::function<http::HttpRequest(const fleet::CloudCall&,
                                  const fleet::FencingStamp&)>
    mWriteDuty;
  /** Checks settings that an operator sends. */
  control::SettingsChecker mChecker;
};

} // namespace peridotspool::runtime
