#pragma once

#include <string>

#include "pomelomill/base/ids.h"
#include "pomelomill/workspaces/resource_amount.h"

namespace pomelomill {

// Keys of the job service in the store, and the path of a query to peers.

/// Common prefix of members and owners, so that one watch covers both.
inline constexpr const char* kClusterPrefix = "cluster/";
inline constexpr const char* kMemberPrefix = "cluster/members/";
inline constexpr const char* kOwnerPrefix = "cluster/owners/";

/// Registration of an entry. Attached to the entry's lease.
inline std::string MemberKey(const EntryId& entry) {
  return kMemberPrefix + entry.value();
}
/// Owner of a pool or of the fleet role. Attached to the owner's lease; its
/// version is the fencing token.
inline std::string OwnerKey(const PoolId& pool) {
  return kOwnerPrefix + pool.value();
}
/// BacklogRecord of a pool. Attached to the owner's lease.
inline constexpr const char* kBacklogPrefix = "cluster/backlogs/";
inline std::string BacklogKey(const PoolId& pool) {
  return kBacklogPrefix + pool.value();
}
/// Location (pool and queue) of a job. Written once, when the job is accepted,
/// which makes acceptance idempotent.
inline std::string JobLocationKey(const JobId& job) {
  return "ids/" + job.value();
}
/// Inputs of a pool's owner, which watches the prefix: jobs, cancellations and
/// evacuation requests.
inline std::string PoolPrefix(const PoolId& pool) {
  return "pools/" + pool.value() + "/";
}
inline std::string JobPrefix(const PoolId& pool) {
  return PoolPrefix(pool) + "jobs/";
}
inline std::string CancelPrefix(const PoolId& pool) {
  return PoolPrefix(pool) + "cancels/";
}
inline std::string JobKey(const PoolId& pool, const JobId& job) {
  return JobPrefix(pool) + job.value();
}
inline std::string CancelKey(const PoolId& pool, const JobId& job) {
  return CancelPrefix(pool) + job.value();
}
/// Requests to a pool's owner to evacuate workers. The value identifies the
/// request.
inline std::string EvacuationPrefix(const PoolId& pool) {
  return PoolPrefix(pool) + "evacuations/";
}
inline std::string EvacuationKey(const PoolId& pool, const WorkerId& worker) {
  return EvacuationPrefix(pool) + worker.value();
}
/// Workers that their pool's owner has evacuated, for the fleet manager, which
/// watches the prefix. The value is that of the request.
inline constexpr const char* kEvacuatedPrefix = "emptied/";
inline std::string EvacuatedKey(const PoolId& pool, const WorkerId& worker) {
  return kEvacuatedPrefix + pool.value() + "/" + worker.value();
}
/// VMs of a maintenance wave that have been maintained.
inline std::string WaveProgressKey(const WaveId& wave) {
  return "waves/" + wave.value();
}
/// Role that is owned like a pool and gives the right to move and maintain VMs.
inline constexpr const char* kFleetRole = "@fleet";
/// Key that each transaction of the fleet manager writes. The job acceptor
/// reads it to probe the store.
inline constexpr const char* kFleetWritesKey = "fleet/writes";
/// Progress of the jobs of a pool; written by the pool's owner only.
inline std::string ProgressPrefix(const PoolId& pool) {
  return "progress/" + pool.value() + "/";
}
inline std::string ProgressKey(const PoolId& pool, const JobId& job) {
  return ProgressPrefix(pool) + job.value();
}
/// RosterRecord of a pool: the number of its owners so far and the workers that
/// may run its tasks.
inline std::string RosterKey(const PoolId& pool) {
  return "rosters/" + pool.value();
}

/// Division of a workspace's cap between the pools, see ShareLedger. Each
/// pool's owner changes the share of its pool.
inline constexpr const char* kSharePrefix = "workspaces/";
inline std::string ShareKey(const WorkspaceId& workspace) {
  return kSharePrefix + workspace.value();
}

/// HTTP path at which a pool's owner serves the pool's load to peers.
inline std::string LoadPath(const PoolId& pool) {
  return "/loads/" + pool.value();
}

}  // namespace pomelomill
