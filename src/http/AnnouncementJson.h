#pragma once

#include "peridotspool/base/LastReason.h"
#include "peridotspool/routing/UpstreamReport.h"

#include <boost/json.hpp>

#include <optional>
#include <string>

namespace peridotspool::http {

/** Reads an upstream's announcement; docs/INTERFACES.md lists its fields. */
std::optional<routing::UpstreamAnnouncement>
ReadAnnouncementJson(const std::string& aBody, LastReason& aReason);

/** Returns the announcement for status pages, in the same form. */
boost::json::object
WriteAnnouncementJson(const routing::UpstreamAnnouncement& aAnnouncement);

} // namespace peridotspool::http
