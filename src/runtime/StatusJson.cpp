#include "runtime/StatusJson.h"

#include "http/AnnouncementJson.h"

#include <boost/describe/enum_to_string.hpp>

namespace peridotspool::runtime {

namespace json = boost::json;

json::object
MemberJson(const membership::Member& aMember)
{
  const bool active = aMember.mState == membership::MemberState::kActive;
  return json::object{ { "member", aMember.mId.Value() },
                       { "name", aMember.mName.Value() },
                       { "region", aMember.mRegion.Value() },
                       { "domain", aMember.mDomain.Value() },
                       { "peer_address", ToText(aMember.mPeerAddress) },
                       { "address", ToText(aMember.mCallerAddress) },
                       { "state", active ? "active" : "draining" } };
}

std::string
EntryStatusJson(const request::EntryNodeStatus& aStatus,
                const std::string& aName,
                const observe::Counters& aCounters)
{
  json::array members;
  for (const auto& member : aStatus.mEpoch.mMembers) {
    members.push_back(MemberJson(member));
  }
  json::array upstreams;
  for (const auto& upstream : aStatus.mUpstreams) {
    upstreams.push_back(http::WriteAnnouncementJson(upstream));
  }
  json::object counters;
  for (const observe::CounterRow& row : observe::kCounterRows) {
    // Without the enumerator's leading k.
    counters[row.mName.substr(1)] = aCounters.Value(row.mId);
  }
  const char* serving =
    boost::describe::enum_to_string(aStatus.mServing, "unknown");
  return json::serialize(
    json::object{ { "name", aName },
                  { "member", aStatus.mMember.Value() },
                  { "serving", serving },
                  { "leaving", aStatus.mLeaving },
                  { "revision", aStatus.mInForce.Value() },
                  { "epoch", aStatus.mEpoch.mEpoch.Value() },
                  { "running", aStatus.mRunning },
                  { "callers", aStatus.mCallers },
                  { "members", std::move(members) },
                  { "upstreams", std::move(upstreams) },
                  { "counters", std::move(counters) } });
}

std::string
DirectoryJson(const membership::DirectoryResponse& aAnswer)
{
  json::array entries;
  for (const Address& address : aAnswer.mAddresses) {
    entries.push_back(json::object{ { "address", ToText(address) } });
  }
  const auto keep =
    std::chrono::duration_cast<std::chrono::milliseconds>(aAnswer.mMaxAge);
  return json::serialize(json::object{ { "epoch", aAnswer.mEpoch.Value() },
                                       { "keep_ms", keep.count() },
                                       { "entries", std::move(entries) } });
}

} // namespace peridotspool::runtime
