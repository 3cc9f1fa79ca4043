#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "pomelomill/base/ids.h"
#include "pomelomill/base/result.h"
#include "pomelomill/config/job_service_settings.h"
#include "pomelomill/dispatch/dispatcher.h"
#include "pomelomill/dispatch/job_spec.h"
#include "pomelomill/jobserver/worker_calls.h"
#include "pomelomill/workspaces/share_ledger.h"

namespace pomelomill {

// Records that the job service keeps in the store or exchanges with peers, and
// their JSON encodings. Each Decode function fails with
// DispatchError::kMalformedRecord for malformed text.

/// Pool and queue that a job was submitted to.
struct JobLocation {
  PoolId pool;
  QueueId queue;

  bool operator==(const JobLocation&) const = default;
};

std::string EncodeJobLocation(const JobLocation& location);
Result<JobLocation> DecodeJobLocation(const std::string& text);

/// Accepted job.
struct StoredJob {
  QueueId queue;
  JobSpec spec;
  /// Workspace of the key with which the job was submitted; empty for a queue
  /// that needs no key.
  WorkspaceId workspace;
  /// Terms of the queue at the acceptance, which outlive its entry in the
  /// configuration. Absent in records of versions that did not write them.
  std::optional<QueueTerms> terms;
};

std::string EncodeStoredJob(const StoredJob& job);
Result<StoredJob> DecodeStoredJob(const std::string& text);
/// Returns the job as a dispatcher takes it, without progress.
AddedJob ToAddedJob(const JobId& id, StoredJob job);

/// Registration of an entry.
struct MemberRecord {
  /// Address ("HOST:PORT") at which the entry serves its peers.
  std::string peer_address;
  ZoneId zone;
  IncarnationId incarnation;
  /// Decoded with the default for each part that the record lacks, since older
  /// versions did not write it, and entirely with defaults when a part is
  /// hardly positive or beyond any machine's.
  EntryCapacity capacity;
};

std::string EncodeMember(const MemberRecord& member);
Result<MemberRecord> DecodeMember(const std::string& text);

/// Process that owns a role.
struct OwnerRecord {
  EntryId entry;
  IncarnationId incarnation;

  bool operator==(const OwnerRecord&) const = default;
};

std::string EncodeOwner(const OwnerRecord& owner);
Result<OwnerRecord> DecodeOwner(const std::string& text);

/// How owners of a pool extend the leases of its workers.
struct LeaseTerms {
  /// Time after the end of the ownership for which leases are extended.
  Duration order_grace{};
  /// Length of the lease that each extension gives.
  Duration task_lease{};

  bool operator==(const LeaseTerms&) const = default;
};

/// What the next owner of a pool needs to know about the previous ones.
struct RosterRecord {
  /// Number of owners that the pool has had so far.
  std::uint32_t owner_count = 0;
  /// Addresses of the workers on which tasks of the pool may run.
  std::map<WorkerId, std::string> workers;

  // Older versions write none of the rest.

  /// Process of the owner that wrote the record.
  std::optional<OwnerRecord> owner;
  /// Whether no owner before that one extends leases of workers any more.
  bool are_earlier_owners_gone = false;
  /// Whether that owner has released the pool and extends no leases any more.
  bool is_released = false;
  /// Ownership under which the record was written.
  FencingToken token;
  /// The longest terms of that owner and of those before it that may still
  /// extend leases.
  std::optional<LeaseTerms> lease_terms;
};

/// Backlog of a pool as its owner published it.
struct BacklogRecord {
  /// Of the ownership under which the record was written.
  FencingToken token;
  PoolBacklog backlog;
};

std::string EncodeBacklog(const BacklogRecord& record);
Result<BacklogRecord> DecodeBacklog(const std::string& text);

/// Encoding of the VMs of a wave that have been maintained.
std::string EncodeMaintainedVms(const std::set<VmId>& vms);
Result<std::set<VmId>> DecodeMaintainedVms(const std::string& text);

/// Encoding of a pool's load in responses to peers.
std::string EncodeLoad(const DispatchLoad& load);
Result<DispatchLoad> DecodeLoad(const std::string& text);

/// Encoding of the shares of a workspace.
std::string EncodeShares(const ShareRecord& shares);
Result<ShareRecord> DecodeShares(const std::string& text);

std::string EncodeRoster(const RosterRecord& roster);
Result<RosterRecord> DecodeRoster(const std::string& text);

}  // namespace pomelomill
