#include "move_search.h"

#include <algorithm>

namespace pomelomill {

bool MoveSearch::CanLeavePool(int vm) const {
  const AssignedVm& it = assignment_.vms()[vm];
  if (!it.is_in_service) return true;
  const AssignedPool& from = assignment_.pools()[it.pool];
  return from.in_service > from.declaration->min_size &&
         assignment_.ShortageWith(it.pool, from.need, vm, -1).base == 0;
}

std::uint32_t MoveSearch::QueuesUncoveredInDonor(int vm) const {
  const AssignedVm& it = assignment_.vms()[vm];
  if (!it.is_in_service) return 0;
  const AssignedPool& pool = assignment_.pools()[it.pool];
  // Both needs are checked: a donor that is already uncovered at the raised
  // demand may still be covered at the planned demand. If the move uncovered it
  // there as well, the donor would take the VM back.
  std::uint32_t loss = 0;
  for (const PoolNeed* need : {&pool.need, &pool.donor_need}) {
    const std::uint32_t before = assignment_.UncoveredQueues(it.pool, *need);
    const std::uint32_t after =
        assignment_.UncoveredWith(it.pool, *need, vm, -1);
    loss = std::max(loss, after - std::min(after, before));
  }
  return loss;
}

Candidate MoveSearch::RateCandidate(int vm, int receiver, bool for_mean_demand,
                                    SearchOrder order) const {
  const AssignedVm& it = assignment_.vms()[vm];
  const AssignedPool& from = assignment_.pools()[it.pool];
  const Shortage after = assignment_.ShortageWith(
      receiver, assignment_.pools()[receiver].need, vm, 1);
  Candidate candidate;
  candidate.shortage_after = for_mean_demand ? after.base : after.worst_event;
  candidate.missing_after = after.event_total;
  candidate.donor_queues_uncovered = QueuesUncoveredInDonor(vm);
  candidate.primary_criterion = order == SearchOrder::kDonorFirst
                                    ? candidate.donor_queues_uncovered
                                    : candidate.shortage_after;
  candidate.is_running_vm = it.is_in_service;
  candidate.is_from_regular_pool = !from.declaration->is_spare;
  candidate.donor_deficit = static_cast<int>(from.declaration->size) -
                            static_cast<int>(from.in_service);
  candidate.rack_overlap = assignment_.CountInRack(receiver, it.rack);
  candidate.zone_overlap = assignment_.CountInZone(receiver, it.zone);
  candidate.negated_donor_rack_count =
      -static_cast<int>(assignment_.CountInRack(it.pool, it.rack));
  candidate.vm = vm;
  return candidate;
}

std::optional<Choice> MoveSearch::FindBestCandidate(int receiver,
                                                    bool for_mean_demand,
                                                    SearchOrder order) const {
  const Shortage before =
      assignment_.ShortageOf(receiver, assignment_.pools()[receiver].need);
  const auto pool_of = [&](const Candidate& it) {
    return it.vm < 0 ? -1 : assignment_.vms()[it.vm].pool;
  };
  Choice choice;
  for (int vm : movable_) {
    if (assignment_.vms()[vm].pool == receiver || !CanLeavePool(vm)) continue;
    const Candidate candidate =
        RateCandidate(vm, receiver, for_mean_demand, order);
    const bool helps = for_mean_demand
                           ? candidate.shortage_after < before.base
                           : candidate.missing_after < before.event_total;
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
  const auto choice =
      FindBestCandidate(receiver, true, SearchOrder::kReceiverFirst);
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
  int donor_loss = 0;
  while (assignment_.ShortageOf(receiver, need).worst_event > 0) {
    const auto choice = FindBestCandidate(receiver, false, order);
    if (!choice) break;
    donor_loss += static_cast<int>(choice->best.donor_queues_uncovered);
    if (donor_loss >= uncovered) break;
    before.push_back(assignment_.vms()[choice->best.vm]);
    assignment_.Move(choice->best.vm, receiver);
    trial.moves.push_back({*choice, receiver});
    trial.gain = uncovered - donor_loss -
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
