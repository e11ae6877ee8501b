#include "soak/SoakAnswers.h"

#include <boost/json.hpp>

namespace peridotspool::soak {

namespace {

constexpr std::string_view kEndMark = ":end";

std::string
FaultOfPlain(const std::string& aId, const std::string& aBody)
{
  const std::string begin = "answer:" + aId + ":";
  if (!aBody.starts_with(begin)) {
    return "it begins with '" + aBody.substr(0, 40) + "'";
  }
  const bool whole =
    aBody.size() > begin.size() + kFillerBytes && aBody.ends_with(kEndMark);
  return whole ? "" : "its end is missing";
}

} // namespace

std::string
PlainAnswer(const std::string& aId,
            const std::string& aUpstream,
            std::size_t aFillerBytes)
{
  return "answer:" + aId + ":" + aUpstream + ":" +
         std::string(aFillerBytes, 'x') + std::string(kEndMark);
}

std::string
StreamEvent(const std::string& aId, int aNumber)
{
  const bool last = aNumber == kStreamEvents;
  return "id: " + std::to_string(aNumber) + "\ndata: " + aId + " " +
         std::to_string(aNumber) + (last ? " last" : "") + "\n\n";
}

std::string
FaultOfAnswer(Kind aKind, const std::string& aId, const std::string& aBody)
{
  if (!IsStream(aKind)) {
    return FaultOfPlain(aId, aBody);
  }
  std::string expected;
  for (int number = 1; number <= kStreamEvents; ++number) {
    expected += StreamEvent(aId, number);
  }
  if (aBody == expected) {
    return "";
  }
  const auto [left, right] =
    std::mismatch(aBody.begin(), aBody.end(), expected.begin(), expected.end());
  const auto at = static_cast<std::size_t>(left - aBody.begin());
  return "its events differ from byte " + std::to_string(at) + ": '" +
         aBody.substr(at, 60) + "'";
}

std::string
WindowOf(const std::string& aBody)
{
  boost::system::error_code error;
  const boost::json::value body = boost::json::parse(aBody, error);
  const auto* object = error ? nullptr : body.if_object();
  const auto* window =
    object == nullptr ? nullptr : object->if_contains("window");
  return window == nullptr ? "" : boost::json::serialize(*window);
}

} // namespace peridotspool::soak
