#pragma once

#include "peridotspool/base/LastReason.h"
#include "peridotspool/control/Command.h"
#include "peridotspool/control/EditAnswer.h"
#include "peridotspool/control/MachineState.h"
#include "peridotspool/control/StateMachineOptions.h"

#include <optional>
#include <string>
#include <variant>

namespace peridotspool::control {

/** The command changes nothing that anybody waits for. */
struct NothingApplied
{
  auto operator<=>(const NothingApplied&) const = default;
};

/** The membership command made this epoch; unset when it changed nothing. */
struct EpochApplied
{
  EpochNumber mEpoch;

  auto operator<=>(const EpochApplied&) const = default;
};

/** A document was judged; the newest one now has this version. */
struct DocumentApplied
{
  std::uint64_t mNewest = 0;

  auto operator<=>(const DocumentApplied&) const = default;
};

/** Contents' treatment has changed. */
struct QuarantineApplied
{
  auto operator<=>(const QuarantineApplied&) const = default;
};

/** A rollout was ordered; how, and which it is. */
struct RolloutOrdered
{
  rollout::OrderVerdict mVerdict = rollout::OrderVerdict::kStarted;
  /** The service's latest rollout. */
  rollout::Rollout mLatest;

  auto operator<=>(const RolloutOrdered&) const = default;
};

/** A rollout has ended, or nothing was changed. */
struct RolloutChanged
{
  ServiceName mService;

  auto operator<=>(const RolloutChanged&) const = default;
};

/** What applying a command gave. */
using ApplyResult = std::variant<NothingApplied,
                                 EditAnswer,
                                 EpochApplied,
                                 FencingNumber,
                                 DocumentApplied,
                                 QuarantineApplied,
                                 RolloutOrdered,
                                 RolloutChanged>;

/** The state that the control log's commands make; alike on all replicas. */
class StateMachine
{
public:
  StateMachine(StateMachineOptions aOptions, MachineState aState);

  /** Applies one committed command. */
  ApplyResult Apply(const Command& aCommand);

  const MachineState& State() const { return mState; }
  /** Checksum of the newest settings text. */
  std::uint64_t SettingsDigest() const { return mSettingsDigest; }

  /** Returns the first answer to an edit, or empty when it is unknown. */
  std::optional<EditAnswer> KnownEdit(const EditId& aEdit,
                                      std::uint64_t aDigest) const;
  /** Returns the text of a revision; empty when it is no longer kept. */
  std::optional<std::string> TextAt(Revision aRevision,
                                    LastReason& aReason) const;

private:
  ApplyResult ApplyOne(const NoopCommand& aCommand);
  ApplyResult ApplyOne(const ReplicaSetCommand& aCommand);
  ApplyResult ApplyOne(const EditCommand& aCommand);
  ApplyResult ApplyOne(const MembershipCommand& aCommand);
  ApplyResult ApplyOne(const FencingCommand& aCommand);
  ApplyResult ApplyOne(const DocumentCommand& aCommand);
  ApplyResult ApplyOne(const UsageCommand& aCommand);
  ApplyResult ApplyOne(const QuotaFloorsCommand& aCommand);
  ApplyResult ApplyOne(const QuarantineCommand& aCommand);
  ApplyResult ApplyOne(const RolloutCommand& aCommand);
  ApplyResult ApplyRollout(const rollout::RolloutOrder& aOrder);
  ApplyResult ApplyRollout(const rollout::RolloutEnd& aEnd);
  ApplyResult ApplyRollout(const rollout::RolloutAdvance& aAdvance);

  void ReplaceText(std::string aText, EditId aEdit, std::string aAuthor);
  EditAnswer Judge(const EditCommand& aCommand);
  EditAnswer ConflictOf(Revision aBase) const;
  void Remember(const EditCommand& aCommand, const EditAnswer& aAnswer);
  void TrimHistory();
  void TrimEpochs();

  StateMachineOptions mOptions;
  MachineState mState;
  std::uint64_t mSettingsDigest = 0;
};

/** Tells edits apart that (wrongly) carry the same id. */
std::uint64_t
EditDigest(Revision aBase, const std::string& aText);

} // namespace peridotspool::control
