#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "assignment.h"

namespace pomelomill {

/// A VM that could move to a pool with a shortage, with its rating. Lower is
/// better; members are compared in their order.
struct Candidate {
  /// `donor_queues_uncovered` or `shortage_after`, by the search order.
  std::uint32_t primary_criterion = 0;
  /// VMs that the receiver still lacks after the move.
  std::uint32_t shortage_after = 0;
  /// Queues of the donor that are covered before the move but not after it.
  std::uint32_t donor_queues_uncovered = 0;
  /// `Shortage::event_total` of the receiver after the move.
  std::uint32_t missing_after = 0;
  bool is_running_vm = false;
  bool is_from_regular_pool = false;
  /// Declared size of the donor less its VMs in service.
  int donor_deficit = 0;
  /// VMs of the receiver in the rack and the zone of this VM.
  std::uint32_t rack_overlap = 0;
  std::uint32_t zone_overlap = 0;
  /// Negative number of VMs of the donor in the rack of this VM.
  int negated_donor_rack_count = 0;
  int vm = -1;

  // clang-tidy 14 mistakes the rewritten comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const Candidate&) const = default;
};

/// The best candidate, and the best candidate from another donor; `vm` is -1 if
/// there is none.
struct Choice {
  Candidate best;
  Candidate second;
};

/// A move to a receiving pool that has not been proposed yet.
struct TrialMove {
  Choice choice;
  int receiver = -1;
};

/// Moves that are made together, because a part of them may cover no queue.
struct MoveGroup {
  std::vector<TrialMove> moves;
  /// Queues that become covered, minus queues that become uncovered.
  int gain = 0;

  double gain_per_move() const {
    return moves.empty()
               ? 0
               : static_cast<double>(gain) / static_cast<double>(moves.size());
  }
};

/// Primary criterion of a search: the largest reduction of the receiver's
/// shortage, which needs the fewest moves, or the fewest queues that the donors
/// no longer cover.
enum class SearchOrder { kReceiverFirst, kDonorFirst };

/// Finds moves that reduce the shortage of a pool. Each result lowers the
/// `AssignmentCost` apart from its moves, so repeated searches terminate.
class MoveSearch {
 public:
  MoveSearch(Assignment& assignment, std::vector<int> movable)
      : assignment_(assignment), movable_(std::move(movable)) {}

  /// A move that lowers the receiver's shortage for its mean demand; nullopt if
  /// there is none.
  std::optional<TrialMove> FindForMean(int receiver) const;

  /// Moves after which more queues of the receiver become covered than queues
  /// of its donors become uncovered; empty if there are none. Tries moves on
  /// the assignment and restores it.
  MoveGroup FindGroup(int receiver) const;

  /// An exchange of two VMs that covers queues of the receiver by a better
  /// spread over racks and zones; empty if there is none. Tries moves on the
  /// assignment and restores it.
  MoveGroup FindSwap(int receiver) const;

  /// Excludes a VM from further searches, so that one plan does not move it
  /// twice.
  void Exclude(int vm) { std::erase(movable_, vm); }

 private:
  MoveGroup TryGroup(int receiver, SearchOrder order) const;
  std::optional<Choice> FindBestCandidate(int receiver, bool for_mean_demand,
                                          SearchOrder order) const;
  /// Whether the pool of the VM keeps its minimum size and serves its mean
  /// demand without the VM.
  bool CanLeavePool(int vm) const;
  /// Queues of the VM's pool that become uncovered when the VM leaves.
  std::uint32_t QueuesUncoveredInDonor(int vm) const;
  Candidate RateCandidate(int vm, int receiver, bool for_mean_demand,
                          SearchOrder order) const;

  Assignment& assignment_;
  std::vector<int> movable_;
};

}  // namespace pomelomill
