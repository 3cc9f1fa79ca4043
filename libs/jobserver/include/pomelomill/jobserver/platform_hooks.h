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

/// A worker as its entry in the store describes it.
struct ListedWorker {
  WorkerSpec spec;
  PoolId pool;
  std::string address;
};

/// Calls on the VMs of all pools. Each runs its callback exactly once, later.
struct FleetCalls {
  std::function<void(std::function<void(Result<std::vector<FleetVm>>)>)> list;
  /// `holder` and `token` let the platform refuse an owner that was replaced;
  /// WorkerError::kFenced then.
  std::function<void(const VmId&, const WaveId&, const EntryId& holder,
                     FencingToken, std::function<void(Result<VmCallOutcome>)>)>
      maintain;
  std::function<void(const VmId&, const PoolId& to, const EntryId& holder,
                     FencingToken, std::function<void(Result<VmCallOutcome>)>)>
      move;
};

/// What an adapter for one platform fills in: the outside systems, and the
/// formats in which the platform writes.
struct PlatformHooks {
  TransactionClient store;
  /// Only the lease calls are used.
  StoreClient leases;
  WorkerCalls workers;

  /// Key of the configuration.
  std::string config_key;
  std::function<Result<FleetConfig>(const std::string& value)> decode_config;
  /// Prefix of the keys under which workers register.
  std::string worker_prefix;
  /// An error for an entry that describes no worker to use.
  std::function<Result<ListedWorker>(const StoredKey&)> decode_worker;

  FleetCalls fleet;
  /// Prefix of the keys under which operators ask for maintenance waves.
  std::string wave_prefix;
  std::function<Result<MaintenanceWave>(const StoredKey&)> decode_wave;
  /// Where a wave's state is reported, and the value.
  std::function<std::string(const WaveId&)> wave_status_key;
  std::function<std::string(bool is_complete)> encode_wave_status;

  /// Bodies of the callers' interface.
  std::function<Result<JobSpec>(std::string_view body)> decode_job;
  std::function<std::string(JobPhase)> encode_phase;
  std::function<std::string(std::uint32_t waiting)> encode_waiting;
};

}  // namespace pomelomill
