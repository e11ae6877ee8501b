// ctest-labels: promise-config
#include "runtime/FrameInbox.h"

#include <catch2/catch.hpp>

namespace peridotspool::runtime {

namespace {

ReceivedFrame
FromRegistry(std::uint64_t aVersion)
{
  return { .mEnvelope = { .mFrom = {},
                          .mPayload = membership::RegistryMessage(
                            membership::RegistryPush{ .mTo = aVersion }) },
           .mReceivedAt = {} };
}

ReceivedFrame
FromSession(std::uint64_t aRevision)
{
  return { .mEnvelope = { .mFrom = {},
                          .mPayload =
                            wire::ToEntryEnvelope{
                              membership::EntryNonce(1),
                              membership::SettingsPush{
                                .mRevision = Revision(aRevision) } } },
           .mReceivedAt = {} };
}

/** Returns the revision of the settings in a frame; 0 if it is another one. */
std::uint64_t
RevisionIn(const std::optional<ReceivedFrame>& aFrame)
{
  const auto* entry =
    aFrame ? std::get_if<wire::ToEntryEnvelope>(&aFrame->mEnvelope.mPayload)
           : nullptr;
  return entry == nullptr ? 0
                          : std::get<membership::SettingsPush>(entry->mMessage)
                              .mRevision.Value();
}

} // namespace

// Guards against settings that are late at an entry with a backlog of work.
TEST_CASE("SettingsOvertakeOtherFrames")
{
  FrameInbox inbox(8);
  CHECK(inbox.Push(FromRegistry(1)));
  CHECK(inbox.Push(FromRegistry(2)));
  CHECK(inbox.Push(FromSession(5)));
  CHECK(inbox.Push(FromSession(6)));
  CHECK(RevisionIn(inbox.PopSession()) == 5);
  CHECK(RevisionIn(inbox.Pop()) == 6);
  CHECK_FALSE(inbox.PopSession());
  CHECK(inbox.Pop());
  CHECK(inbox.Pop());
  CHECK_FALSE(inbox.Pop());
}

// Guards against settings that are dropped because other frames fill the inbox.
TEST_CASE("OtherFramesTakeNoRoomFromSettings")
{
  FrameInbox inbox(2);
  CHECK(inbox.Push(FromRegistry(1)));
  CHECK(inbox.Push(FromRegistry(2)));
  CHECK_FALSE(inbox.Push(FromRegistry(3)));
  CHECK(inbox.Push(FromSession(5)));
  CHECK(inbox.Push(FromSession(6)));
  CHECK_FALSE(inbox.Push(FromSession(7)));
}

} // namespace peridotspool::runtime
