#include "pomelomill/maintenance/wave_scheduler.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <optional>
#include <tuple>
#include <utility>

#include "capacity_view.h"

namespace pomelomill {
namespace {

// Weight of the latest VM in the moving average of the time that VMs are out.
constexpr double kOutageSmoothing = 0.2;

bool Contains(const std::vector<VmId>& list, const VmId& vm) {
  return std::find(list.begin(), list.end(), vm) != list.end();
}

/// Moves a VM between two lists; returns false when it is not in `from`.
bool Transfer(std::vector<VmId>& from, std::vector<VmId>& to, const VmId& vm) {
  const auto it = std::find(from.begin(), from.end(), vm);
  if (it == from.end()) return false;
  from.erase(it);
  to.push_back(vm);
  return true;
}

IntentKind IntentKindFor(MaintenanceAction action) {
  return action == MaintenanceAction::kStop ? IntentKind::kStop
                                            : IntentKind::kReboot;
}

bool IncludesPool(const MaintenanceDeclaration& declared, const PoolId& pool) {
  return declared.pools.empty() ||
         std::find(declared.pools.begin(), declared.pools.end(), pool) !=
             declared.pools.end();
}

/// Whether the VM has not been maintained in the current cycle.
bool IsDue(const WaveInput& input, const MaintenanceDeclaration& declared,
           const VmId& vm) {
  const auto ago = input.time_since_maintenance.find(vm);
  if (ago == input.time_since_maintenance.end()) return true;
  return declared.every > Duration(0) && ago->second >= declared.every;
}

/// Returns the VM to take out of service next. Stopped VMs come first: their
/// reboot costs no capacity, and they serve requests for the rest of the wave.
/// The next criterion is the rack with the most VMs of the pool in service,
/// because the pool must be able to lose its largest rack.
std::vector<VmId>::iterator FindNextVm(const CapacityView& capacity,
                                       std::vector<VmId>& vms) {
  const auto key = [&](const VmId& it) {
    const VmState& vm = capacity.vm(it);
    return std::make_tuple(!capacity.is_stopped(it),
                           -static_cast<int>(capacity.InServiceInRack(it)),
                           vm.zone, vm.rack, it);
  };
  return std::min_element(
      vms.begin(), vms.end(),
      [&](const VmId& a, const VmId& b) { return key(a) < key(b); });
}

/// Forecast for the rest of a wave in one pool, if nothing else changes.
struct PoolForecast {
  /// VMs that are out in the first round.
  std::uint32_t first_round_vms = 0;
  /// Rounds until all VMs have returned; absent when the error budgets allow no
  /// VM to be taken out of service.
  std::optional<std::uint32_t> rounds;
};

/// Simulates the maintenance of the `pending` VMs round by round. VMs in `out`
/// are already out for this wave. VMs with another pending operation are
/// expected to be back in service from the second round on. Lost VMs are
/// ignored.
PoolForecast ForecastPool(CapacityView& capacity, std::vector<VmId> pending,
                          const std::map<VmId, const Intent*>& out) {
  PoolForecast forecast;
  std::vector<VmId> returning;
  std::vector<VmId> busy;
  std::erase_if(pending, [&](const VmId& it) {
    if (capacity.is_lost(it)) return true;
    if (out.contains(it)) {
      returning.push_back(it);
      return true;
    }
    if (!capacity.has_pending_operation(it)) return false;
    busy.push_back(it);
    return true;
  });
  std::uint32_t rounds = 0;
  while (!pending.empty() || !busy.empty() || !returning.empty()) {
    while (!pending.empty()) {
      const auto next = FindNextVm(capacity, pending);
      if (!capacity.CheckRemoval(*next).refusal.empty()) break;
      capacity.RemoveFromService(*next);
      returning.push_back(*next);
      pending.erase(next);
    }
    if (rounds == 0)
      forecast.first_round_vms = static_cast<std::uint32_t>(returning.size());
    if (returning.empty() && busy.empty()) return forecast;
    ++rounds;
    for (const VmId& it : returning) capacity.ReturnToService(it);
    returning.clear();
    for (const VmId& it : busy) {
      capacity.ReturnToService(it);
      pending.push_back(it);
    }
    busy.clear();
  }
  forecast.rounds = rounds;
  return forecast;
}

}  // namespace

/// Input, intermediate state and result of one step.
struct WaveScheduler::Context {
  const WaveInput& input;
  Instant now;
  CapacityView capacity;
  WaveStep step;
  /// Forecast of the rounds that remain in each pool of a wave.
  std::map<WaveId, std::map<PoolId, std::uint32_t>> rounds;

