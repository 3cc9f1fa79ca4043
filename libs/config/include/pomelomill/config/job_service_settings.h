#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "pomelomill/base/ids.h"
#include "pomelomill/base/time.h"
#include "pomelomill/config/diagnostic.h"
#include "pomelomill/config/serve_settings.h"

namespace pomelomill {

/// What the VM of an entry provides.
struct EntryCapacity {
  double cpu_cores = 1;
  double memory_mb = 512;
  double link_mbps = 1000;

  bool operator==(const EntryCapacity&) const = default;
};

/// Bounds on the requests that are open at one time.
struct RequestSettings {
  /// Memory of the requests and responses of all connections together; 0 for a
  /// quarter of EntryCapacity::memory_mb, at least 8.
  std::uint32_t memory_mb = 0;
  /// Connections of callers.
  std::uint32_t connections = 1024;

  bool operator==(const RequestSettings&) const = default;
};

/// Settings of one entry of the job service (`pomelomill dispatch`). Addresses
/// are "HOST:PORT".
struct JobServiceSettings {
  EntryId entry;
  ZoneId zone;
  std::string caller_address;
  std::string ready_address;
  std::string peer_address;
  /// Empty when no metrics are served.
  std::string metrics_address;
  std::string store_address;
  /// Where the platform lists, moves and maintains VMs; may be empty.
  std::string fleet_address;
  /// Where placement tickets are had; empty when no queue needs them.
  std::string placement_address;
  LogLevel log_level = LogLevel::kInfo;
  /// Pools go to the entries that can carry them.
  EntryCapacity capacity;
  RequestSettings requests;

  /// Time to live of the entry's lease in the store. An owner that is lost is
  /// replaced after this time.
  Duration entry_lease = std::chrono::milliseconds(3000);
  /// Allowance for a store clock that runs faster than the local one.
  Duration lease_margin = std::chrono::milliseconds(300);
  /// After the entry's lease may have lapsed, workers' leases are extended for
  /// this long, so that a short outage of the store ends no task. The next
  /// owner of a pool waits as much longer for a worker that does not respond.
  Duration order_grace = std::chrono::milliseconds(500);
  /// Lease of a worker's tasks; the worker ends them when it lapses.
  Duration task_lease = std::chrono::seconds(6);
  /// Time that the platform gives a process to stop.
  Duration stop_grace = std::chrono::seconds(6);

  /// The bound on open requests in MB, also when it is not set.
  std::uint32_t request_memory_mb() const;

  bool operator==(const JobServiceSettings&) const = default;
};

/// The settings of one INI file, or all its errors in the order of lines.
tl::expected<JobServiceSettings, std::vector<Diagnostic>>
ParseJobServiceSettings(std::string_view text, const std::string& file);

}  // namespace pomelomill
