#pragma once

#include "peridotspool/base/LastReason.h"
#include "peridotspool/control/Command.h"
#include "peridotspool/control/EditResponse.h"
#include "peridotspool/control/MachineState.h"
#include "peridotspool/control/StateMachineOptions.h"

#include <optional>
#include <string>
#include <variant>

namespace peridotspool::control {

/** The command has no result that a pending request waits for. */
struct NoResultApplied
{
  auto operator<=>(const NoResultApplied&) const = default;
};

/**
 * The epoch that the membership command created; unset when it changed nothing.
 */
struct EpochApplied
{
  EpochNumber mEpoch;

  auto operator<=>(const EpochApplied&) const = default;
};

/** A document was evaluated; the newest one now has this version. */
struct DocumentApplied
{
  std::uint64_t mNewest = 0;

  auto operator<=>(const DocumentApplied&) const = default;
};

/** The quarantine table has changed. */
struct QuarantineApplied
{
  auto operator<=>(const QuarantineApplied&) const = default;
};

/** A rollout order was evaluated: the verdict and the rollout. */
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

/** The result of applying a command. */
using ApplyResult = std::variant<NoResultApplied,
                                 EditResponse,
                                 EpochApplied,
                                 FencingNumber,
                                 DocumentApplied,
                                 QuarantineApplied,
                                 RolloutOrdered,
                                 RolloutChanged>;

/**
 * The state produced by the control log's commands; identical on all replicas.
 */
class StateMachine
{
public:
  StateMachine(StateMachineOptions aOptions, MachineState aState);

  /** Applies one committed command. */
  ApplyResult Apply(const Command& aCommand);

  const MachineState& State() const { return mState; }
  /** Checksum of the newest settings text. */
  std::uint64_t SettingsDigest() const { return mSettingsDigest; }

  /**
   * Returns the first response to an edit, or empty when the edit is unknown.
   */
  std::optional<EditResponse> KnownEdit(const EditId& aEdit,
                                        std::uint64_t aDigest) const;
  /** Returns the text of a revision; empty when it is no longer retained. */
  std::optional<std::string> TextAt(Revision aRevision,
                                    LastReason& aReason) const;

private:
  ApplyResult ApplyCommand(const NoopCommand& aCommand);
  ApplyResult ApplyCommand(const ReplicaSetCommand& aCommand);
  ApplyResult ApplyCommand(const EditCommand& aCommand);
  ApplyResult ApplyCommand(const MembershipCommand& aCommand);
  ApplyResult ApplyCommand(const FencingCommand& aCommand);
  ApplyResult ApplyCommand(const DocumentCommand& aCommand);
  ApplyResult ApplyCommand(const UsageCommand& aCommand);
  ApplyResult ApplyCommand(const QuotaFloorsCommand& aCommand);
  ApplyResult ApplyCommand(const QuarantineCommand& aCommand);
  ApplyResult ApplyCommand(const RolloutCommand& aCommand);
  ApplyResult ApplyRollout(const rollout::RolloutOrder& aOrder);
  ApplyResult ApplyRollout(const rollout::RolloutEnd& aEnd);
  ApplyResult ApplyRollout(const rollout::RolloutAdvance& aAdvance);

  void ReplaceText(std::string aText, EditId aEdit, std::string aAuthor);
  EditResponse Judge(const EditCommand& aCommand);
  EditResponse ConflictOf(Revision aBase) const;
  void Remember(const EditCommand& aCommand, const EditResponse& aAnswer);
  void TrimHistory();
  void TrimEpochs();

  StateMachineOptions mOptions;
  MachineState mState;
  std::uint64_t mSettingsDigest = 0;
};

/**
 * Returns a checksum that distinguishes edits that (wrongly) carry the same id.
 */
std::uint64_t
EditDigest(Revision aBase, const std::string& aText);

} // namespace peridotspool::control
