#include "model.h"

#include <algorithm>
#include <map>
#include <utility>

namespace pomelomill::measure {
namespace {

// A balancer without evidence of its own notices a lost VM by health checks.
constexpr double kHealthCheckS = 10;

}  // namespace

Model::Model(const Scenario& scenario, const std::vector<Request>& workload,
             Routing routing, std::vector<ModelVm> vms, std::uint64_t seed)
    : scenario_(scenario),
      workload_(workload),
      routing_(routing),
      vms_(std::move(vms)),
      random_(seed) {
  std::map<PoolId, int> index;
  for (const auto& [id, pool] : scenario.declarations.pools) {
    index[id] = static_cast<int>(pools_.size());
    pools_.push_back(id);
    slots_.push_back(static_cast<int>(pool.slots));
    cold_start_.push_back(ToSeconds(pool.cold_start));
  }
  for (const auto& [id, queue] : scenario.declarations.queues) {
    queues_.push_back(id);
    declared_.push_back(&queue);
    pool_of_queue_.push_back(
        index.at(scenario.declarations.services.at(queue.service).pool));
    recent_.push_back(queue.mean_rate);
  }
  waiting_.resize(pools_.size());
  tick_arrivals_.resize(queues_.size());
  result_.queues.resize(queues_.size());
  if (routing_ == Routing::kRouter) MakeRouters(seed);
}

void Model::MakeRouters(std::uint64_t seed) {
  for (std::size_t i = 0; i < vms_.size(); ++i)
    vm_index_[vms_[i].id] = static_cast<int>(i);
  RouterFleetHooks hooks;
  hooks.reach = [this](const VmId& vm) { return Reach(vm); };
  hooks.run_of = [this](int vm) { return vms_[vm].run; };
  hooks.service_s = [this](int request) { return workload_[request].service; };
  hooks.on_begin = [this](int vm) { ++vms_[vm].busy; };
  hooks.on_end = [this](int vm) {
    --vms_[vm].busy;
    if (vms_[vm].mode == VmMode::kDraining) Advance(vm);
  };
  hooks.on_response = [this](int request, bool is_in_time,
                             OutcomeReason reason) {
    Finish(request, is_in_time);
    if (!is_in_time) ++result_.missed_by_reason[reason];
  };
  routers_ = std::make_unique<RouterFleet>(
      std::make_shared<Declarations>(scenario_.declarations),
      static_cast<int>(scenario_.entries), seed, std::move(hooks));
}

VmAnswer Model::Reach(const VmId& vm) const {
  const int index = vm_index_.at(vm);
  const ModelVm& it = vms_[index];
  VmAnswer answer;
  answer.vm = index;
  answer.run = it.run;
  answer.generation = it.generation;
  answer.is_draining = it.mode == VmMode::kDraining;
  switch (it.mode) {
    case VmMode::kUp:
      if (it.busy >= slots_[it.pool]) answer.kind = VmAnswer::Kind::kRefuses;
      break;
    case VmMode::kDraining:
      answer.kind = VmAnswer::Kind::kRefuses;
      break;
    case VmMode::kDown:
    case VmMode::kStopped:
      answer.kind = VmAnswer::Kind::kUnreachable;
      break;
    case VmMode::kLost:
      answer.kind = VmAnswer::Kind::kSilent;
      break;
  }
  return answer;
}

void Model::SetRegionState(const RegionState& state) {
  if (routers_) routers_->SetState(state, now_);
}

bool Model::is_store_up() const {
  return scenario_.store_down_at_s < 0 || now_ < scenario_.store_down_at_s ||
         now_ >= scenario_.store_down_at_s + scenario_.store_down_for_s;
}

double Model::DeadlineOf(int request) const {
  const Request& it = workload_[request];
  return it.at + ToSeconds(declared_[it.queue]->deadline);
}

void Model::Finish(int request, bool in_time) {
  ++result_.finished;
  if (!in_time) ++result_.queues[workload_[request].queue].missed;
}

RunResult Model::Run() {
  double next_tick = 0;
  std::size_t next = 0;
  for (;;) {
    const double arrival =
        next < workload_.size() ? workload_[next].at : scenario_.duration_s;
    const double completion =
        completions_.empty() ? scenario_.duration_s : completions_.top().at;
    const double routed = routers_ ? routers_->next_at() : scenario_.duration_s;
    now_ = std::max(now_, std::min({arrival, completion, next_tick, routed}));
    if (now_ >= scenario_.duration_s) break;
    if (next_tick <= now_) {
      Tick();
      next_tick += tick_interval_s;
    } else if (routed <= now_) {
      routers_->RunDue(now_);
    } else if (completion <= arrival) {
      const Completion it = completions_.top();
      completions_.pop();
      Complete(it);
    } else {
      Arrive(static_cast<int>(next++));
    }
  }
  if (routers_) result_.open_at_end = routers_->open_requests();
  return result_;
}

void Model::Arrive(int request) {
  const int queue = workload_[request].queue;
  const int pool = pool_of_queue_[queue];
  ++result_.queues[queue].arrived;
  ++tick_arrivals_[queue];
  if (routing_ == Routing::kEarliestDeadline) {
    waiting_[pool].push({DeadlineOf(request), request});
    Dispatch(pool);
    return;
  }
  if (routing_ == Routing::kRouter) {
    routers_->Arrive(request, queues_[queue], DeadlineOf(request),
                     declared_[queue]->is_repeatable, now_);
    return;
  }
  const int vm = PickVm(pool);
  if (vm < 0) return Finish(request, false);
  ModelVm& it = vms_[vm];
  if (it.mode == VmMode::kLost) return Finish(request, false);
  if (it.busy < slots_[it.pool]) return Begin(vm, request);
  if (it.waiting.size() >= declared_[queue]->max_waiting)
    return Finish(request, false);
  it.waiting.push_back(request);
}

int Model::PickVm(int pool) {
  std::vector<int> candidates;
  int best = -1;
  for (std::size_t i = 0; i < vms_.size(); ++i) {
    const ModelVm& it = vms_[i];
    const bool looks_up =
        it.mode == VmMode::kUp ||
        (it.mode == VmMode::kLost && now_ - it.lost_at < kHealthCheckS);
    if (it.pool != pool || !looks_up) continue;
    const auto load = [&](const ModelVm& vm) {
      return vm.busy + static_cast<int>(vm.waiting.size());
    };
    if (best < 0 || load(it) < load(vms_[best])) best = static_cast<int>(i);
    candidates.push_back(static_cast<int>(i));
  }
  if (routing_ != Routing::kRandom || candidates.empty()) return best;
  return candidates[random_.Below(candidates.size())];
}

void Model::Dispatch(int pool) {
  auto& waiting = waiting_[pool];
  while (!waiting.empty()) {
    int vm = -1;
    for (std::size_t i = 0; i < vms_.size(); ++i) {
      const ModelVm& it = vms_[i];
      if (it.pool != pool || it.mode != VmMode::kUp || it.busy >= slots_[pool])
        continue;
      if (vm < 0 || it.busy < vms_[vm].busy) vm = static_cast<int>(i);
    }
    if (vm < 0) return;
    const Waiting next = waiting.top();
    waiting.pop();
    const int queue = workload_[next.request].queue;
    if (now_ + ToSeconds(declared_[queue]->service_time) > next.deadline) {
      Finish(next.request, false);
      continue;
    }
    Begin(vm, next.request);
  }
}

void Model::Begin(int vm, int request) {
  ModelVm& it = vms_[vm];
  ++it.busy;
  it.running.insert(request);
  completions_.push({now_ + workload_[request].service, vm, it.run, request});
}

void Model::Pull(int vm) {
  ModelVm& it = vms_[vm];
  while (it.busy < slots_[it.pool] && !it.waiting.empty()) {
    const int request = it.waiting.front();
    it.waiting.pop_front();
    Begin(vm, request);
  }
}

void Model::Complete(const Completion& completion) {
  ModelVm& it = vms_[completion.vm];
  if (it.run != completion.run) return;
  --it.busy;
  it.running.erase(completion.request);
  Finish(completion.request, now_ <= DeadlineOf(completion.request));
  if (routing_ == Routing::kEarliestDeadline) {
    if (it.mode == VmMode::kUp) Dispatch(it.pool);
  } else {
    Pull(completion.vm);
  }
  if (it.mode == VmMode::kDraining) Advance(completion.vm);
}

void Model::Drain(int vm, VmPurpose purpose, int target_pool) {
  ModelVm& it = vms_[vm];
  it.mode = VmMode::kDraining;
  it.purpose = purpose;
  it.target_pool = target_pool;
  it.drain_since = now_;
  Advance(vm);
}

void Model::Start(int vm) {
  ModelVm& it = vms_[vm];
  it.mode = VmMode::kDown;
  it.purpose = VmPurpose::kNone;
  it.ready_at = now_ + cold_start_[it.pool];
}

void Model::Advance(int vm) {
  ModelVm& it = vms_[vm];
  const bool timed_out =
      drain_timeout_s >= 0 && now_ - it.drain_since >= drain_timeout_s;
  if ((it.busy > 0 || !it.waiting.empty()) && !timed_out) return;
  result_.cut += it.running.size();
  for (int request : it.running) Finish(request, false);
  for (int request : it.waiting) Finish(request, false);
  it.running.clear();
  it.waiting.clear();
  it.busy = 0;
  ++it.run;
  if (it.purpose == VmPurpose::kStop) {
    it.mode = VmMode::kStopped;
    return;
  }
  if (it.purpose == VmPurpose::kMove) {
    it.pool = it.target_pool;
    ++result_.moves;
  }
  it.mode = VmMode::kDown;
  it.ready_at = now_ + cold_start_[it.pool];
}

template <typename Id>
Id Model::MostUsed(Id ModelVm::*domain) const {
  std::map<Id, int> up;
  for (const ModelVm& it : vms_) up[it.*domain] += it.mode == VmMode::kUp;
  return std::max_element(
             up.begin(), up.end(),
             [](const auto& a, const auto& b) { return a.second < b.second; })
      ->first;
}

void Model::LoseDomains() {
  const auto is_during = [&](double from, double length) {
    return from >= 0 && now_ >= from && now_ < from + length;
  };
  const bool rack =
      is_during(scenario_.rack_lost_at_s, scenario_.rack_lost_for_s);
  const bool zone =
      is_during(scenario_.zone_lost_at_s, scenario_.zone_lost_for_s);
  if (rack && lost_rack_.empty()) lost_rack_ = MostUsed(&ModelVm::rack);
  if (zone && lost_zone_.empty()) lost_zone_ = MostUsed(&ModelVm::zone);
  for (ModelVm& it : vms_) {
    const bool is_lost =
        (rack && it.rack == lost_rack_) || (zone && it.zone == lost_zone_);
    if (is_lost && it.mode != VmMode::kLost && it.mode != VmMode::kStopped) {
      Lose(it);
    } else if (!is_lost && it.mode == VmMode::kLost) {
      it.mode = VmMode::kDown;
      it.ready_at = now_ + cold_start_[it.pool];
    }
  }
}

void Model::Lose(ModelVm& vm) {
  vm.mode = VmMode::kLost;
  vm.lost_at = now_;
  vm.busy = 0;
  ++vm.run;
  for (int request : vm.running) {
    const QueueDeclaration& queue = *declared_[workload_[request].queue];
    const bool repeats = queue.is_repeatable || repeats_everything;
    if (!queue.is_repeatable && repeats) ++result_.duplicates;
    if (repeats && routing_ == Routing::kEarliestDeadline) {
      waiting_[vm.pool].push({DeadlineOf(request), request});
    } else {
      Finish(request, false);
    }
  }
  for (int request : vm.waiting) Finish(request, false);
  vm.running.clear();
  vm.waiting.clear();
}

void Model::Tick() {
  for (std::size_t i = 0; i < queues_.size(); ++i) {
    recent_[i] = static_cast<double>(tick_arrivals_[i]) / tick_interval_s;
    tick_arrivals_[i] = 0;
  }
  LoseDomains();
  for (std::size_t i = 0; i < vms_.size(); ++i) {
    ModelVm& it = vms_[i];
    if (it.mode == VmMode::kDraining) Advance(static_cast<int>(i));
    if (it.mode == VmMode::kDown && now_ >= it.ready_at) {
      it.mode = VmMode::kUp;
      it.generation = Generation(it.generation.value() + 1);
      if (it.purpose == VmPurpose::kReboot) it.is_maintained = true;
      it.purpose = VmPurpose::kNone;
    }
    result_.all_vm_s += tick_interval_s;
    if (it.mode == VmMode::kUp || it.mode == VmMode::kDraining)
      result_.up_vm_s += tick_interval_s;
  }
  if (on_tick) on_tick(*this);
  for (std::size_t i = 0; i < pools_.size(); ++i) Dispatch(static_cast<int>(i));
}

}  // namespace pomelomill::measure