  const MaintenanceDeclaration& Declaration(const WaveState& wave) const {
    return input.declarations->maintenance.at(wave.id);
  }

  WaveWindow Window(const WaveState& wave) const {
    const auto it = input.windows.find(wave.id);
    return it == input.windows.end() ? WaveWindow{} : it->second;
  }

  /// Open intents of the wave, by VM.
  std::map<VmId, const Intent*> OpenIntents(const WaveState& wave) const {
    std::map<VmId, const Intent*> out;
    for (const auto& [id, it] : input.state->intents) {
      if (it.wave == wave.id && it.step != IntentStep::kDone) out[it.vm] = &it;
    }
    return out;
  }

  Decision& RecordDecision(const WaveState& wave, std::string choice,
                           std::string reason) {
    Decision decision;
    decision.at = now;
    decision.subjects = {{"wave", wave.id.value()}};
    decision.choice = std::move(choice);
    decision.reason = std::move(reason);
    decision.facts = {{"pending", std::to_string(wave.pending.size())},
                      {"done", std::to_string(wave.done.size())},
                      {"failed", std::to_string(wave.failed.size())}};
    step.decisions.push_back(std::move(decision));
    return step.decisions.back();
  }
};

WaveScheduler::WaveScheduler(WaveOptions options) : options_(options) {}

WaveStep WaveScheduler::Step(const WaveInput& input, Instant now) {
  if (!input.declarations || !input.state) return {};
  Context context{input, now, CapacityView(input, options_), {}, {}};
  std::erase_if(out_since_, [&](const auto& it) {
    return !input.state->intents.contains(it.first);
  });

  ExcludeUnobservedTime(now);

  std::vector<WaveState*> order;
  for (const auto& [id, declared] : input.declarations->maintenance) {
    WaveState& wave = context.step.waves[id] = RefreshWave(input, declared);
    order.push_back(&wave);
  }
  for (WaveState* it : order) CountReturned(context, *it);
  for (WaveState* it : order) {
    Resume(context, *it);
    CountFailed(context, *it);
    StopOnFailures(context, *it);
  }
  // The wave with the nearest deadline gets capacity first.
  std::stable_sort(
      order.begin(), order.end(), [&](const WaveState* a, const WaveState* b) {
        const auto deadline = [&](const WaveState* it) {
          return context.Window(*it).until_deadline.value_or(Duration::max());
        };
        return deadline(a) < deadline(b);
      });
  for (WaveState* it : order) Estimate(context, *it);
  for (WaveState* it : order) StartVms(context, *it);
  return std::move(context.step);
}

WaveState WaveScheduler::RefreshWave(
    const WaveInput& input, const MaintenanceDeclaration& declared) const {
  WaveState wave;
  const auto stored = input.state->waves.find(declared.id);
  if (stored != input.state->waves.end()) wave = stored->second;
  wave.id = declared.id;
  const auto is_removed = [&](const VmId& vm) {
    return !input.state->vms.contains(vm);
  };
  std::erase_if(wave.pending, is_removed);
  if (wave.phase == WavePhase::kDone) {
    // A VM whose last maintenance is a whole cycle ago is due again.
    const auto is_due_again = [&](const VmId& vm) {
      return !is_removed(vm) && input.time_since_maintenance.contains(vm) &&
             IsDue(input, declared, vm);
    };
    std::erase_if(wave.done, is_due_again);
    std::erase_if(wave.failed, is_due_again);
  }
  for (const auto& [id, vm] : input.state->vms) {
    if (!IncludesPool(declared, vm.pool) || !IsDue(input, declared, id) ||
        Contains(wave.pending, id) || Contains(wave.done, id) ||
        Contains(wave.failed, id))
      continue;
    wave.pending.push_back(id);
    if (wave.phase == WavePhase::kDone) wave.phase = WavePhase::kWaiting;
  }
  return wave;
}

void WaveScheduler::CountReturned(Context& context, WaveState& wave) {
  for (const auto& [id, intent] : context.input.state->intents) {
    if (intent.step != IntentStep::kDone || intent.wave.empty()) continue;
    const auto declared =
        context.input.declarations->maintenance.find(intent.wave);
    // A VM that another wave has maintained by the same action counts as well.
    const bool is_maintained =
        intent.wave == wave.id ||
        (declared != context.input.declarations->maintenance.end() &&
         declared->second.action == context.Declaration(wave).action);
    if (!is_maintained) continue;
    if (!Transfer(wave.pending, wave.done, intent.vm))
      Transfer(wave.failed, wave.done, intent.vm);
    if (intent.wave != wave.id) continue;
    context.step.counted_intents.push_back(id);
    const auto since = out_since_.find(id);
    const auto vm = context.input.state->vms.find(intent.vm);
    if (since == out_since_.end() || vm == context.input.state->vms.end())
      continue;
    const auto pool = context.capacity.pools().find(vm->second.pool);
    if (pool == context.capacity.pools().end()) continue;
    const double cold_start_s = ToSeconds(pool->second.declaration->cold_start);
    if (cold_start_s <= 0) continue;
    const double factor = ToSeconds(context.now - since->second) / cold_start_s;
    outage_factor_ += kOutageSmoothing * (factor - outage_factor_);
  }
}

void WaveScheduler::Resume(Context& context, WaveState& wave) {
  if (wave.phase != WavePhase::kStoppedByItself ||
      !context.input.waves_to_resume.contains(wave.id))
    return;
  for (const auto& [vm, intent] : context.OpenIntents(wave)) {
    if (out_since_.contains(intent->id)) out_since_[intent->id] = context.now;
  }
  wave.pending.insert(wave.pending.end(), wave.failed.begin(),
                      wave.failed.end());
  wave.failed.clear();
  wave.phase = WavePhase::kWaiting;
  wave.reason.clear();
  context.step.actions.push_back(
      {WaveActionKind::kResume, wave.id, VmId(), {}, "resumed by an operator"});
  context.RecordDecision(wave, "resume", "resumed by an operator");
}

void WaveScheduler::ExcludeUnobservedTime(Instant now) {
  const Duration excess = now - last_step_at_ - options_.max_step_interval;
  last_step_at_ = now;
  if (excess <= Duration(0)) return;
  for (auto& [intent, since] : out_since_) since += excess;
}

void WaveScheduler::CountFailed(Context& context, WaveState& wave) {
  for (const auto& [vm, intent] : context.OpenIntents(wave)) {
    // Draining has no time limit: it lasts until the VM's requests have ended
    // and every entry has confirmed that it sends no more.
    if (intent->step == IntentStep::kDrain) continue;
    const Instant since =
        out_since_.try_emplace(intent->id, context.now).first->second;
    const auto state = context.input.state->vms.find(vm);
    if (state == context.input.state->vms.end()) continue;
    const auto pool = context.capacity.pools().find(state->second.pool);
    if (pool == context.capacity.pools().end()) continue;
    const double limit_s = ToSeconds(pool->second.declaration->cold_start) *
                           options_.return_timeout_cold_starts;
    const double out_s = ToSeconds(context.now - since);
    if (out_s <= limit_s) continue;
    // The loss of the VM's rack explains why the VM has not returned, so it is
    // no failure of the maintenance.
    if (state->second.rack.value() == context.capacity.lost_rack()) continue;
    if (!Transfer(wave.pending, wave.failed, vm)) continue;
    Decision& decision = context.RecordDecision(
        wave, "count " + vm.value() + " as failed",
        "the VM did not return from maintenance within " +
            std::to_string(std::llround(limit_s)) + " s");
    decision.subjects.push_back({"vm", vm.value()});
    decision.alternatives = {
        {"wait longer", "seconds past the limit", out_s - limit_s}};
  }
}

void WaveScheduler::StopOnFailures(Context& context, WaveState& wave) {
  if (wave.phase == WavePhase::kStoppedByItself ||
      wave.phase == WavePhase::kDone)
    return;
  const auto failed = static_cast<double>(wave.failed.size());
  const double ended = failed + static_cast<double>(wave.done.size());
  const double allowed = context.Declaration(wave).max_failed_share * ended;
  // A single VM may have failed by chance.
  if (failed < 2 || failed <= allowed) return;
  wave.phase = WavePhase::kStoppedByItself;
  wave.reason = std::to_string(wave.failed.size()) + " of " +
                std::to_string(wave.failed.size() + wave.done.size()) +
                " VMs have not returned";
  context.step.actions.push_back(
      {WaveActionKind::kStop, wave.id, VmId(), {}, wave.reason});
  Decision& decision = context.RecordDecision(wave, "stop", wave.reason);
  decision.alternatives = {
      {"continue", "failed VMs above the allowed number", failed - allowed}};
}

Duration WaveScheduler::ExpectedOutage(const PoolDeclaration& pool) const {
  const double restart_s = ToSeconds(pool.cold_start) * outage_factor_;
  return options_.drain_time + std::chrono::duration_cast<Duration>(
                                   std::chrono::duration<double>(restart_s));
}

void WaveScheduler::Hold(Context& context, WaveState& wave,
                         std::string reason) {
  wave.reason = reason;
  if (std::exchange(last_hold_reason_[wave.id], reason) == reason) return;
  context.RecordDecision(wave, "hold", reason);
  context.step.actions.push_back(
      {WaveActionKind::kHold, wave.id, VmId(), {}, std::move(reason)});
}

void WaveScheduler::StartVms(Context& context, WaveState& wave) {
  if (wave.phase == WavePhase::kStoppedByItself) return;
  CapacityView& capacity = context.capacity;
  const auto out = context.OpenIntents(wave);
  if (wave.pending.empty() && out.empty()) {
    if (wave.phase == WavePhase::kDone) return;
    wave.phase = WavePhase::kDone;
    wave.reason.clear();
    last_hold_reason_.erase(wave.id);
    context.step.actions.push_back(
        {WaveActionKind::kDone, wave.id, VmId(), {}, ""});
    context.RecordDecision(wave, "done",
                           "every VM of the wave is done or has failed");
    return;
  }
  const WaveWindow window = context.Window(wave);
  if (window.until_start > Duration(0)) {
    // A waiting wave lets the planner stop idle VMs; for a running wave they
    // are kept up.
    wave.phase = WavePhase::kWaiting;
    return Hold(context, wave, "its time has not begun");
  }
  wave.phase = WavePhase::kRunning;
  if (!capacity.lost_rack().empty()) {
    return Hold(context, wave, "rack " + capacity.lost_rack() + " is lost");
  }

  std::map<PoolId, std::vector<VmId>> by_pool;
  for (const VmId& it : wave.pending) {
    if (!capacity.has_pending_operation(it) && !capacity.is_lost(it))
      by_pool[capacity.vm(it).pool].push_back(it);
  }
  if (by_pool.empty() && out.empty())
    return Hold(context, wave, "only VMs that are lost or moving remain");
  // The pool that needs most rounds goes first, so that a small first batch
  // does not delay it.
  const WaveEstimate& estimate = context.step.estimates[wave.id];
  std::vector<std::pair<PoolId, std::vector<VmId>>> candidates(by_pool.begin(),
                                                               by_pool.end());
  const auto& rounds = context.rounds[wave.id];
  std::stable_sort(candidates.begin(), candidates.end(),
                   [&](const auto& a, const auto& b) {
                     const auto rounds_of = [&](const PoolId& id) {
                       const auto it = rounds.find(id);
                       return it == rounds.end() ? 0U : it->second;
                     };
                     return rounds_of(a.first) > rounds_of(b.first);
                   });

  // The first batch of a long wave is small until one of its VMs has returned.
  std::size_t max_out = SIZE_MAX;
  if (wave.done.empty() && estimate.rounds >= options_.first_batch_min_rounds) {
    max_out = std::max<std::size_t>(
        2, static_cast<std::size_t>(
               std::ceil(estimate.concurrency * options_.first_batch_share)));
  }
  std::size_t out_count = out.size();
  std::string refusal;
  std::size_t started = 0;
  for (auto& [pool_id, vms] : candidates) {
    const auto pool = capacity.pools().find(pool_id);
    if (window.until_deadline && pool != capacity.pools().end() &&
        ExpectedOutage(*pool->second.declaration) > *window.until_deadline) {
      refusal = "a VM would return after the deadline";
      continue;
    }
    while (!vms.empty()) {
      if (out_count >= max_out) {
        refusal = "its first VMs have not returned yet";
        break;
      }
      const auto best = FindNextVm(capacity, vms);
      const VmId vm = *best;
      const RemovalCheck check = capacity.CheckRemoval(vm);
      if (!check.refusal.empty()) {
        refusal = check.refusal;
        break;
      }
      capacity.RemoveFromService(vm);
      vms.erase(best);
      ++out_count;
      ++started;
      context.step.actions.push_back(
          {WaveActionKind::kStart, wave.id, vm,
           IntentKindFor(context.Declaration(wave).action), ""});
      Decision& decision = context.RecordDecision(
          wave, "take " + vm.value(), "all error budgets hold without this VM");
      decision.subjects.push_back({"vm", vm.value()});
      decision.subjects.push_back({"pool", pool_id.value()});
      decision.alternatives = {
          {"wait", "VMs beyond the need of the pool without this VM",
           static_cast<double>(check.margin)}};
    }
  }
  if (started > 0 || !out.empty()) {
    wave.reason.clear();
    last_hold_reason_.erase(wave.id);
  } else if (!refusal.empty()) {
    Hold(context, wave, std::move(refusal));
  }
}

void WaveScheduler::Estimate(Context& context, const WaveState& wave) {
  if (wave.phase == WavePhase::kDone ||
      wave.phase == WavePhase::kStoppedByItself)
    return;
  WaveEstimate estimate;
  // A copy, in which the forecast takes VMs out. No VM has been taken out in
  // this step yet.
  CapacityView capacity = context.capacity;
  capacity.IgnoreCurrentPeaks();
  std::map<PoolId, std::vector<VmId>> pending;
  for (const VmId& it : wave.pending)
    pending[capacity.vm(it).pool].push_back(it);
  const auto out = context.OpenIntents(wave);
  Duration longest_pool{};
  bool has_blocked_pool = false;
  for (auto& [id, vms] : pending) {
    const auto pool = capacity.pools().find(id);
    if (pool == capacity.pools().end()) continue;
    double share_of_time_in_peaks = 0;
    for (const PooledQueue& it : pool->second.queues) {
      const double interval = ToSeconds(it.demand.peak_interval);
      if (interval > 0)
        share_of_time_in_peaks += ToSeconds(it.demand.peak_duration) / interval;
    }
    const PoolForecast forecast = ForecastPool(capacity, std::move(vms), out);
    estimate.concurrency += forecast.first_round_vms;
    if (!forecast.rounds) {
      has_blocked_pool = true;
      // The number of rounds is unknown; this pool is assumed to take longest.
      context.rounds[wave.id][id] = UINT32_MAX;
      continue;
    }
    context.rounds[wave.id][id] = *forecast.rounds;
    estimate.rounds = std::max(estimate.rounds, *forecast.rounds);
    const double seconds =
        ToSeconds(ExpectedOutage(*pool->second.declaration)) *
        *forecast.rounds / std::max(0.1, 1 - share_of_time_in_peaks);
    longest_pool =
        std::max(longest_pool, std::chrono::duration_cast<Duration>(
                                   std::chrono::duration<double>(seconds)));
  }
  if (!has_blocked_pool) estimate.remaining = longest_pool;
  const WaveWindow window = context.Window(wave);
  if (window.until_deadline) {
    const Duration start = std::max(Duration(0), window.until_start);
    estimate.meets_deadline =
        estimate.remaining &&
        start + *estimate.remaining <= *window.until_deadline;
    if (*estimate.meets_deadline) {
      reported_at_risk_.erase(wave.id);
    } else if (reported_at_risk_.insert(wave.id).second) {
      const std::string reason =
          estimate.remaining
              ? "estimated " +
                    std::to_string(ToMillis(*estimate.remaining) / 1000) +
                    " s of maintenance, " +
                    std::to_string(ToMillis(*window.until_deadline - start) /
                                   1000) +
                    " s until the deadline"
              : "the error budgets of some pool allow none of its VMs to be "
                "taken out of service";
      context.step.actions.push_back(
          {WaveActionKind::kAtRisk, wave.id, VmId(), {}, reason});
      Decision& decision =
          context.RecordDecision(wave, "report a missed deadline", reason);
      if (estimate.remaining) {
        decision.alternatives = {
            {"meet the deadline", "seconds missing",
             ToSeconds(start + *estimate.remaining - *window.until_deadline)}};
      }
    }
  }
  context.step.estimates[wave.id] = estimate;
}

}  // namespace pomelomill
