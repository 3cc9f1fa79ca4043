#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "job_acceptor.h"
#include "pomelomill/base/random.h"
#include "pomelomill/base/virtual_timer_service.h"
#include "pomelomill/jobserver/coordinator.h"
#include "pomelomill/jobtesting.h"

namespace pomelomill {

/// Simulates a small deployment in virtual time: entries, store, workers and
/// VMs. Pools "p0" and "p1" have one queue each ("q0" and "q1") and the same
/// number of workers with four cores.
class JobWorld {
 public:
  struct Options {
    std::uint64_t seed = 1;
    std::size_t entries = 3;
    std::size_t workers_per_pool = 3;
    /// Tasks run for 0.5 to 1.5 times this long.
    Duration run_time = std::chrono::milliseconds(800);
    /// Probability that a run of a task fails.
    double fail_share = 0;
    /// Whether a run of a task fails, in addition to `fail_share`.
    std::function<bool(const TaskKey&, std::uint32_t run)> fails;
    /// Whether a task crashes each worker that starts it.
    std::function<bool(const TaskKey&)> crashes_worker;
    /// Simulates links of limited rate and the time that an entry takes to
    /// answer its peers, so that entries can be overloaded.
    bool can_overload = false;

    /// JobServiceSettings::order_grace of all entries, if not the default.
    std::optional<Duration> order_grace;

    /// What the time of day on each entry's machine is ahead of the true one;
    /// 0 for entries that are not named.
    std::map<std::size_t, Duration> wall_offsets;

    /// Whether the store lists a worker that starts again at once, not up to a
    /// heartbeat later.
    bool lists_restarts_at_once = false;

    // Passed on to FakeWorkers::Options, which explains them.
    bool is_calm = false;
    bool checks_first_moments = false;
    std::size_t ends_per_answer = 500;
  };

  explicit JobWorld(const Options& options);
  ~JobWorld();

  /// Starts a new process of entry `i`; kills the running one, if any.
  void StartEntry(std::size_t i);
  void KillEntry(std::size_t i);
  bool is_running(std::size_t i) const { return entries_[i] != nullptr; }
  void PauseEntry(std::size_t i);
  void ResumeEntry(std::size_t i);
  void LeaveEntry(std::size_t i) { entries_[i]->coordinator->Leave(); }
  bool has_released_pools(std::size_t i) const {
    return entries_[i]->coordinator->has_released_pools();
  }
  /// Faults of the entry's calls on the store and on VMs, for the test to
  /// change.
  StoreFaults& store_faults(std::size_t i) {
    disturbed_at_[i] = time_.Now();
    return *store_faults_[i];
  }
  VmFaults& vm_faults(std::size_t i) {
    disturbed_at_[i] = time_.Now();
    return *vm_faults_[i];
  }
  FakeVms& vms() { return *vms_; }
  /// Requests a maintenance wave over all VMs, at most `max_down` at a time.
  void StartWave(const std::string& wave, std::uint32_t max_down);
  /// Reported status of a wave: "running" or "complete".
  std::string WaveState(const std::string& wave) const;
  WorkerFaults& worker_faults(std::size_t i) { return *worker_faults_[i]; }

  // Overload of an entry, which persists over restarts of its process. Needs
  // Options::can_overload.

  /// Sets the time for which each callback occupies the process.
  void SetServiceTime(std::size_t i, Duration time);
  /// Sets the rate of the entry's link in each direction, in bytes per second;
  /// 0 for no limit.
  void SetLinkRate(std::size_t i, std::uint64_t rate);
  /// Sets the duration of each decision of the given name ("size-pools",
  /// "maintain", "dispatch"). Calls that the decision makes are sent after this
  /// time.
  void SetDecisionTime(std::size_t i, const std::string& decision,
                       Duration time);

  /// The newest configuration.
  const FleetConfig& config() const { return configs_.rbegin()->second; }
  /// Writes a configuration, whose revision becomes the next one.
  void PutConfig(FleetConfig config);
  /// Writes the newest configuration with these caps on the cores of
  /// workspaces, in thousandths, and no other workspaces. The fake workers
  /// check them.
  void PutCaps(const std::map<std::string, std::uint64_t>& caps);
  /// Writes the newest configuration without the queue of a pool.
  void DropQueue(std::size_t pool);

