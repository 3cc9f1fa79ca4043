#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "pomelomill/platform/region_state.h"
#include "pomelomill/testing.h"

namespace pomelomill::faults {

enum class CallerOutcome { kAnswered, kNotRun, kUnknown };

/// One request of a caller, as the caller saw it.
struct CallerRequest {
  std::string id;
  /// The caller's own at-most-once key; empty for none.
  std::string key;
  QueueId queue;
  /// Entry that accepted it.
  std::string entry;
  bool is_repeatable = true;
  /// The caller gave up by itself; the request does not count for P1.
  bool is_cancelled = false;
  Instant sent;
  Duration deadline = std::chrono::seconds(2);
  /// Absent while no response came, as when the entry crashed.
  std::optional<CallerOutcome> outcome;
  Instant answered;
  std::string body;
  /// Number of responses that the caller was sent.
  std::uint32_t responses = 0;
};

/// A configuration that came into force in one process.
struct InForce {
  Instant at;
  std::string process;
  Revision revision;
};

enum class ApplyOutcome {
  kPending,
  kAccepted,
  kConflict,
  kNotWritten,
  kUnknown
};

/// One operator's apply with what it reported.
struct ApplyReport {
  ApplyId id;
  std::string process;
  ApplyOutcome outcome = ApplyOutcome::kPending;
  /// Of an accepted apply.
  Revision revision;
  /// Mark of the write that this attempt made; empty when it made none. A
  /// repeat under the same apply id is an attempt of its own.
  std::string writer;
  std::uint64_t sequence = 0;
};

/// One write of the configuration that took effect in the store.
struct ConfigWrite {
  Instant at;
  Version version;
  Revision revision;
  ApplyId apply;
  std::string writer;
  std::uint64_t sequence = 0;
};

/// One write of the region state that took effect in the store.
struct RegionWrite {
  Instant at;
  Version version;
  RegionState state;
};

/// A moment at which a process acted on the control lease.
struct AuthorityUse {
  Instant at;
  std::string process;
  LeaseId lease;
};

/// Where one process stands at the end of a cell.
struct ProcessRecord {
  std::string name;
  bool is_running = true;
  bool is_paused = false;
  /// False for an operator's command, which does not follow the
  /// configuration.
  bool is_entry = true;
  std::vector<testing::ProcessEvent> events;
};

/// A request that must be answered within its deadline with this probability.
struct QueueBudget {
  double availability = 0.9;
};

/// Everything that really happened in one cell, from the records of the
/// fakes. The checkers read nothing else.
struct Evidence {
  Instant end;
  /// When the last fault had ended; absent when none has happened.
  std::optional<Instant> healed;
  std::vector<ProcessRecord> processes;
  std::vector<CallerRequest> requests;
  std::map<QueueId, QueueBudget> budgets;
  std::vector<testing::EndpointRun> runs;
  std::vector<testing::PlatformOperation> operations;
  std::vector<testing::TaskRun> task_runs;
  std::vector<ConfigWrite> config_writes;
  std::vector<InForce> in_force;
  std::vector<ApplyReport> applies;
  std::vector<RegionWrite> region_writes;
  std::map<LeaseId, testing::StoreLease> leases;
  std::vector<AuthorityUse> authority_uses;
  /// Remarks of the scenario, for a failing cell.
  std::vector<std::string> notes;
};

}  // namespace pomelomill::faults
