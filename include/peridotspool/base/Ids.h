#pragma once

#include "peridotspool/base/StrongId.h"

namespace peridotspool {

/**
 * One life of one entry process. The control log gives it out when the process
 * joins, rising and never reused, so an entry that restarts (and has lost its
 * memory) is a new member and never mistaken for its earlier life.
 */
using MemberId = NumberId<struct MemberIdTag>;
/** Number of a member list; only the control log makes one, rising by one. */
using EpochNumber = NumberId<struct EpochNumberTag>;
/** A part of the request ledger, from 0 to kShardCount - 1. */
using ShardId = NumberId<struct ShardIdTag>;
/** Place of an operation in a shard's log; the first is 1. */
using SequenceNumber = NumberId<struct SequenceNumberTag>;
/** Which try at an upstream, counted for each request; the first is 1. */
using AttemptNumber = NumberId<struct AttemptNumberTag>;
/** A control replica's identity; a replica that lost its disk gets a new one.
 */
using ReplicaId = NumberId<struct ReplicaIdTag>;
/** Election term of the control log. */
using Term = NumberId<struct TermTag>;
/** Place of an entry in the control log; the first is 1. */
using LogIndex = NumberId<struct LogIndexTag>;
/** Revision of the settings tree; the tree of an empty system is 0. */
using Revision = NumberId<struct RevisionTag>;
/** Carried by orders to engines; a higher one overrides a lower one. */
using FencingNumber = NumberId<struct FencingNumberTag>;
/** Names one life of an upstream process; a later life has a higher number. */
using Incarnation = NumberId<struct IncarnationTag>;
/** A host's own handle for one question to a core. */
using CallId = NumberId<struct CallIdTag>;

/** Name of an entry instance in its settings file. */
using EntryName = NameId<struct EntryNameTag>;
using FailureDomain = NameId<struct FailureDomainTag>;
using Region = NameId<struct RegionTag>;
using CustomerName = NameId<struct CustomerNameTag>;
using ServiceName = NameId<struct ServiceNameTag>;
using UpstreamName = NameId<struct UpstreamNameTag>;
/** Version of the software that an upstream runs. */
using VersionName = NameId<struct VersionNameTag>;
/** An operator's own name for an edit, so that a resent one is recognised. */
using EditId = NameId<struct EditIdTag>;

} // namespace peridotspool
