// What an entry does with the requests that callers, upstreams and operators
// send to its HTTP address.

#include "runtime/EntryDecider.h"
#include "runtime/StatusJson.h"

#include <utility>

namespace peridotspool::runtime {

namespace {

http::HttpResponse
JsonResponse(std::string aBody)
{
  return http::HttpResponse{ .mStatus = 200,
                             .mHeaders = { { "content-type",
                                             "application/json" } },
                             .mBody = std::move(aBody) };
}

} // namespace

void
EntryDecider::BeginExchange(http::ExchangeId aExchange,
                            bool aStream,
                            const RequestKey& aKey)
{
  mExchanges.emplace(aExchange,
                     http::CallerExchange(aStream, aKey.mKey, mName));
  mTimes.emplace(aExchange, ExchangeTimes{ .mBegan = mNow });
}

void
EntryDecider::RespondJson(http::ExchangeId aExchange, std::string aBody)
{
  mParts.mServer.Respond(aExchange, JsonResponse(std::move(aBody)));
}

void
EntryDecider::OnCommand(http::ExchangeId aExchange,
                        http::DirectoryCommand& aCommand)
{
  RespondJson(aExchange, DirectoryJson(mNode.Directory(aCommand.mRegion)));
}

void
EntryDecider::OnCommand(http::ExchangeId aExchange,
                        http::SubmitCommand& aCommand)
{
  BeginExchange(aExchange, aCommand.mStream, aCommand.mKey);
  Step(request::CallerEvent{
    request::SubmitEvent{ .mExchange = CallId(aExchange),
                          .mKey = std::move(aCommand.mKey),
                          .mTerms = std::move(aCommand.mTerms),
                          .mRemaining = aCommand.mRemaining,
                          .mKeyIsNew = aCommand.mKeyIsNew } });
}

void
EntryDecider::OnCommand(http::ExchangeId aExchange,
                        http::AttachCommand& aCommand)
{
  BeginExchange(aExchange, aCommand.mStream, aCommand.mKey);
  Step(request::CallerEvent{
    request::AttachEvent{ .mExchange = CallId(aExchange),
                          .mKey = std::move(aCommand.mKey),
                          .mLineage = aCommand.mLineage,
                          .mOffset = aCommand.mOffset } });
}

void
EntryDecider::OnCommand(http::ExchangeId aExchange,
                        http::CancelCommand& aCommand)
{
  BeginExchange(aExchange, false, aCommand.mKey);
  Step(request::CallerEvent{
    request::CancelEvent{ CallId(aExchange), std::move(aCommand.mKey) } });
}

void
EntryDecider::OnCommand(http::ExchangeId aExchange,
                        http::AcknowledgeCommand& aCommand)
{
  BeginExchange(aExchange, false, aCommand.mKey);
  Step(request::CallerEvent{
    request::AcknowledgeEvent{ CallId(aExchange), std::move(aCommand.mKey) } });
}

void
EntryDecider::OnCommand(http::ExchangeId aExchange,
                        http::AnnounceCommand& aCommand)
{
  Step(request::AnnouncedEvent{ std::move(aCommand.mAnnouncement) });
  RespondJson(aExchange, "{}");
}

void
EntryDecider::OnCommand(http::ExchangeId aExchange,
                        http::StatusCommand& /*aCommand*/)
{
  RespondJson(aExchange,
              EntryStatusJson(mNode.Status(mNow), mName, mParts.mCounters));
}

void
EntryDecider::OnCommand(http::ExchangeId aExchange,
                        http::ExplainCommand& aCommand)
{
  std::string body = mExplain.Json(aCommand.mKey);
  if (body.empty()) {
    body = R"({"reason":"not-kept-here","choices":[]})";
  }
  RespondJson(aExchange, std::move(body));
}

void
EntryDecider::OnCommand(http::ExchangeId aExchange, http::ShowCommand& aCommand)
{
  BeginExchange(aExchange, false, aCommand.mKey);
  Step(request::CallerEvent{
    request::ShowEvent{ CallId(aExchange), std::move(aCommand.mKey) } });
}

void
EntryDecider::OnCommand(http::ExchangeId aExchange,
                        http::DrainCommand& /*aCommand*/)
{
  Step(request::LeaveNodeEvent{});
  RespondJson(aExchange, R"({"leaving":true})");
}

void
EntryDecider::OnCommand(http::ExchangeId aExchange,
                        http::MetricsCommand& /*aCommand*/)
{
  SetGauges();
  mParts.mServer.Respond(
    aExchange,
    http::HttpResponse{
      .mStatus = 200,
      .mHeaders = { { "content-type", "text/plain; version=0.0.4" } },
      .mBody = mParts.mCounters.MetricsText() });
}

void
EntryDecider::OnCommand(http::ExchangeId aExchange,
                        http::RefusedCommand& aCommand)
{
  mParts.mServer.Respond(aExchange, std::move(aCommand.mResponse));
}

} // namespace peridotspool::runtime
