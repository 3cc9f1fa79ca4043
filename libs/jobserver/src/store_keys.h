#pragma once

#include <string>

#include "pomelomill/base/ids.h"

namespace pomelomill {

// Keys of the job service in the store.

/// Members and owners; one watch covers both.
inline constexpr const char* kClusterPrefix = "cluster/";
inline constexpr const char* kMemberPrefix = "cluster/members/";
inline constexpr const char* kOwnerPrefix = "cluster/owners/";

inline std::string MemberKey(const EntryId& entry) {
  return kMemberPrefix + entry.value();
}
/// Attached to the owner's lease. Its version is the fencing token.
inline std::string OwnerKey(const PoolId& pool) {
  return kOwnerPrefix + pool.value();
}
/// Where a job belongs. Written once, when the job is accepted.
inline std::string JobLocationKey(const JobId& job) { return "ids/" + job.value(); }
/// Jobs and cancellations of a pool; the owner watches them.
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
/// Workers that the owner is asked to empty; part of what it watches. The value
/// names the request.
inline std::string EvacuationPrefix(const PoolId& pool) {
  return PoolPrefix(pool) + "evacuations/";
}
inline std::string EvacuationKey(const PoolId& pool, const WorkerId& worker) {
  return EvacuationPrefix(pool) + worker.value();
}
/// Workers that their pool's owner has emptied; the fleet's owner watches. The
/// value is that of the request.
inline constexpr const char* kEvacuatedPrefix = "emptied/";
inline std::string EvacuatedKey(const PoolId& pool, const WorkerId& worker) {
  return kEvacuatedPrefix + pool.value() + "/" + worker.value();
}
/// The VMs of a wave that were maintained.
inline std::string WaveProgressKey(const WaveId& wave) {
  return "waves/" + wave.value();
}
/// Owned like a pool: the right to move and maintain VMs.
inline constexpr const char* kFleetRole = "@fleet";
/// Changed by each write of the fleet's owner.
inline constexpr const char* kFleetWritesKey = "fleet/writes";
/// Path under which an owner tells peers its pool's demand.
inline std::string LoadPath(const PoolId& pool) {
  return "/loads/" + pool.value();
}
/// Written by the owner only.
inline std::string ProgressPrefix(const PoolId& pool) {
  return "progress/" + pool.value() + "/";
}
inline std::string ProgressKey(const PoolId& pool, const JobId& job) {
  return ProgressPrefix(pool) + job.value();
}
/// The pool's count of owners and the workers that run its tasks.
inline std::string RosterKey(const PoolId& pool) {
  return "rosters/" + pool.value();
}

}  // namespace pomelomill
