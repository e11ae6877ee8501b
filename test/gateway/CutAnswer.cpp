#include "gateway/CutAnswer.h"

#include <boost/describe/enum_to_string.hpp>

#include <algorithm>
#include <vector>

namespace peridotspool::gateway {

namespace {

constexpr int kEvents = 3;
constexpr const char* kHeadEnd = "\r\n\r\n";
/** Chunks of this size begin and end within events. */
constexpr std::size_t kChunkBytes = 17;

std::string
Event(int aId)
{
  const std::string id = std::to_string(aId);
  return "id: " + id + "\ndata: event " + id + "\n\n";
}

std::string
EventsAfter(int aId)
{
  std::string events;
  for (int id = aId + 1; id <= kEvents; ++id) {
    events += Event(id);
  }
  return events;
}

int
LastEventIdOf(const std::string& aRequest)
{
  constexpr std::string_view kField = "Last-Event-Id: ";
  const std::size_t place = aRequest.find(kField);
  return place == std::string::npos
           ? 0
           : std::stoi(aRequest.substr(place + kField.size()));
}

std::string
InChunks(const std::string& aBody)
{
  std::string text;
  for (std::size_t place = 0; place < aBody.size(); place += kChunkBytes) {
    const std::string bytes = aBody.substr(place, kChunkBytes);
    char size[20];
    std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
    text += size + bytes + "\r\n";
  }
  return text + "0\r\n\r\n";
}

/** Decodes chunks up to the last one, or to the end of the bytes. */
bool
Unchunk(const std::string& aBytes, std::string& aBody)
{
  std::size_t place = 0;
  for (;;) {
    const std::size_t line = aBytes.find("\r\n", place);
    if (line == std::string::npos) {
      return false;
    }
    const std::size_t size =
      std::stoul(aBytes.substr(place, line - place), nullptr, 16);
    place = line + 2;
    aBody += aBytes.substr(place, size);
    if (aBytes.size() < place + size + 2) {
      return false;
    }
    place += size + 2;
    if (size == 0) {
      return true;
    }
  }
}

std::size_t
HeadBytes(const std::string& aAnswer)
{
  return aAnswer.find(kHeadEnd) + std::string_view(kHeadEnd).size();
}

bool
EndsWithAnEvent(const std::string& aBody)
{
  for (int id = 1; id <= kEvents; ++id) {
    if (aBody.ends_with(Event(id))) {
      return true;
    }
  }
  return false;
}

} // namespace

std::string
ToText(const AnswerKind& aKind)
{
  return aKind.mRoute + ", " +
         boost::describe::enum_to_string(aKind.mFraming, "") +
         (aKind.mThen == Script::Then::kClose ? ", closed" : ", reset");
}

std::string
WholeBody(const AnswerKind& aKind)
{
  return aKind.IsStream() ? EventsAfter(0) : "a whole answer";
}

std::string
AnswerBytes(const AnswerKind& aKind, const std::string& aRequest)
{
  const std::string body =
    aKind.IsStream() ? EventsAfter(LastEventIdOf(aRequest)) : WholeBody(aKind);
  std::string head = "HTTP/1.1 200 OK\r\nX-Id: {id}\r\nX-Stamp: proof\r\n";
  if (aKind.IsStream()) {
    head += "Content-Type: text/event-stream\r\n";
  }
  switch (aKind.mFraming) {
    case BodyFraming::kLength:
      return head + "Content-Length: " + std::to_string(body.size()) +
             kHeadEnd + body;
    case BodyFraming::kChunked:
      return head + "Transfer-Encoding: chunked" + kHeadEnd + InChunks(body);
    case BodyFraming::kConnection:
      break;
  }
  return head + "\r\n" + body;
}

bool
ProvesComplete(const AnswerKind& aKind, std::size_t aBytes)
{
  const std::string all = AnswerBytes(aKind);
  if (aKind.mFraming != BodyFraming::kConnection) {
    return aBytes == all.size();
  }
  if (aKind.mThen != Script::Then::kClose || aBytes < HeadBytes(all)) {
    return false;
  }
  return !aKind.IsStream() || EndsWithAnEvent(BodyOf(aKind, aBytes));
}

std::string
BodyOf(const AnswerKind& aKind, std::size_t aBytes)
{
  const std::string all = AnswerBytes(aKind);
  const std::size_t head = HeadBytes(all);
  const std::string bytes =
    aBytes > head ? all.substr(head, aBytes - head) : std::string();
  if (aKind.mFraming != BodyFraming::kChunked) {
    return bytes;
  }
  std::string body;
  Unchunk(bytes, body);
  return body;
}

SeenAnswer
ParseAnswer(const std::string& aBytes)
{
  SeenAnswer seen{ .mStatus = StatusOf(aBytes) };
  if (aBytes.find(kHeadEnd) == std::string::npos) {
    return seen;
  }
  const std::size_t head = HeadBytes(aBytes);
  const std::string body = aBytes.substr(head);
  constexpr std::string_view kLength = "Content-Length: ";
  const std::size_t length = aBytes.find(kLength);
  if (length > head) {
    seen.mComplete = Unchunk(body, seen.mBody);
    return seen;
  }
  seen.mBody = body;
  seen.mComplete =
    body.size() == std::stoul(aBytes.substr(length + kLength.size()));
  return seen;
}

} // namespace peridotspool::gateway
