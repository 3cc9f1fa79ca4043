#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "assignment.h"

namespace pomelomill {

/// How well one VM serves a pool that is short; less is better, member by
/// member.
struct Candidate {
  /// What counts first, by the order of the search.
  std::uint32_t primary = 0;
  std::uint32_t shortage_after = 0;
  /// Queues of the donor that lose their cover.
  std::uint32_t donor_uncovered = 0;
  /// Sum of what is still missing for each event.
  std::uint32_t missing_after = 0;
  bool takes_running_vm = false;
  bool leaves_ordinary_pool = false;
  /// Declared size of the donor less its VMs in service.
  int donor_below_size = 0;
  std::uint32_t rack_overlap = 0;
  std::uint32_t zone_overlap = 0;
  int donor_spread = 0;
  int vm = -1;

  // clang-tidy 14 takes the rewritten comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const Candidate&) const = default;
};

/// The best VM and the best one of another donor; -1 when there is none.
struct Choice {
  Candidate best;
  Candidate second;
};

struct TrialMove {
  Choice choice;
  int receiver = -1;
};

/// Moves that are useful only together.
struct MoveGroup {
  std::vector<TrialMove> moves;
  /// Queues that gain cover less those that lose it.
  int gain = 0;

  double gain_per_move() const {
    return moves.empty()
               ? 0
               : static_cast<double>(gain) / static_cast<double>(moves.size());
  }
};

/// What a search looks for first: the end of the shortage in as few moves as
/// possible, or donors that lose nothing.
enum class SearchOrder { kReceiverFirst, kDonorFirst };

/// Finds moves that serve a pool. Every group improves the assignment in the
/// order of AssignmentCost, so that a sequence of groups ends.
class MoveSearch {
 public:
  MoveSearch(Assignment& assignment, std::vector<int> movable)
      : assignment_(assignment), movable_(std::move(movable)) {}

  /// One move that lowers the shortage of the mean demand, if there is one.
  std::optional<TrialMove> FindForMean(int receiver) const;

  /// Moves that cover more queues of the receiver than its donors lose; empty
  /// when there are none. The assignment is unchanged afterwards.
  MoveGroup FindGroup(int receiver) const;

  /// An exchange of two VMs that covers queues of the receiver by a better
  /// spread.
  MoveGroup FindSwap(int receiver) const;

  /// No VM is moved twice by one plan.
  void Exclude(int vm) { std::erase(movable_, vm); }

 private:
  MoveGroup TryGroup(int receiver, SearchOrder order) const;
  std::optional<Choice> Best(int receiver, bool for_mean,
                             SearchOrder order) const;
  bool MayLeave(int vm) const;
  std::uint32_t DonorLoss(int vm) const;
  Candidate Rate(int vm, int receiver, bool for_mean, SearchOrder order) const;

  Assignment& assignment_;
  std::vector<int> movable_;
};

}  // namespace pomelomill
