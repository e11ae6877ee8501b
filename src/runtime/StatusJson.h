#pragma once

#include "peridotspool/control/OperatorResponse.h"
#include "peridotspool/observe/Counters.h"
#include "peridotspool/request/EntryNode.h"

#include <boost/json.hpp>

#include <string>

namespace peridotspool::runtime {

boost::json::object
MemberJson(const membership::Member& aMember);

/** An entry's status page. */
std::string
EntryStatusJson(const request::EntryNodeStatus& aStatus,
                const std::string& aName,
                const observe::Counters& aCounters);

/** The answer of `GET /v1/entries`. */
std::string
DirectoryJson(const membership::DirectoryResponse& aAnswer);

} // namespace peridotspool::runtime
