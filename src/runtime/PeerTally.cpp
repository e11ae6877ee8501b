#include "runtime/PeerTally.h"

#include "peridotspool/base/Overloaded.h"

#include <variant>

namespace peridotspool::runtime {

namespace {

using observe::CounterId;

/** The two counters of one purpose. */
struct PurposeCounters
{
  CounterId mBytes;
  CounterId mMessages;
};

PurposeCounters
CountersOf(const gateway::PeerMessage& aMessage)
{
  const PurposeCounters shared{ CounterId::kSentBytesLimits,
                                CounterId::kSentMessagesLimits };
  const PurposeCounters usage{ CounterId::kSentBytesUsage,
                               CounterId::kSentMessagesUsage };
  const PurposeCounters load{ CounterId::kSentBytesLoad,
                              CounterId::kSentMessagesLoad };
  const PurposeCounters quarantine{ CounterId::kSentBytesQuarantine,
                                    CounterId::kSentMessagesQuarantine };
  const PurposeCounters rollout{ CounterId::kSentBytesRollout,
                                 CounterId::kSentMessagesRollout };
  const PurposeCounters streams{ CounterId::kSentBytesStreams,
                                 CounterId::kSentMessagesStreams };
  return std::visit(
    Overloaded{ [&](const gateway::QuotaRequest&) { return shared; },
                [&](const gateway::QuotaResponse&) { return shared; },
                [&](const gateway::QuotaLease&) { return shared; },
                [&](const gateway::UsageReport&) { return usage; },
                [&](const gateway::MedianTime&) { return usage; },
                [&](const routing::CrashReport&) { return quarantine; },
                [&](const routing::CrashReportAck&) { return quarantine; },
                [&](const routing::PermitRequest&) { return quarantine; },
                [&](const routing::PermitResponse&) { return quarantine; },
                [&](const routing::RunEnded&) { return quarantine; },
                [&](const routing::QuarantineUpdate&) { return quarantine; },
                [&](const rollout::RolloutReport&) { return rollout; },
                [&](const rollout::RolloutUpdate&) { return rollout; },
                [&](const limits::LimitReport&) { return shared; },
                [&](const limits::SendPermitRequest&) { return shared; },
                [&](const limits::SendPermitResponse&) { return shared; },
                [&](const limits::SendPermitReturn&) { return shared; },
                [&](const limits::BrittleState&) { return shared; },
                [&](const limits::WithdrawalReport&) { return shared; },
                [&](const streams::OriginWrite&) { return streams; },
                [&](const streams::OriginAck&) { return streams; },
                [&](const streams::OriginQuery&) { return streams; },
                [&](const streams::OriginResponse&) { return streams; },
                [&](const streams::VersionQuery&) { return streams; },
                [&](const streams::VersionResponse&) { return streams; },
                [&](const auto&) { return load; } },
    aMessage);
}

PurposeCounters
CountersOf(const wire::PeerPayload& aPayload)
{
  const PurposeCounters session{ CounterId::kSentBytesSession,
                                 CounterId::kSentMessagesSession };
  return std::visit(
    Overloaded{
      [](const control::ReplicaEnvelope&) {
        return PurposeCounters{ CounterId::kSentBytesReplication,
                                CounterId::kSentMessagesReplication };
      },
      [&](const membership::EntryEnvelope&) { return session; },
      [&](const wire::ToEntryEnvelope&) { return session; },
      [](const wire::MemberEnvelope&) {
        return PurposeCounters{ CounterId::kSentBytesLedger,
                                CounterId::kSentMessagesLedger };
      },
      [](const membership::RegistryMessage&) {
        return PurposeCounters{ CounterId::kSentBytesDirectory,
                                CounterId::kSentMessagesDirectory };
      },
      [](const gateway::PeerMessage& aShared) { return CountersOf(aShared); },
      [&](const control::RelayRequest&) { return session; },
      [&](const control::RelayedRequests&) { return session; },
      [&](const control::RelayedReplies&) { return session; } },
    aPayload);
}

constexpr Duration kLogPeriod = std::chrono::seconds(10);

} // namespace

void
CountSent(observe::Counters& aCounters,
          const wire::PeerPayload& aPayload,
          std::size_t aBytes)
{
  const PurposeCounters counters = CountersOf(aPayload);
  aCounters.Add(counters.mBytes, aBytes);
  aCounters.Add(counters.mMessages);
}

void
TrafficLog::Tick(observe::Logger& aLogger,
                 const observe::Counters& aCounters,
                 TimePoint aNow)
{
  if (aNow - mLoggedAt < kLogPeriod) {
    return;
  }
  mLoggedAt = aNow;
  const auto bytes = [&](CounterId aId) { return aCounters.Value(aId); };
  aLogger.Log(observe::EventId::kPeerTraffic,
              { { "replication", bytes(CounterId::kSentBytesReplication) },
                { "session", bytes(CounterId::kSentBytesSession) },
                { "directory", bytes(CounterId::kSentBytesDirectory) },
                { "limits", bytes(CounterId::kSentBytesLimits) },
                { "usage", bytes(CounterId::kSentBytesUsage) },
                { "load", bytes(CounterId::kSentBytesLoad) },
                { "quarantine", bytes(CounterId::kSentBytesQuarantine) },
                { "rollout", bytes(CounterId::kSentBytesRollout) },
                { "streams", bytes(CounterId::kSentBytesStreams) },
                { "ledger", bytes(CounterId::kSentBytesLedger) } });
}

} // namespace peridotspool::runtime
