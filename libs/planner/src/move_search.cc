#include "move_search.h"

#include <algorithm>

namespace pomelomill {

bool MoveSearch::MayLeave(int vm) const {
  const AssignedVm& it = assignment_.vms()[vm];
  if (!it.is_in_service) return true;
  const AssignedPool& from = assignment_.pools()[it.pool];
  return from.in_service > from.declaration->min_size &&
         assignment_.ShortageWith(it.pool, from.need, vm, -1).base == 0;
}

std::uint32_t MoveSearch::DonorLoss(int vm) const {
  const AssignedVm& it = assignment_.vms()[vm];
  if (!it.is_in_service) return 0;
  const AssignedPool& pool = assignment_.pools()[it.pool];
  // Both needs count: a donor that is uncovered at the raised demand may still
  // be covered at the present one, and would take the VM back.
  std::uint32_t loss = 0;
  for (const PoolNeed* need : {&pool.need, &pool.donor_need}) {
    const std::uint32_t before = assignment_.UncoveredQueues(it.pool, *need);
    const std::uint32_t after =
        assignment_.UncoveredWith(it.pool, *need, vm, -1);
    loss = std::max(loss, after - std::min(after, before));
  }
  return loss;
}

Candidate MoveSearch::Rate(int vm, int receiver, bool for_mean,
                           SearchOrder order) const {
  const AssignedVm& it = assignment_.vms()[vm];
  const AssignedPool& from = assignment_.pools()[it.pool];
  const Shortage after = assignment_.ShortageWith(
      receiver, assignment_.pools()[receiver].need, vm, 1);
  Candidate candidate;
  candidate.shortage_after = for_mean ? after.base : after.joint;
  candidate.missing_after = after.sum;
  candidate.donor_uncovered = DonorLoss(vm);
  candidate.primary = order == SearchOrder::kDonorFirst
                          ? candidate.donor_uncovered
                          : candidate.shortage_after;
  candidate.takes_running_vm = it.is_in_service;
  candidate.leaves_ordinary_pool = !from.declaration->is_spare;
  candidate.donor_below_size = static_cast<int>(from.declaration->size) -
                               static_cast<int>(from.in_service);
  candidate.rack_overlap = assignment_.InRack(receiver, it.rack);
  candidate.zone_overlap = assignment_.InZone(receiver, it.zone);
  candidate.donor_spread =
      -static_cast<int>(assignment_.InRack(it.pool, it.rack));
  candidate.vm = vm;
  return candidate;
}

std::optional<Choice> MoveSearch::Best(int receiver, bool for_mean,
                                       SearchOrder order) const {
  const Shortage before =
      assignment_.ShortageOf(receiver, assignment_.pools()[receiver].need);
  const auto pool_of = [&](const Candidate& it) {
    return it.vm < 0 ? -1 : assignment_.vms()[it.vm].pool;
  };
  Choice choice;
  for (int vm : movable_) {
    if (assignment_.vms()[vm].pool == receiver || !MayLeave(vm)) continue;
    const Candidate candidate = Rate(vm, receiver, for_mean, order);
    const bool helps = for_mean ? candidate.shortage_after < before.base
                                : candidate.missing_after < before.sum;
    if (!helps) continue;
    if (choice.best.vm < 0 || candidate < choice.best) {
      if (pool_of(choice.best) != pool_of(candidate))
        choice.second = choice.best;
      choice.best = candidate;
    } else if (pool_of(candidate) != pool_of(choice.best) &&
               (choice.second.vm < 0 || candidate < choice.second)) {
      choice.second = candidate;
    }
  }
  if (choice.best.vm < 0) return std::nullopt;
  return choice;
}

std::optional<TrialMove> MoveSearch::FindForMean(int receiver) const {
  const auto choice = Best(receiver, true, SearchOrder::kReceiverFirst);
  if (!choice) return std::nullopt;
  return TrialMove{*choice, receiver};
}

MoveGroup MoveSearch::FindGroup(int receiver) const {
  MoveGroup group = TryGroup(receiver, SearchOrder::kReceiverFirst);
  MoveGroup other = TryGroup(receiver, SearchOrder::kDonorFirst);
  return other.gain_per_move() > group.gain_per_move() ? other : group;
}

MoveGroup MoveSearch::TryGroup(int receiver, SearchOrder order) const {
  const PoolNeed& need = assignment_.pools()[receiver].need;
  const auto uncovered =
      static_cast<int>(assignment_.UncoveredQueues(receiver, need));
  std::vector<AssignedVm> before;
  MoveGroup trial;
  MoveGroup best;
  int lost = 0;
  while (assignment_.ShortageOf(receiver, need).joint > 0) {
    const auto choice = Best(receiver, false, order);
    if (!choice) break;
    lost += static_cast<int>(choice->best.donor_uncovered);
    if (lost >= uncovered) break;
    before.push_back(assignment_.vms()[choice->best.vm]);
    assignment_.Move(choice->best.vm, receiver);
    trial.moves.push_back({*choice, receiver});
    trial.gain = uncovered - lost -
                 static_cast<int>(assignment_.UncoveredQueues(receiver, need));
    if (trial.gain > 0 && trial.gain_per_move() > best.gain_per_move())
      best = trial;
  }
  for (std::size_t i = before.size(); i-- > 0;)
    assignment_.Restore(trial.moves[i].choice.best.vm, before[i]);
  return best;
}

MoveGroup MoveSearch::FindSwap(int receiver) const {
  MoveGroup best;
  const PoolNeed& need = assignment_.pools()[receiver].need;
  const auto uncovered =
      static_cast<int>(assignment_.UncoveredQueues(receiver, need));
  for (int out : movable_) {
    const AssignedVm leaving = assignment_.vms()[out];
    if (leaving.pool != receiver || !leaving.is_in_service) continue;
    for (int in : movable_) {
      const AssignedVm entering = assignment_.vms()[in];
      if (entering.pool == receiver || !entering.is_in_service ||
          entering.rack == leaving.rack)
        continue;
      const int donor = entering.pool;
      const AssignedPool& from = assignment_.pools()[donor];
      const std::uint32_t before =
          assignment_.UncoveredQueues(donor, from.need);
      const std::uint32_t before_raised =
          assignment_.UncoveredQueues(donor, from.donor_need);
      assignment_.Move(out, donor);
      assignment_.Move(in, receiver);
      const std::uint32_t after = assignment_.UncoveredQueues(donor, from.need);
      const std::uint32_t after_raised =
          assignment_.UncoveredQueues(donor, from.donor_need);
      const std::uint32_t loss =
          std::max(after - std::min(after, before),
                   after_raised - std::min(after_raised, before_raised));
      const int gain =
          uncovered - static_cast<int>(loss) -
          static_cast<int>(assignment_.UncoveredQueues(receiver, need));
      assignment_.Restore(in, entering);
      assignment_.Restore(out, leaving);
      if (gain <= best.gain) continue;
      best.gain = gain;
      best.moves.assign(2, {});
      best.moves[0].choice.best.vm = in;
      best.moves[0].receiver = receiver;
      best.moves[1].choice.best.vm = out;
      best.moves[1].receiver = donor;
    }
  }
  return best;
}

}  // namespace pomelomill
