#include "pomelomill/maintenance/wave_scheduler.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <tuple>
#include <utility>

#include "capacity_view.h"

namespace pomelomill {
namespace {

// Weight of the latest VM in the mean time that VMs are out.
constexpr double kOutageWeight = 0.2;

bool Contains(const std::vector<VmId>& list, const VmId& vm) {
  return std::find(list.begin(), list.end(), vm) != list.end();
}

/// Moves a VM between two lists; false when it is not in `from`.
bool Transfer(std::vector<VmId>& from, std::vector<VmId>& to, const VmId& vm) {
  const auto it = std::find(from.begin(), from.end(), vm);
  if (it == from.end()) return false;
  from.erase(it);
  to.push_back(vm);
  return true;
}

IntentKind KindOf(MaintenanceAction action) {
  return action == MaintenanceAction::kStop ? IntentKind::kStop
                                            : IntentKind::kReboot;
}

bool Selects(const MaintenanceDeclaration& declared, const PoolId& pool) {
  return declared.pools.empty() ||
         std::find(declared.pools.begin(), declared.pools.end(), pool) !=
             declared.pools.end();
}

/// Whether the VM still has to be maintained in this cycle.
bool IsDue(const WaveInput& input, const MaintenanceDeclaration& declared,
           const VmId& vm) {
  const auto ago = input.maintained_ago.find(vm);
  if (ago == input.maintained_ago.end()) return true;
  return declared.every > Duration(0) && ago->second >= declared.every;
}

}  // namespace

/// What one step works on.
struct WaveScheduler::Context {
  const WaveInput& input;
  Instant now;
  CapacityView capacity;
  WaveStep step;

  const MaintenanceDeclaration& Declared(const WaveState& wave) const {
    return input.declarations->maintenance.at(wave.id);
  }

  WaveWindow Window(const WaveState& wave) const {
    const auto it = input.windows.find(wave.id);
    return it == input.windows.end() ? WaveWindow{} : it->second;
  }

  /// Open intents of the wave, by VM.
  std::map<VmId, const Intent*> Out(const WaveState& wave) const {
    std::map<VmId, const Intent*> out;
    for (const auto& [id, it] : input.state->intents) {
      if (it.wave == wave.id && it.step != IntentStep::kDone) out[it.vm] = &it;
    }
    return out;
  }

