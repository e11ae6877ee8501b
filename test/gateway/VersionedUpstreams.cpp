#include "gateway/VersionedUpstreams.h"

namespace peridotspool::gateway {

namespace {

/** Events of a whole stream, and those before a new one pauses or breaks. */
constexpr int kEvents = 4;
constexpr int kFirstEvents = 2;
constexpr const char* kVersionMark = "from ";

std::string
FieldIn(const std::string& aRequest, const std::string& aName)
{
  const std::size_t place = aRequest.find("\r\n" + aName + ": ");
  if (place == std::string::npos) {
    return {};
  }
  const std::size_t from = place + aName.size() + 4;
  return aRequest.substr(from, aRequest.find("\r\n", from) - from);
}

std::string
EventChunk(int aNumber, const std::string& aVersion)
{
  const std::string event = "id: " + std::to_string(aNumber) +
                            "\ndata: " + kVersionMark + aVersion + "\n\n";
  char size[20];
  std::snprintf(size, sizeof size, "%zx\r\n", event.size());
  return size + event + "\r\n";
}

} // namespace

void
VersionedUpstreams::Add(EntryGroup& aGroup,
                        const std::string& aName,
                        const std::string& aVersion)
{
  mUpstreams.push_back(std::make_unique<ScriptedUpstream>(
    [this, aVersion](const std::string& aRequest) {
      return Answer(aVersion, aRequest);
    }));
  aGroup.Add(aName, mUpstreams.back()->Where(), aVersion);
}

std::vector<VersionedRun>
VersionedUpstreams::Runs() const
{
  const std::lock_guard lock(mMutex);
  return mRuns;
}

Script
VersionedUpstreams::Answer(const std::string& aVersion,
                           const std::string& aRequest)
{
  const std::string last = FieldIn(aRequest, "Last-Event-Id");
  {
    const std::lock_guard lock(mMutex);
    mRuns.push_back({ aVersion, FieldIn(aRequest, "X-Id"), last });
  }
  std::string answer = "HTTP/1.1 200 OK\r\nX-Id: {id}\r\nX-Stamp: proof\r\n"
                       "Content-Type: text/event-stream\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n";
  const int end = last.empty() ? kFirstEvents : kEvents;
  for (int number = last.empty() ? 1 : std::stoi(last) + 1; number <= end;
       ++number) {
    answer += EventChunk(number, aVersion);
  }
  if (!last.empty()) {
    return { .mAnswer = answer + "0\r\n\r\n", .mThen = Script::Then::kKeep };
  }
  return { .mAnswer = answer,
           .mThen = mThen == Then::kWait ? Script::Then::kHang
                                         : Script::Then::kReset };
}

std::string
StreamRequest(const std::string& aId, const std::string& aResumes)
{
  std::string text =
    "POST /stream/x HTTP/1.1\r\nHost: h.example\r\nX-Id: " + aId +
    "\r\nX-Deadline: 1000\r\nContent-Length: 0\r\n";
  if (!aResumes.empty()) {
    text += "X-Resumes: " + aResumes +
            "\r\nLast-Event-Id: " + std::to_string(kFirstEvents) + "\r\n";
  }
  return text + "\r\n";
}

std::vector<std::string>
VersionsIn(const std::string& aResponse)
{
  std::vector<std::string> versions;
  const std::string mark = kVersionMark;
  for (std::size_t place = aResponse.find(mark); place != std::string::npos;
       place = aResponse.find(mark, place + 1)) {
    const std::size_t from = place + mark.size();
    versions.push_back(
      aResponse.substr(from, aResponse.find('\n', from) - from));
  }
  return versions;
}

} // namespace peridotspool::gateway
