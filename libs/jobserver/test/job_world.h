#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "job_acceptor.h"
#include "pomelomill/base/random.h"
#include "pomelomill/base/virtual_timer_service.h"
#include "pomelomill/jobserver/coordinator.h"
#include "pomelomill/jobtesting.h"

namespace pomelomill {

/// Entries, store and workers of a small deployment in virtual time: pools
/// "p0" and "p1", each with one queue "q0" or "q1" and the same number of
/// workers of four cores.
class JobWorld {
 public:
  struct Options {
    std::uint64_t seed = 1;
    std::size_t entries = 3;
    std::size_t workers_per_pool = 3;
    Duration run_time = std::chrono::milliseconds(800);
    double fail_share = 0;
    /// Calls pass through links of limited rate, and peers answer on their own
    /// timers, so that entries can be overloaded.
    bool can_overload = false;
    /// See FakeWorkers::Options.
    bool is_calm = false;
    std::size_t ends_per_answer = 500;
  };

  explicit JobWorld(const Options& options);
  ~JobWorld();

  /// Starts entry `i` as a new process; a running one ends without notice.
  void StartEntry(std::size_t i);
  void KillEntry(std::size_t i);
  bool is_running(std::size_t i) const { return entries_[i] != nullptr; }
  void PauseEntry(std::size_t i);
  void ResumeEntry(std::size_t i);
  void LeaveEntry(std::size_t i) { entries_[i]->coordinator->Leave(); }
  bool has_released_pools(std::size_t i) const {
    return entries_[i]->coordinator->has_released_pools();
  }
  StoreFaults& store_faults(std::size_t i) {
    disturbed_at_[i] = time_.Now();
    return *store_faults_[i];
  }
  VmFaults& vm_faults(std::size_t i) {
    disturbed_at_[i] = time_.Now();
    return *vm_faults_[i];
  }
  FakeVms& vms() { return *vms_; }
  /// Asks for the maintenance of all VMs, at most `max_down` at a time.
  void StartWave(const std::string& wave, std::uint32_t max_down);
  std::string WaveState(const std::string& wave) const;
  WorkerFaults& worker_faults(std::size_t i) { return *worker_faults_[i]; }

  // Overload of an entry; it stays when the process is started again. Needs
  // Options::can_overload.

  /// Time for which each callback occupies the process.
  void SetServiceTime(std::size_t i, Duration time);
  /// Bytes a second that its link carries in each direction; 0 for no limit.
  void SetLinkRate(std::size_t i, std::uint64_t rate);
  /// Time that each decision of that name takes ("size-pools", "maintain",
  /// "dispatch"). The orders that follow from it are sent afterwards.
  void SetDecisionTime(std::size_t i, const std::string& decision,
                       Duration time);

  /// Hands a job in at entry `i`; its outcome is in outcome() later.
  void Submit(std::size_t i, const std::string& job, std::size_t pool,
              const JobSpec& spec);
  std::optional<AcceptOutcome> outcome(const std::string& job) const;
  /// The store's answer is the acknowledgement.
  void Cancel(const std::string& job, std::size_t pool);
  /// Stored phase of a job; "queued" before the first write.
  std::string Phase(const std::string& job, std::size_t pool) const;
  std::size_t OwnedPools(std::size_t i) const;
  /// The entry that owns the pool by the store; -1 when there is none.
  int Owner(std::size_t pool) const;
  /// The entry that moves and maintains VMs; -1 when there is none.
  int FleetOwner() const;

  WorkerId worker(std::size_t pool, std::size_t n) const;
  void ListWorker(const WorkerId& worker, bool is_draining = false);
  void UnlistWorker(const WorkerId& worker);

  void Advance(Duration d) { time_.Advance(d); }
  FakeKvStore& store() { return *store_; }
  FakeWorkers& workers() { return *workers_; }
  Random& random() { return random_; }
  const std::vector<std::string>& events() const { return events_; }
  /// Broken rules that the stand-ins have seen, of all rules or of one.
  std::vector<std::string> Violations(const std::string& rule = {}) const;
  /// Events of the last seconds, for a failed check.
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

  struct OverloadSettings {
    Duration service_time{};
    std::uint64_t link_rate = 0;
    std::map<std::string, Duration, std::less<>> decision_times;
  };

  FleetConfig Config() const;
  PlatformHooks ConnectHooks(std::size_t i, Entry& entry);
  /// Lets the time of a decision pass for everybody else.
  void SpendDecisionTime(std::size_t i, std::string_view decision);
  /// No fault of the entry, but for overload, in the last three seconds.
  bool IsUndisturbed(const EntryId& entry) const;
  /// A peer's question about the demand of a pool.
  void QueryEntry(std::size_t asker, const std::string& address,
                const std::string& path,
                const std::function<void(Result<std::string>)>& done);

  Options options_;
  VirtualTimerService time_;
  Random random_;
  std::unique_ptr<FakeKvStore> store_;
  std::unique_ptr<FakeWorkers> workers_;
  std::unique_ptr<FakeVms> vms_;
  std::vector<VmId> vm_ids_;
  std::vector<std::unique_ptr<VmFaults>> vm_faults_;
  std::vector<std::unique_ptr<StoreFaults>> store_faults_;
  std::vector<std::unique_ptr<WorkerFaults>> worker_faults_;
  std::vector<std::unique_ptr<Entry>> entries_;
  std::vector<std::unique_ptr<Entry>> stopped_entries_;
  std::map<std::string, AcceptOutcome> outcomes_;
  std::vector<std::string> events_;
  int starts_ = 0;
  std::vector<OverloadSettings> overload_settings_;
  /// When each entry was last killed, started, paused or resumed.
  std::vector<Instant> disturbed_at_;
  std::vector<bool> is_paused_;
  /// The time of a decision passes.
  bool is_deciding_ = false;
};

/// A job of `steps` steps, each of `tasks` tasks of one core, one after the
/// other.
JobSpec ChainJob(std::uint32_t steps, std::uint32_t tasks);

}  // namespace pomelomill