  Decision& Record(const WaveState& wave, std::string choice,
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
  Context context{input, now, CapacityView(input, options_), {}};
  std::erase_if(out_since_, [&](const auto& it) {
    return !input.state->intents.contains(it.first);
  });

  SkipUnobserved(now);

  std::vector<WaveState*> order;
  for (const auto& [id, declared] : input.declarations->maintenance) {
    WaveState& wave = context.step.waves[id] = OpenWave(input, declared);
    order.push_back(&wave);
  }
  for (WaveState* it : order) CountReturned(context, *it);
  for (WaveState* it : order) {
    Resume(context, *it);
    CountFailed(context, *it);
    JudgeEvidence(context, *it);
  }
  // The wave with the nearest deadline has the first choice of the capacity.
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

WaveState WaveScheduler::OpenWave(
    const WaveInput& input, const MaintenanceDeclaration& declared) const {
  WaveState wave;
  const auto known = input.state->waves.find(declared.id);
  if (known != input.state->waves.end()) wave = known->second;
  wave.id = declared.id;
  const auto gone = [&](const VmId& vm) {
    return !input.state->vms.contains(vm);
  };
  std::erase_if(wave.pending, gone);
  if (wave.phase == WavePhase::kDone) {
    // A VM whose last maintenance is a whole cycle ago begins the next one.
    const auto is_due_again = [&](const VmId& vm) {
      return !gone(vm) && input.maintained_ago.contains(vm) &&
             IsDue(input, declared, vm);
    };
    std::erase_if(wave.done, is_due_again);
    std::erase_if(wave.failed, is_due_again);
  }
  for (const auto& [id, vm] : input.state->vms) {
    if (!Selects(declared, vm.pool) || !IsDue(input, declared, id) ||
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
    const auto other =
        context.input.declarations->maintenance.find(intent.wave);
    const bool counts =
        intent.wave == wave.id ||
        (other != context.input.declarations->maintenance.end() &&
         other->second.action == context.Declared(wave).action);
    if (!counts) continue;
    if (!Transfer(wave.pending, wave.done, intent.vm))
      Transfer(wave.failed, wave.done, intent.vm);
    if (intent.wave != wave.id) continue;
    context.step.finished.push_back(id);
    const auto since = out_since_.find(id);
    const auto vm = context.input.state->vms.find(intent.vm);
    if (since == out_since_.end() || vm == context.input.state->vms.end())
      continue;
    const auto pool = context.capacity.pools().find(vm->second.pool);
    if (pool == context.capacity.pools().end()) continue;
    const double cold = ToSeconds(pool->second.declaration->cold_start);
    if (cold <= 0) continue;
    const double factor = ToSeconds(context.now - since->second) / cold;
    outage_factor_ += kOutageWeight * (factor - outage_factor_);
  }
}

void WaveScheduler::Resume(Context& context, WaveState& wave) {
  if (wave.phase != WavePhase::kStoppedByItself ||
      !context.input.resume.contains(wave.id))
    return;
  for (const auto& [vm, intent] : context.Out(wave)) {
    if (out_since_.contains(intent->id)) out_since_[intent->id] = context.now;
  }
  wave.pending.insert(wave.pending.end(), wave.failed.begin(),
                      wave.failed.end());
  wave.failed.clear();
  wave.phase = WavePhase::kWaiting;
  wave.reason.clear();
  context.step.actions.push_back(
      {WaveActionKind::kResume, wave.id, VmId(), {}, "an operator resumed it"});
  context.Record(wave, "resume", "an operator resumed the wave");
}

void WaveScheduler::SkipUnobserved(Instant now) {
  const Duration excess = now - last_step_ - options_.longest_step;
  last_step_ = now;
  if (excess <= Duration(0)) return;
  for (auto& [intent, since] : out_since_) since += excess;
}

void WaveScheduler::CountFailed(Context& context, WaveState& wave) {
  for (const auto& [vm, intent] : context.Out(wave)) {
    // Draining takes as long as its requests, or until an entry answers.
    if (intent->step == IntentStep::kDrain) continue;
    const Instant since =
        out_since_.try_emplace(intent->id, context.now).first->second;
    const auto state = context.input.state->vms.find(vm);
    if (state == context.input.state->vms.end()) continue;
    const auto pool = context.capacity.pools().find(state->second.pool);
    if (pool == context.capacity.pools().end()) continue;
    const double limit = ToSeconds(pool->second.declaration->cold_start) *
                         options_.return_timeout_cold_starts;
    if (ToSeconds(context.now - since) <= limit) continue;
    // The loss of its rack explains why this VM has not returned.
    if (state->second.rack.value() == context.capacity.lost_domain()) continue;
    if (!Transfer(wave.pending, wave.failed, vm)) continue;
    Decision& decision = context.Record(
        wave, "count " + vm.value() + " as failed", "it has not returned");
    decision.subjects.push_back({"vm", vm.value()});
    decision.alternatives = {{"wait longer", "seconds past the limit",
                              ToSeconds(context.now - since) - limit}};
  }
}

void WaveScheduler::JudgeEvidence(Context& context, WaveState& wave) {
  if (wave.phase == WavePhase::kStoppedByItself ||
      wave.phase == WavePhase::kDone)
    return;
  const auto failed = static_cast<double>(wave.failed.size());
  const double judged = failed + static_cast<double>(wave.done.size());
  const double allowed = context.Declared(wave).max_failed_share * judged;
  // One VM alone may have failed by chance.
  if (failed < 2 || failed <= allowed) return;
  wave.phase = WavePhase::kStoppedByItself;
  wave.reason = std::to_string(wave.failed.size()) + " of " +
                std::to_string(wave.failed.size() + wave.done.size()) +
                " VMs have not returned";
  context.step.actions.push_back(
      {WaveActionKind::kStop, wave.id, VmId(), {}, wave.reason});
  Decision& decision = context.Record(wave, "stop", wave.reason);
  decision.alternatives = {
      {"continue", "failed VMs above the allowed number", failed - allowed}};
}

Duration WaveScheduler::OutageOf(const PoolDeclaration& pool) const {
  const double cold = ToSeconds(pool.cold_start) * outage_factor_;
  return options_.drain_time + std::chrono::duration_cast<Duration>(
                                   std::chrono::duration<double>(cold));
}

void WaveScheduler::Hold(Context& context, WaveState& wave,
                         std::string reason) {
  wave.reason = reason;
  if (std::exchange(last_hold_[wave.id], reason) == reason) return;
  context.Record(wave, "hold", reason);
  context.step.actions.push_back(
      {WaveActionKind::kHold, wave.id, VmId(), {}, std::move(reason)});
}

void WaveScheduler::StartVms(Context& context, WaveState& wave) {
  if (wave.phase == WavePhase::kStoppedByItself) return;
  CapacityView& capacity = context.capacity;
  const auto out = context.Out(wave);
  if (wave.pending.empty() && out.empty()) {
    if (wave.phase == WavePhase::kDone) return;
    wave.phase = WavePhase::kDone;
    wave.reason.clear();
    last_hold_.erase(wave.id);
    context.step.actions.push_back(
        {WaveActionKind::kDone, wave.id, VmId(), {}, ""});
    context.Record(wave, "done", "every VM is accounted for");
    return;
  }
  const WaveWindow window = context.Window(wave);
  if (window.until_start > Duration(0))
    return Hold(context, wave, "its time has not begun");
  wave.phase = WavePhase::kRunning;
  if (!capacity.lost_domain().empty()) {
    return Hold(context, wave, "rack " + capacity.lost_domain() + " is lost");
  }

  std::map<PoolId, std::vector<VmId>> candidates;
  for (const VmId& it : wave.pending) {
    if (!capacity.is_in_use(it) && !capacity.is_lost(it))
      candidates[capacity.vm(it).pool].push_back(it);
  }
  if (candidates.empty() && out.empty())
    return Hold(context, wave, "only VMs that are lost or moving remain");

  // The first VMs show whether VMs return from this maintenance at all.
  const WaveEstimate& estimate = context.step.estimates[wave.id];
  std::size_t limit = SIZE_MAX;
  if (wave.done.empty() && estimate.rounds >= options_.first_share_rounds) {
    limit = std::max<std::size_t>(
        2, static_cast<std::size_t>(
               std::ceil(estimate.concurrency * options_.first_share)));
  }
  std::size_t out_count = out.size();
  std::string refusal;
  std::size_t started = 0;
  for (auto& [pool_id, vms] : candidates) {
    const auto pool = capacity.pools().find(pool_id);
    if (window.until_deadline && pool != capacity.pools().end() &&
        OutageOf(*pool->second.declaration) > *window.until_deadline) {
      refusal = "a VM would return after the deadline";
      continue;
    }
    while (!vms.empty()) {
      if (out_count >= limit) {
        refusal = "its first VMs have not returned yet";
        break;
      }
      // The rack with most VMs of the pool first: its loss then costs less.
      const auto best = std::min_element(
          vms.begin(), vms.end(), [&](const VmId& a, const VmId& b) {
            const auto key = [&](const VmId& it) {
              const VmState& vm = capacity.vm(it);
              return std::make_tuple(-static_cast<int>(capacity.InRack(it)),
                                     vm.zone, vm.rack, it);
            };
            return key(a) < key(b);
          });
      const VmId vm = *best;
      const TakeCheck check = capacity.CheckTake(vm);
      if (!check.refusal.empty()) {
        refusal = check.refusal;
        break;
      }
      capacity.Take(vm);
      vms.erase(best);
      ++out_count;
      ++started;
      context.step.actions.push_back({WaveActionKind::kStart, wave.id, vm,
                                      KindOf(context.Declared(wave).action),
                                      ""});
      Decision& decision = context.Record(wave, "take " + vm.value(),
                                          "every budget is kept without it");
      decision.subjects.push_back({"vm", vm.value()});
      decision.subjects.push_back({"pool", pool_id.value()});
      decision.alternatives = {{"wait", "VMs to spare without this one",
                                static_cast<double>(check.margin)}};
    }
  }
  if (started > 0 || !out.empty()) {
    wave.reason.clear();
    last_hold_.erase(wave.id);
  } else if (!refusal.empty()) {
    Hold(context, wave, std::move(refusal));
  }
}

void WaveScheduler::Estimate(Context& context, const WaveState& wave) {
  if (wave.phase == WavePhase::kDone ||
      wave.phase == WavePhase::kStoppedByItself)
    return;
  WaveEstimate estimate;
  CapacityView capacity(context.input, options_);
  std::map<PoolId, std::vector<VmId>> pending;
  for (const VmId& it : wave.pending)
    pending[capacity.vm(it).pool].push_back(it);
  const auto out = context.Out(wave);
  Duration longest{};
  bool is_blocked = false;
  for (auto& [id, vms] : pending) {
    const auto pool = capacity.pools().find(id);
    if (pool == capacity.pools().end()) continue;
    std::uint32_t at_once = 0;
    double peak_share = 0;
    for (const PooledQueue& it : pool->second.queues) {
      const double interval = ToSeconds(it.demand.peak_interval);
      if (interval > 0)
        peak_share += ToSeconds(it.demand.peak_duration) / interval;
    }
    for (const VmId& it : vms) {
      if (out.contains(it)) {
        ++at_once;
        continue;
      }
      if (!capacity.is_in_service(it)) continue;
      const TakeCheck check = capacity.CheckTake(it);
      // A peak ends soon; it delays the wave but does not narrow it.
      if (!check.refusal.empty() && pool->second.peaking.empty()) break;
      if (!check.refusal.empty() && at_once > 0) break;
      capacity.Take(it);
      ++at_once;
    }
    estimate.concurrency += at_once;
    if (at_once == 0) {
      is_blocked = true;
      continue;
    }
    const double rounds = std::ceil(static_cast<double>(vms.size()) / at_once);
    estimate.rounds =
        std::max(estimate.rounds, static_cast<std::uint32_t>(rounds));
    const double seconds = ToSeconds(OutageOf(*pool->second.declaration)) *
                           rounds / std::max(0.1, 1 - peak_share);
    longest = std::max(longest, std::chrono::duration_cast<Duration>(
                                    std::chrono::duration<double>(seconds)));
  }
  if (!is_blocked) estimate.remaining = longest;
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
              ? "it needs " +
                    std::to_string(ToMillis(*estimate.remaining) / 1000) +
                    " s and has " +
                    std::to_string(ToMillis(*window.until_deadline - start) /
                                   1000) +
                    " s"
              : "the budgets let no VM of some pool go";
      context.step.actions.push_back(
          {WaveActionKind::kAtRisk, wave.id, VmId(), {}, reason});
      Decision& decision =
          context.Record(wave, "report a missed deadline", reason);
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
