#pragma once

#include "peridotspool/routing/Router.h"

namespace peridotspool::routing {

inline constexpr TimePoint kStart{ std::chrono::hours(1) };
inline const ServiceName kAssistant("assistant");

/** Returns the first announcement of a serving upstream. */
inline UpstreamAnnouncement
Announcement(const std::string& aName, std::uint64_t aSequence = 1)
{
  UpstreamAnnouncement announcement;
  announcement.mName = UpstreamName(aName);
  announcement.mIncarnation = Incarnation(1);
  announcement.mSequence = aSequence;
  announcement.mService = kAssistant;
  announcement.mAddress = { "10.0.0.1", 9000 };
  announcement.mSlots = 4;
  announcement.mFirstToken = std::chrono::milliseconds(100);
  announcement.mLease = std::chrono::seconds(2);
  return announcement;
}

/** Returns a request with a distant deadline. */
inline RouteQuery
Query()
{
  RouteQuery query;
  query.mService = kAssistant;
  query.mDeadline = kStart + std::chrono::hours(2);
  return query;
}

/** Returns the chosen upstream's name; empty if there is none. */
inline std::string
Chosen(Router& aRouter, const RouteQuery& aQuery, TimePoint aNow)
{
  NoRoute reason = NoRoute::kNoUpstream;
  const auto choice = aRouter.Choose(aQuery, aNow, reason);
  return choice ? choice->mUpstream.Value() : "";
}

} // namespace peridotspool::routing
