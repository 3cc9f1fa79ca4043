#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "pomelomill/base/result.h"
#include "pomelomill/dispatch/job_progress.h"
#include "pomelomill/dispatch/job_spec.h"
#include "pomelomill/fleet.h"
#include "pomelomill/jobserver/fleet_config.h"
#include "pomelomill/jobserver/worker_calls.h"
#include "pomelomill/store/store_client.h"
#include "pomelomill/store/transaction_client.h"

namespace pomelomill {

/// A worker that has registered itself in the store.
struct ListedWorker {
  WorkerSpec spec;
  PoolId pool;
  std::string address;

  bool operator==(const ListedWorker&) const = default;
};

/// Platform calls on the VMs of all pools. Each call runs its callback exactly
/// once, after the call has returned.
struct FleetCalls {
  std::function<void(std::function<void(Result<std::vector<FleetVm>>)>)> list;
  /// Maintains one VM of a wave. `holder` is the entry that owns the fleet; the
  /// platform rejects a token lower than the highest one it has seen with
  /// WorkerError::kFenced.
  std::function<void(const VmId&, const WaveId&, const EntryId& holder,
                     FencingToken, std::function<void(Result<VmCallOutcome>)>)>
      maintain;
  /// Moves one VM to pool `to`; fenced in the same way as `maintain`.
  std::function<void(const VmId&, const PoolId& to, const EntryId& holder,
                     FencingToken, std::function<void(Result<VmCallOutcome>)>)>
      move;
};

/// Interface to one platform, filled in by its adapter: the external systems,
/// the store keys that the platform uses and the formats of its records.
struct PlatformHooks {
  TransactionClient store;
  /// Client for the store's lease calls; the other calls are not used.
  StoreClient leases;
  WorkerCalls workers;

  /// Store key of the fleet's configuration.
  std::string config_key;
  std::function<Result<FleetConfig>(const std::string& value)> decode_config;
  /// Prefix of the store keys under which workers register.
  std::string worker_prefix;
  /// Returns an error for a registration that does not describe a usable
  /// worker.
  std::function<Result<ListedWorker>(const StoredKey&)> decode_worker;

  FleetCalls fleet;
  /// Prefix of the store keys under which operators request maintenance waves.
  std::string wave_prefix;
  std::function<Result<MaintenanceWave>(const StoredKey&)> decode_wave;
  /// Store key and value with which the state of a wave is reported to the
  /// operator.
  std::function<std::string(const WaveId&)> wave_status_key;
  std::function<std::string(bool is_complete)> encode_wave_status;

  /// Request and response bodies of the callers' HTTP interface.
  std::function<Result<JobSpec>(std::string_view body)> decode_job;
  std::function<std::string(JobPhase)> encode_phase;
  std::function<std::string(std::uint32_t waiting)> encode_waiting;
};

}  // namespace pomelomill