  /// Submits a job at entry `i`; outcome() returns the result once it is known.
  /// The job is refused when the entry's configuration, or the newest one if it
  /// has none yet, has no queue for the pool.
  void Submit(std::size_t i, const std::string& job, std::size_t pool,
              const JobSpec& spec, const std::string& workspace = {});
  std::optional<AcceptOutcome> outcome(const std::string& job) const;
  /// Writes a cancellation to the store. The fake workers treat the job as
  /// cancelled from now on.
  void Cancel(const std::string& job, std::size_t pool);
  /// Stored phase of a job; "queued" before its first progress is stored.
  std::string Phase(const std::string& job, std::size_t pool) const;
  /// Number of pools that entry `i` considers its own; 0 when it is not
  /// running.
  std::size_t OwnedPools(std::size_t i) const;
  /// Index of the entry that owns the pool according to the store; -1 for none.
  int Owner(std::size_t pool) const;
  /// Index of the entry that owns the fleet role; -1 for none.
  int FleetOwner() const;

  /// Backlog of the pool as entry `i` knows it; null for none.
  const PoolBacklog* Backlog(std::size_t i, std::size_t pool) const;
  TimerService& timers() { return time_; }

  WorkerId worker(std::size_t pool, std::size_t n) const;
  void ListWorker(const WorkerId& worker, bool is_draining = false);
  void UnlistWorker(const WorkerId& worker);

  void Advance(Duration d) { time_.Advance(d); }
  Instant now() const { return time_.Now(); }
  FakeKvStore& store() { return *store_; }
  FakeWorkers& workers() { return *workers_; }
  const FakeWorkers& workers() const { return *workers_; }
  Random& random() { return random_; }
  const std::vector<std::string>& events() const { return events_; }
  /// Violations that the fake workers and VMs detected, of all rules or of
  /// those whose name starts with `rule`.
  std::vector<std::string> Violations(const std::string& rule = {}) const;
  /// The latest 60 event log lines, to print with a failed check.
  /// POMELOMILL_HISTORY=N in the environment sets another number.
  std::string History() const;

 private:
  struct Entry {
    explicit Entry(TimerService& base) : timers(base) {}
    PausableTimers timers;
    std::unique_ptr<EntryLink> link;
    PlatformHooks platform;
    std::unique_ptr<Coordinator> coordinator;
    std::unique_ptr<JobAcceptor> acceptor;
  };

  /// Overload of an entry, kept over restarts.
  struct OverloadSettings {
    Duration service_time{};
    std::uint64_t link_rate = 0;
    std::map<std::string, Duration, std::less<>> decision_times;
  };

  static FleetConfig FirstConfig();
  PlatformHooks ConnectHooks(std::size_t i, Entry& entry);
  /// Advances virtual time for the rest of the deployment by the duration set
  /// for the decision.
  void SpendDecisionTime(std::size_t i, std::string_view decision);
  /// Whether the entry runs and has had no pause and no fault of its calls on
  /// the store or VMs for the last three seconds.
  bool IsUndisturbed(const EntryId& entry) const;
  /// Delivers the query of entry `asker` for the load of a pool to a peer.
  void QueryEntry(std::size_t asker, const std::string& address,
                  const std::string& path,
                  const std::function<void(Result<std::string>)>& done);

  Options options_;
  VirtualTimerService time_;
  Random random_;
  /// All configurations that were written, by revision.
  std::map<Revision, FleetConfig> configs_;
  std::unique_ptr<FakeKvStore> store_;
  std::unique_ptr<FakeWorkers> workers_;
  std::unique_ptr<FakeVms> vms_;
  std::vector<VmId> vm_ids_;
  std::vector<std::unique_ptr<VmFaults>> vm_faults_;
  std::vector<std::unique_ptr<StoreFaults>> store_faults_;
  std::vector<std::unique_ptr<WorkerFaults>> worker_faults_;
  std::vector<std::unique_ptr<Entry>> entries_;
  /// Killed processes; calls in flight still refer to their timers.
  std::vector<std::unique_ptr<Entry>> stopped_entries_;
  std::map<std::string, AcceptOutcome> outcomes_;
  std::vector<std::string> events_;
  /// Number of process starts, for unique incarnations.
  int starts_ = 0;
  std::vector<OverloadSettings> overload_settings_;
  /// When the test last started, killed or resumed each entry or asked for its
  /// store or VM faults.
  std::vector<Instant> disturbed_at_;
  std::vector<bool> is_paused_;
  /// Prevents nested calls of SpendDecisionTime().
  bool is_deciding_ = false;
};

/// Returns the seeds from 1 to `last`, or those that POMELOMILL_SEEDS="FIRST
/// LAST" in the environment names instead.
std::vector<std::uint64_t> SeedsToRun(std::uint64_t last);

/// Returns a job of `steps` consecutive steps, each of `tasks` tasks of one
/// core.
JobSpec ChainJob(std::uint32_t steps, std::uint32_t tasks);

}  // namespace pomelomill
