#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "pomelomill/base/ids.h"
#include "pomelomill/base/result.h"
#include "pomelomill/config/job_service_settings.h"
#include "pomelomill/dispatch/dispatcher.h"
#include "pomelomill/dispatch/job_spec.h"

namespace pomelomill {

// Values of the job service in the store. Each Decode function returns
// DispatchError::kMalformedRecord for text that it does not understand.

/// Where a job belongs.
struct JobLocation {
  PoolId pool;
  QueueId queue;

  bool operator==(const JobLocation&) const = default;
};

std::string EncodeJobLocation(const JobLocation& location);
Result<JobLocation> DecodeJobLocation(const std::string& text);

struct StoredJob {
  QueueId queue;
  JobSpec spec;
};

std::string EncodeStoredJob(const QueueId& queue, const JobSpec& spec);
Result<StoredJob> DecodeStoredJob(const std::string& text);

struct MemberRecord {
  std::string peer_address;
  ZoneId zone;
  IncarnationId incarnation;
  /// The defaults for the record of a version that did not write it.
  EntryCapacity capacity;
};

std::string EncodeMember(const MemberRecord& member);
Result<MemberRecord> DecodeMember(const std::string& text);

struct OwnerRecord {
  EntryId entry;
  IncarnationId incarnation;
};

std::string EncodeOwner(const OwnerRecord& owner);
Result<OwnerRecord> DecodeOwner(const std::string& text);

struct RosterRecord {
  /// Counts the owners of the pool.
  std::uint32_t owner_count = 0;
  /// Workers on which tasks may run, with their addresses.
  std::map<WorkerId, std::string> workers;
};

/// VMs of a wave that were maintained.
std::string EncodeMaintainedVms(const std::set<VmId>& vms);
Result<std::set<VmId>> DecodeMaintainedVms(const std::string& text);

/// Demand of a pool, as entries tell each other.
std::string EncodeLoad(const DispatchLoad& load);
Result<DispatchLoad> DecodeLoad(const std::string& text);

std::string EncodeRoster(const RosterRecord& roster);
Result<RosterRecord> DecodeRoster(const std::string& text);

}  // namespace pomelomill
