#include "job_world.h"

#include <algorithm>
#include <cstdlib>
#include <memory>
#include <sstream>
#include <utility>

#include "pomelomill/dispatch/dispatch_error.h"
#include "pomelomill/store/store_error.h"
#include "store_keys.h"

namespace pomelomill {
namespace {

constexpr std::size_t kPools = 2;
/// Corresponds to the platform's setting `stableMs`.
constexpr Duration kStableTime = std::chrono::seconds(3);
constexpr Duration kPeerTimeout = std::chrono::milliseconds(800);
constexpr TaskSize kWorkerCapacity{.cpu_millis = 4'000, .memory_mb = 8'000};

/// A worker's entry is written this often, and when it starts.
constexpr Duration kHeartbeatPeriod = std::chrono::milliseconds(1500);

std::string PoolName(std::size_t pool) { return "p" + std::to_string(pool); }

std::string EntryKey(const WorkerId& worker) {
  return "servers/" + worker.value();
}

std::string EncodeEntry(const WorkerSpec& spec) {
  std::ostringstream text;
  text << (spec.is_draining ? "draining " : "ready ")
       << spec.capacity.cpu_millis << ' ' << spec.capacity.memory_mb << ' '
       << spec.started_ms;
  return text.str();
}

WorkerSpec DecodeEntry(const WorkerId& worker, const std::string& text) {
  WorkerSpec spec{.id = worker};
  std::string state;
  std::istringstream(text) >> state >> spec.capacity.cpu_millis >>
      spec.capacity.memory_mb >> spec.started_ms;
  spec.is_draining = state == "draining";
  return spec;
}

}  // namespace

JobWorld::JobWorld(const Options& options)
    : options_(options), random_(options.seed) {
  store_ = std::make_unique<FakeKvStore>(time_);
  FakeWorkers::Options worker_options;
  worker_options.run_time = [this](const TaskKey&, std::uint32_t) {
    return options_.run_time / 2 + std::chrono::duration_cast<Duration>(
                                       options_.run_time * random_.Unit());
  };
  worker_options.fails = [this](const WorkerId&, const TaskKey& key,
                                std::uint32_t run) {
    return random_.Chance(options_.fail_share) ||
           (options_.fails && options_.fails(key, run));
  };
  worker_options.crashes_worker = options_.crashes_worker;
  worker_options.on_entry_change = [this](const WorkerId& id) {
    const Duration delay = options_.lists_restarts_at_once
                               ? Duration(0)
                               : std::chrono::milliseconds(
                                     random_.Below(ToMillis(kHeartbeatPeriod)));
    time_.ScheduleAfter(delay, [this, id] {
      const std::string key = EntryKey(id);
      if (!store_->Value(key).empty())
        store_->Put(key, EncodeEntry(workers_->Spec(id)));
    });
  };
  worker_options.ends_per_answer = options_.ends_per_answer;
  worker_options.is_calm = options_.is_calm;
  worker_options.checks_first_moments = options_.checks_first_moments;
  workers_ = std::make_unique<FakeWorkers>(time_, random_, worker_options);
  vms_ = std::make_unique<FakeVms>(
      time_, std::chrono::seconds(2),
      FakeVms::Hooks{
          .on_worker_end =
              [this](const WorkerId& id, bool is_late) {
                if (is_late) {
                  workers_->Crash(id);
                } else {
                  workers_->EndByOrder(id);
                }
                UnlistWorker(id);
              },
          .on_worker_begin =
              [this](const PoolId&, const WorkerId& id) {
                workers_->Add({id, id.value() + ":1"}, kWorkerCapacity);
                ListWorker(id);
              },
          .is_in_touch =
              [this](const EntryId& it) { return IsUndisturbed(it); }});
  for (std::size_t pool = 0; pool < kPools; ++pool) {
    for (std::size_t n = 0; n < options_.workers_per_pool; ++n) {
      const WorkerId id = worker(pool, n);
      // Worker clocks drift by up to 2 %.
      workers_->Add({id, id.value() + ":1"}, kWorkerCapacity,
                    n % 2 == 0 ? -0.02 : 0.01);
      ListWorker(id);
      vm_ids_.emplace_back(id.value() + "vm");
      vms_->Add(vm_ids_.back(), PoolId(PoolName(pool)), id);
    }
  }
  PutConfig(FirstConfig());
  entries_.resize(options_.entries);
  overload_settings_.resize(options_.entries);
  disturbed_at_.resize(options_.entries);
  is_paused_.resize(options_.entries);
  for (std::size_t i = 0; i < options_.entries; ++i) {
    store_faults_.push_back(std::make_unique<StoreFaults>());
    worker_faults_.push_back(std::make_unique<WorkerFaults>());
    vm_faults_.push_back(std::make_unique<VmFaults>());
    StartEntry(i);
  }
}

JobWorld::~JobWorld() {
  for (auto& it : entries_) it.reset();
}

FleetConfig JobWorld::FirstConfig() {
  FleetConfig config;
  for (std::size_t pool = 0; pool < kPools; ++pool) {
    config.pools.push_back({.id = PoolId(PoolName(pool))});
    config.queues.push_back({.id = QueueId("q" + std::to_string(pool)),
                             .host = "h",
                             .prefix = "/" + PoolName(pool) + "/",
                             .pool = PoolId(PoolName(pool)),
                             .policy = {.max_attempts = 4, .stretch = 2}});
  }
  return config;
}

PlatformHooks JobWorld::ConnectHooks(std::size_t i, Entry& entry) {
  // With simulated overload the entry's link delivers the responses to the
  // process, so that the fakes use timers that the process does not block.
  TimerService& timers =
      options_.can_overload ? static_cast<TimerService&>(time_) : entry.timers;
  PlatformHooks hooks;
  hooks.store = store_->Client(timers, *store_faults_[i]);
  hooks.leases = store_->Leases(timers, *store_faults_[i]);
  hooks.workers = workers_->Calls(timers, *worker_faults_[i]);
  hooks.fleet = vms_->Calls(timers, *vm_faults_[i]);
  if (!options_.can_overload) return hooks;
  entry.link = std::make_unique<EntryLink>(time_, entry.timers);
  entry.link->SetRate(overload_settings_[i].link_rate);
  entry.timers.SetServiceTime(overload_settings_[i].service_time);
  return entry.link->Wrap(hooks);
}

void JobWorld::StartEntry(std::size_t i) {
  KillEntry(i);
  disturbed_at_[i] = time_.Now();
  auto entry = std::make_unique<Entry>(time_);
  PlatformHooks& hooks = entry->platform;
  hooks = ConnectHooks(i, *entry);
  hooks.wave_prefix = "op/wave/";
  hooks.decode_wave = [this](const StoredKey& key) -> Result<MaintenanceWave> {
    return MaintenanceWave{
        .id = WaveId(key.key.substr(key.key.rfind('/') + 1)),
        .vms = vm_ids_,
        .max_down = static_cast<std::uint32_t>(std::stoul(key.value))};
  };
  hooks.wave_status_key = [](const WaveId& wave) {
    return "status/wave/" + wave.value();
  };
  hooks.encode_wave_status = [](bool is_complete) -> std::string {
    return is_complete ? "complete" : "running";
  };
  hooks.config_key = "op/config";
  hooks.decode_config = [this](const std::string& text) -> Result<FleetConfig> {
    return configs_.at(Revision(std::stoull(text)));
  };
  hooks.worker_prefix = "servers/";
  hooks.decode_worker = [](const StoredKey& key) -> Result<ListedWorker> {
    if (!key.value.starts_with("ready ") && !key.value.starts_with("draining "))
      return Unexpected(DispatchError::kMalformedRecord);
    ListedWorker worker;
    const std::string id = key.key.substr(key.key.find('/') + 1);
    worker.spec = DecodeEntry(WorkerId(id), key.value);
    worker.pool = PoolId(id.substr(0, 2));
    worker.address = id + ":1";
    return worker;
  };
  const std::string name = "e" + std::to_string(i);
  JobServiceSettings settings;
  settings.entry = EntryId(name);
  settings.zone = ZoneId("z");
  settings.peer_address = name + ":2";
  settings.order_grace = options_.order_grace.value_or(settings.order_grace);
  CoordinatorHooks coordinator_hooks;
  coordinator_hooks.publishes_backlogs = true;
  const auto offset = options_.wall_offsets.find(i);
  coordinator_hooks.wall_ms =
      [this, ahead = offset == options_.wall_offsets.end() ? Duration(0)
                                                           : offset->second] {
        return ToMillis(time_.Now().time_since_epoch() + ahead);
      };
  coordinator_hooks.event = [this, name](std::string_view part,
                                         std::string_view event,
                                         const std::vector<EventField>& all) {
    std::string line =
        std::to_string(ToMillis(time_.Now().time_since_epoch())) + " " + name +
        " " + std::string(part) + " " + std::string(event);
    for (const EventField& it : all)
      line += " " + std::string(it.name) + "=" + it.value;
    events_.push_back(line);
  };
  coordinator_hooks.query_peer =
      [this, i](const std::string& address, const std::string& path,
                const std::function<void(Result<std::string>)>& done) {
        QueryEntry(i, address, path, done);
      };
  if (options_.can_overload) {
    coordinator_hooks.on_decision = [this, i](std::string_view decision,
                                              std::size_t, Duration) {
      SpendDecisionTime(i, decision);
    };
  }
  entry->coordinator = std::make_unique<Coordinator>(
      hooks, entry->timers, settings,
      IncarnationId(name + "." + std::to_string(++starts_)), coordinator_hooks);
  entry->acceptor = std::make_unique<JobAcceptor>(hooks.store, entry->timers);
  entry->coordinator->Start();
  entries_[i] = std::move(entry);
}

void JobWorld::QueryEntry(
    std::size_t asker, const std::string& address, const std::string& path,
    const std::function<void(Result<std::string>)>& done) {
  const std::size_t i = std::stoul(address.substr(1));
  const PoolId pool(path.substr(path.rfind('/') + 1));
  const auto answer = [this, i, pool]() -> Result<std::string> {
    const auto load = entries_[i] == nullptr
                          ? std::nullopt
                          : entries_[i]->coordinator->FindPoolLoad(pool);
    if (!load) return Unexpected(StoreError::kUnavailable);
    return EncodeLoad(*load);
  };
  if (!options_.can_overload) return done(answer());
  TimerService& timers = entries_[asker]->timers;
  auto shared =
      std::make_shared<std::function<void(Result<std::string>)>>(done);
  const auto finish = [&timers, shared](const Result<std::string>& result) {
    timers.ScheduleAfter(Duration(0), [shared, result] {
      if (const auto call = std::exchange(*shared, nullptr)) call(result);
    });
  };
  timers.ScheduleAfter(
      kPeerTimeout, [finish] { finish(Unexpected(StoreError::kUnavailable)); });
  if (entries_[i] == nullptr) return;
  entries_[i]->timers.ScheduleAfter(Duration(0),
                                    [finish, answer] { finish(answer()); });
}

void JobWorld::SpendDecisionTime(std::size_t i, std::string_view decision) {
  const auto it = overload_settings_[i].decision_times.find(decision);
  if (it == overload_settings_[i].decision_times.end()) return;
  // Advancing the time can run another decision of the same entry, whose
  // duration must not be added to this one.
  if (std::exchange(is_deciding_, true)) return;
  time_.Advance(it->second);
  is_deciding_ = false;
}

void JobWorld::SetServiceTime(std::size_t i, Duration time) {
  overload_settings_[i].service_time = time;
  if (entries_[i] != nullptr) entries_[i]->timers.SetServiceTime(time);
}

void JobWorld::SetLinkRate(std::size_t i, std::uint64_t rate) {
  overload_settings_[i].link_rate = rate;
  if (entries_[i] != nullptr && entries_[i]->link != nullptr)
    entries_[i]->link->SetRate(rate);
}

void JobWorld::SetDecisionTime(std::size_t i, const std::string& decision,
                               Duration time) {
  if (time > Duration(0)) {
    overload_settings_[i].decision_times[decision] = time;
  } else {
    overload_settings_[i].decision_times.erase(decision);
  }
}

bool JobWorld::IsUndisturbed(const EntryId& entry) const {
  const std::size_t i = std::stoul(entry.value().substr(1));
  const StoreFaults& store = *store_faults_[i];
  const VmFaults& vms = *vm_faults_[i];
  const bool is_disturbed = entries_[i] == nullptr || is_paused_[i] ||
                            store.is_cut || store.is_resetting ||
                            store.is_turned_away || store.loses_answers ||
                            store.late > Duration(0) || vms.is_cut ||
                            vms.loses_answers || vms.late > Duration(0);
  return !is_disturbed && time_.Now() - disturbed_at_[i] >= kStableTime;
}

void JobWorld::PauseEntry(std::size_t i) {
  is_paused_[i] = true;
  entries_[i]->timers.Pause();
}

void JobWorld::ResumeEntry(std::size_t i) {
  if (is_paused_[i]) disturbed_at_[i] = time_.Now();
  is_paused_[i] = false;
  entries_[i]->timers.Resume();
}

void JobWorld::KillEntry(std::size_t i) {
  if (entries_[i] == nullptr) return;
  disturbed_at_[i] = time_.Now();
  is_paused_[i] = false;
  entries_[i]->coordinator.reset();
  entries_[i]->acceptor.reset();
  // Calls in flight still refer to its timers and hooks.
  entries_[i]->timers.Pause();
  stopped_entries_.push_back(std::move(entries_[i]));
}

void JobWorld::PutConfig(FleetConfig config) {
  const Revision revision(configs_.size() + 1);
  config.revision = revision;
  configs_[revision] = std::move(config);
  // The decoder looks the configuration up by its revision.
  store_->Put("op/config", std::to_string(revision.value()));
}

void JobWorld::PutCaps(const std::map<std::string, std::uint64_t>& caps) {
  FleetConfig it = config();
  it.workspaces.clear();
  for (const auto& [workspace, cpu_millis] : caps) {
    it.workspaces.push_back(
        {.id = WorkspaceId(workspace), .cap = {.cpu_millis = cpu_millis}});
    workers_->SetCap(workspace, cpu_millis);
  }
  PutConfig(std::move(it));
}

void JobWorld::DropQueue(std::size_t pool) {
  FleetConfig it = config();
  std::erase_if(it.queues, [&](const QueueConfig& queue) {
    return queue.pool == PoolId(PoolName(pool));
  });
  PutConfig(std::move(it));
}

void JobWorld::Submit(std::size_t i, const std::string& job, std::size_t pool,
                      const JobSpec& spec, const std::string& workspace) {
  if (!workspace.empty()) workers_->SetWorkspace(JobId(job), workspace);
  workers_->SetSize(JobId(job), spec.steps.front().size);
  for (std::uint32_t s = 0; s < spec.steps.size(); ++s) {
    const StepSpec& step = spec.steps[s];
    if (step.is_long_running) {
      workers_->SetLongRunning(JobId(job), s, step.tasks, step.max_unavailable);
    }
  }
  const PoolId pool_id(PoolName(pool));
  const FleetConfig* const own = entries_[i]->coordinator->config();
  const FleetConfig& known = own == nullptr ? config() : *own;
  const auto queue =
      std::find_if(known.queues.begin(), known.queues.end(),
                   [&](const QueueConfig& it) { return it.pool == pool_id; });
  if (queue == known.queues.end()) {
    outcomes_[job] = AcceptOutcome::kRefused;
    return;
  }
  entries_[i]->acceptor->Submit(
      JobId(job), {pool_id, queue->id},
      EncodeStoredJob({.queue = queue->id,
                       .spec = spec,
                       .workspace = WorkspaceId(workspace),
                       .terms = QueueTerms{queue->policy, known.revision}}),
      [this, job](AcceptOutcome outcome, const JobLocation&) {
        outcomes_[job] = outcome;
      });
}

std::optional<AcceptOutcome> JobWorld::outcome(const std::string& job) const {
  const auto it = outcomes_.find(job);
  if (it == outcomes_.end()) return std::nullopt;
  return it->second;
}

void JobWorld::Cancel(const std::string& job, std::size_t pool) {
  store_->Put(CancelKey(PoolId(PoolName(pool)), JobId(job)), "1");
  workers_->SetCancelled(JobId(job));
}

std::string JobWorld::Phase(const std::string& job, std::size_t pool) const {
  const std::string text =
      store_->Value(ProgressKey(PoolId(PoolName(pool)), JobId(job)));
  if (text.empty()) return "queued";
  const auto progress = DecodeJobProgress(text);
  return progress ? ToText(progress->phase) : "malformed";
}

std::size_t JobWorld::OwnedPools(std::size_t i) const {
  return entries_[i] == nullptr ? 0 : entries_[i]->coordinator->owned_pools();
}

int JobWorld::Owner(std::size_t pool) const {
  const auto owner =
      DecodeOwner(store_->Value(OwnerKey(PoolId(PoolName(pool)))));
  return owner ? std::stoi(owner->entry.value().substr(1)) : -1;
}

int JobWorld::FleetOwner() const {
  const auto owner = DecodeOwner(store_->Value(OwnerKey(PoolId(kFleetRole))));
  return owner ? std::stoi(owner->entry.value().substr(1)) : -1;
}

const PoolBacklog* JobWorld::Backlog(std::size_t i, std::size_t pool) const {
  return entries_[i] == nullptr
             ? nullptr
             : entries_[i]->coordinator->FindBacklog(PoolId(PoolName(pool)));
}

void JobWorld::StartWave(const std::string& wave, std::uint32_t max_down) {
  vms_->SetWave({.id = WaveId(wave), .vms = vm_ids_, .max_down = max_down});
  store_->Put("op/wave/" + wave, std::to_string(max_down));
}

std::string JobWorld::WaveState(const std::string& wave) const {
  return store_->Value("status/wave/" + wave);
}

WorkerId JobWorld::worker(std::size_t pool, std::size_t n) const {
  return WorkerId(PoolName(pool) + "w" + std::to_string(n));
}

void JobWorld::ListWorker(const WorkerId& worker, bool is_draining) {
  workers_->SetDraining(worker, is_draining);
  store_->Put(EntryKey(worker), EncodeEntry(workers_->Spec(worker)));
}

void JobWorld::UnlistWorker(const WorkerId& worker) {
  store_->Erase(EntryKey(worker));
}

std::vector<std::string> JobWorld::Violations(const std::string& rule) const {
  std::vector<std::string> found;
  for (const auto& all : {workers_->violations(), vms_->violations()}) {
    for (const std::string& it : all) {
      if (it.starts_with(rule)) found.push_back(it);
    }
  }
  return found;
}

std::string JobWorld::History() const {
  // POMELOMILL_HISTORY=N selects the last N events instead of 60.
  const char* const asked = std::getenv("POMELOMILL_HISTORY");
  const std::size_t lines = asked == nullptr ? 60 : std::stoul(asked);
  std::string text;
  const std::size_t begin = events_.size() > lines ? events_.size() - lines : 0;
  for (std::size_t i = begin; i < events_.size(); ++i)
    text += events_[i] + "\n";
  return text;
}

std::vector<std::uint64_t> SeedsToRun(std::uint64_t last) {
  std::uint64_t first = 1;
  if (const char* const seeds = std::getenv("POMELOMILL_SEEDS"))
    std::istringstream(seeds) >> first >> last;
  std::vector<std::uint64_t> all;
  for (; first <= last; ++first) all.push_back(first);
  return all;
}

JobSpec ChainJob(std::uint32_t steps, std::uint32_t tasks) {
  JobSpec spec;
  spec.payload = "work";
  for (std::uint32_t i = 0; i < steps; ++i) {
    StepSpec step;
    step.tasks = tasks;
    step.size = {.cpu_millis = 1'000, .memory_mb = 500};
    step.estimate = std::chrono::milliseconds(800);
    if (i > 0) step.after = {i - 1};
    spec.steps.push_back(step);
  }
  return spec;
}

}  // namespace pomelomill
