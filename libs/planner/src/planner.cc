#include "pomelomill/planner/planner.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "assignment.h"
#include "move_search.h"

namespace pomelomill {
namespace {

Fact NumberFact(std::string name, double value) {
  std::string text = std::to_string(value);
  text.erase(text.find('.') + 3);
  return {std::move(name), std::move(text)};
}

Fact CountFact(std::string name, std::uint32_t value) {
  return {std::move(name), std::to_string(value)};
}

const std::string& NameOf(const AssignedPool& pool) {
  return pool.declaration->id.value();
}

Decision MoveDecision(const Assignment& assignment, const TrialMove& move,
                      bool for_mean_demand, Instant now) {
  const Choice& choice = move.choice;
  const AssignedVm& vm = assignment.vms()[choice.best.vm];
  const AssignedPool& from = assignment.pools()[vm.pool];
  const AssignedPool& to = assignment.pools()[move.receiver];
  const Shortage shortage = assignment.ShortageOf(move.receiver, to.need);
  Decision decision;
  decision.at = now;
  decision.subjects = {
      {"vm", vm.id.value()}, {"pool", NameOf(from)}, {"pool", NameOf(to)}};
  for (const QueueNeed& it : to.need.queues)
    decision.subjects.push_back({"queue", it.queue.value()});
  decision.choice =
      "move " + vm.id.value() + " from " + NameOf(from) + " to " + NameOf(to);
  decision.reason = for_mean_demand
                        ? "the pool cannot serve its mean demand"
                        : "the pool cannot serve a peak, the loss of a rack or "
                          "zone, or a maintenance wave";
  decision.facts = {CountFact("missing_for_mean", shortage.base),
                    CountFact("missing_for_events", shortage.worst_event),
                    NumberFact("load_slots", to.need.load_slots),
                    CountFact("base", to.need.base),
                    CountFact("peak", to.need.peak),
                    CountFact("in_service", to.in_service),
                    CountFact("donor_in_service", from.in_service),
                    CountFact("missing_after", choice.best.shortage_after)};
  decision.alternatives.push_back(
      {"no move", "VMs missing without the move",
       static_cast<double>(for_mean_demand ? shortage.base
                                           : shortage.worst_event)});
  if (choice.second.vm >= 0) {
    const AssignedVm& other = assignment.vms()[choice.second.vm];
    const AssignedPool& donor = assignment.pools()[other.pool];
    decision.alternatives.push_back(
        {"move " + other.id.value() + " from " + NameOf(donor),
         "VMs by which that donor is nearer to its declared size",
         static_cast<double>(choice.second.donor_deficit -
                             choice.best.donor_deficit)});
  }
  return decision;
}

/// A pool with a shortage.
struct Receiver {
  int pool = -1;
  /// Upper bound of the queues that one move to the pool can cover.
  double max_gain = 0;
};

/// Pools with a shortage, by descending `max_gain`.
std::vector<Receiver> FindReceivers(const Assignment& assignment,
                                    bool for_mean_demand) {
  std::vector<Receiver> receivers;
  for (std::size_t i = 0; i < assignment.pools().size(); ++i) {
    const int pool = static_cast<int>(i);
    const AssignedPool& it = assignment.pools()[i];
    const Shortage shortage = assignment.ShortageOf(pool, it.need);
    if ((for_mean_demand ? shortage.base : shortage.worst_event) == 0) continue;
    const std::uint32_t queues =
        for_mean_demand ? static_cast<std::uint32_t>(it.need.queues.size())
                        : assignment.UncoveredQueues(pool, it.need);
    receivers.push_back({pool, static_cast<double>(queues)});
  }
  std::stable_sort(receivers.begin(), receivers.end(),
                   [](const Receiver& a, const Receiver& b) {
                     return a.max_gain > b.max_gain;
                   });
  return receivers;
}

}  // namespace

Planner::Planner(PlannerOptions options) : options_(options) {}

pomelomill::Plan Planner::Plan(const PlannerInput& input, Instant now) {
  pomelomill::Plan plan;
  if (!input.declarations || !input.state) return plan;
  PlannerInput planned_input = input;
  planned_input.demand = ApplyDemandHysteresis(input);
  Assignment assignment(planned_input, input.demand, options_);
  UpdateHistory(assignment, now);
  PlanSizes(assignment, now, plan);
  PlanStarts(assignment, now, plan);
  PlanMoves(assignment, now, plan);
  PlanStops(assignment, now, plan);
  return plan;
}

std::map<QueueId, QueueDemand> Planner::ApplyDemandHysteresis(
    const PlannerInput& input) {
  std::map<QueueId, QueueDemand> planned;
  for (const auto& [id, measured] : input.demand) {
    const auto before = planned_demand_.find(id);
    if (before == planned_demand_.end()) {
      planned[id] = measured;
      continue;
    }
    QueueDemand demand = measured;
    const QueueDemand& old = before->second;
    const auto follow = [](double old_value, double now, double rise,
                           double fall) {
      const bool stays =
          now <= old_value * (1 + rise) && now >= old_value * (1 - fall);
      return stays ? old_value : now;
    };
    const double rise = options_.demand_rise_threshold;
    const double fall = options_.demand_fall_threshold;
    demand.mean_rate = follow(old.mean_rate, measured.mean_rate, rise, fall);
    demand.peak_factor =
        follow(old.peak_factor, measured.peak_factor, rise, fall);
    const auto follow_time = [&](Duration old_value, Duration now) {
      return Duration(static_cast<Duration::rep>(
          follow(static_cast<double>(old_value.count()),
                 static_cast<double>(now.count()), rise, fall)));
    };
    demand.service_time = follow_time(old.service_time, measured.service_time);
    demand.peak_duration =
        follow_time(old.peak_duration, measured.peak_duration);
    demand.peak_interval =
        follow_time(old.peak_interval, measured.peak_interval);
    demand.budget_left = follow(old.budget_left, measured.budget_left,
                                options_.budget_change_threshold,
                                options_.budget_change_threshold);
    planned[id] = demand;
  }
  planned_demand_ = planned;
  return planned;
}

void Planner::UpdateHistory(const Assignment& assignment, Instant now) {
  std::map<PoolId, PoolHistory> history;
  for (std::size_t i = 0; i < assignment.pools().size(); ++i) {
    const AssignedPool& pool = assignment.pools()[i];
    const int index = static_cast<int>(i);
    PoolHistory it = history_[pool.declaration->id];
    if (assignment.ShortageOf(index, pool.need).worst_event == 0) {
      it.shortage_since.reset();
      it.is_wait_recorded = false;
    } else if (!it.shortage_since) {
      it.shortage_since = now;
    }
    if (pool.in_service <= assignment.TargetSize(index, pool.need)) {
      it.surplus_since.reset();
    } else if (!it.surplus_since) {
      it.surplus_since = now;
    }
    history[pool.declaration->id] = it;
  }
  history_ = std::move(history);
  std::erase_if(moved_at_, [&](const auto& it) {
    return now - it.second >= options_.min_time_between_moves;
  });
}

void Planner::PlanSizes(const Assignment& assignment, Instant now,
                        pomelomill::Plan& plan) {
  for (std::size_t i = 0; i < assignment.pools().size(); ++i) {
    const int index = static_cast<int>(i);
    const AssignedPool& pool = assignment.pools()[i];
    PoolTarget target;
    target.need = pool.need;
    target.current = pool.in_service;
    for (const DomainCount& it : pool.racks)
      target.largest_rack = std::max(target.largest_rack, it.count);
    for (const DomainCount& it : pool.zones)
      target.largest_zone = std::max(target.largest_zone, it.count);
    target.wave_reserve = pool.wave_reserve;
    target.size = assignment.TargetSize(index, pool.need);
    const PoolNeed& need = pool.need;
    // Separate allowances for a peak, the loss of a zone and a wave, added up
    // on top of the mean demand.
    const std::uint32_t zones = std::max(1U, assignment.zone_count());
    const std::uint32_t separate =
        need.peak + (need.base + zones - 1) / zones + pool.wave_reserve;
    const std::uint32_t buffer_size =
        target.size - std::min(target.size, need.stable);
    plan.buffer.size += buffer_size;
    plan.buffer.separate_size += separate - std::min(separate, need.stable);
    plan.buffer.size_by_pool[pool.declaration->id] = buffer_size;

    PoolHistory& history = history_[pool.declaration->id];
    if (history.recorded_size != target.size) {
      Decision decision;
      decision.at = now;
      decision.subjects = {{"pool", NameOf(pool)}};
      decision.choice = "size " + std::to_string(target.size);
      decision.reason =
          "covers a peak of one queue, the loss of a rack or zone, or a "
          "maintenance wave, one at a time";
      decision.facts = {NumberFact("load_slots", need.load_slots),
                        CountFact("stable", need.stable),
                        CountFact("base", need.base),
                        CountFact("peak", need.peak),
                        CountFact("peak_in_wave", need.single_peak),
                        CountFact("wave", pool.wave_reserve),
                        CountFact("largest_rack", target.largest_rack),
                        CountFact("largest_zone", target.largest_zone)};
      decision.alternatives = {
          {"size " + std::to_string(separate) + " by separate allowances",
           "VMs more than for one event at a time",
           static_cast<double>(separate) - target.size}};
      plan.decisions.push_back(std::move(decision));
      history.recorded_size = target.size;
    }
    plan.pools[pool.declaration->id] = std::move(target);
  }
}

void Planner::PlanStarts(Assignment& assignment, Instant now,
                         pomelomill::Plan& plan) {
  for (std::size_t i = 0; i < assignment.vms().size(); ++i) {
    const int vm = static_cast<int>(i);
    const AssignedVm& it = assignment.vms()[i];
    if (!it.is_stopped || !it.is_movable) continue;
    const AssignedPool& pool = assignment.pools()[it.pool];
    const Shortage before = assignment.ShortageOf(it.pool, pool.need);
    const Shortage after = assignment.ShortageWith(it.pool, pool.need, vm, 1);
    if (after.worst_event >= before.worst_event) continue;
    Decision decision;
    decision.at = now;
    decision.subjects = {{"vm", it.id.value()}, {"pool", NameOf(pool)}};
    decision.choice = "start " + it.id.value();
    decision.reason = "the pool has fewer VMs in service than it needs";
    decision.facts = {CountFact("missing", before.worst_event),
                      CountFact("in_service", pool.in_service)};
    decision.alternatives = {{"leave it stopped", "VMs missing",
                              static_cast<double>(before.worst_event)}};
    plan.decisions.push_back(std::move(decision));
    plan.starts.push_back(it.id);
    assignment.Start(vm);
  }
}

bool Planner::IsMoveDue(const Assignment& assignment, int receiver,
                        bool for_mean_demand, Instant now,
                        pomelomill::Plan& plan) {
  const AssignedPool& pool = assignment.pools()[receiver];
  PoolHistory& history = history_[pool.declaration->id];
  const Duration lasted =
      history.shortage_since ? now - *history.shortage_since : Duration(0);
  if (lasted >= pool.declaration->cold_start ||
      (for_mean_demand && pool.lost > 0))
    return true;
  if (std::exchange(history.is_wait_recorded, true)) return false;
  Decision decision;
  decision.at = now;
  decision.subjects = {{"pool", NameOf(pool)}};
  decision.choice = "wait";
  decision.reason =
      "a moved VM serves only after a cold start, and the shortage may end "
      "before";
  decision.facts = {
      CountFact("missing",
                assignment.ShortageOf(receiver, pool.need).worst_event),
      NumberFact("lasted_s", ToSeconds(lasted)),
      NumberFact("cold_start_s", ToSeconds(pool.declaration->cold_start))};
  decision.alternatives = {
      {"move now", "seconds until the shortage has lasted for a cold start",
       ToSeconds(pool.declaration->cold_start - lasted)}};
  plan.decisions.push_back(std::move(decision));
  return false;
}

void Planner::PlanMoves(Assignment& assignment, Instant now,
                        pomelomill::Plan& plan) {
  std::vector<int> movable;
  for (std::size_t i = 0; i < assignment.vms().size(); ++i) {
    const AssignedVm& vm = assignment.vms()[i];
    if (vm.is_movable && !moved_at_.contains(vm.id))
      movable.push_back(static_cast<int>(i));
  }
  MoveSearch search(assignment, std::move(movable));
  std::uint32_t moves_under_way = assignment.open_moves();
  const auto commit = [&](const TrialMove& move, bool for_mean_demand) {
    plan.decisions.push_back(
        MoveDecision(assignment, move, for_mean_demand, now));
    const int index = move.choice.best.vm;
    const AssignedVm& vm = assignment.vms()[index];
    plan.moves.push_back({vm.id, assignment.pools()[vm.pool].declaration->id,
                          assignment.pools()[move.receiver].declaration->id});
    moved_at_[vm.id] = now;
    assignment.Move(index, move.receiver);
    search.Exclude(index);
    ++moves_under_way;
  };

  for (const Receiver& it : FindReceivers(assignment, true)) {
    if (!IsMoveDue(assignment, it.pool, true, now, plan)) continue;
    while (moves_under_way < options_.max_moves) {
      const auto move = search.FindForMean(it.pool);
      if (!move) break;
      commit(*move, true);
    }
  }
  while (moves_under_way < options_.max_moves) {
    MoveGroup best;
    for (const Receiver& it : FindReceivers(assignment, false)) {
      // Receivers are sorted by `max_gain`, so no later one can be better.
      if (it.max_gain <= best.gain_per_move()) break;
      if (!IsMoveDue(assignment, it.pool, false, now, plan)) continue;
      MoveGroup group = search.FindGroup(it.pool);
      const AssignedPool& pool = assignment.pools()[it.pool];
      if (group.gain_per_move() < it.max_gain / 2 &&
          pool.in_service >= pool.need.peak) {
        MoveGroup swap = search.FindSwap(it.pool);
        if (swap.gain_per_move() > group.gain_per_move())
          group = std::move(swap);
      }
      if (group.gain_per_move() > best.gain_per_move()) best = std::move(group);
    }
    if (best.moves.empty()) break;
    for (const TrialMove& it : best.moves) {
      if (moves_under_way < options_.max_moves) commit(it, false);
    }
  }
}

void Planner::PlanStops(Assignment& assignment, Instant now,
                        pomelomill::Plan& plan) {
  if (!options_.stops_idle_vms) return;
  for (std::size_t i = 0; i < assignment.vms().size(); ++i) {
    const int vm = static_cast<int>(i);
    const AssignedVm& it = assignment.vms()[i];
    if (!it.is_movable || !it.is_in_service || moved_at_.contains(it.id))
      continue;
    const AssignedPool& pool = assignment.pools()[it.pool];
    // Surplus VMs allow the wave to take more VMs at once, and a VM that is
    // stopped before its maintenance would have to be started for it.
    if (pool.is_in_running_wave) continue;
    const PoolHistory& history = history_[pool.declaration->id];
    if (!history.surplus_since ||
        now - *history.surplus_since < options_.min_surplus_duration ||
        pool.in_service <= pool.declaration->min_size)
      continue;
    const Shortage after = assignment.ShortageWith(it.pool, pool.need, vm, -1);
    if (after.worst_event > 0) continue;
    Decision decision;
    decision.at = now;
    decision.subjects = {{"vm", it.id.value()}, {"pool", NameOf(pool)}};
    decision.choice = "stop " + it.id.value();
    decision.reason =
        "the pool covers a peak, the loss of a rack or zone, and a maintenance "
        "wave without this VM";
    decision.facts = {
        CountFact("in_service", pool.in_service),
        CountFact("target", assignment.TargetSize(it.pool, pool.need)),
        NumberFact("surplus_lasted_s",
                   ToSeconds(now - *history.surplus_since))};
    decision.alternatives = {{"keep it running", "idle VMs saved", 1}};
    plan.decisions.push_back(std::move(decision));
    plan.stops.push_back(it.id);
    assignment.Stop(vm);
  }
}

}  // namespace pomelomill
