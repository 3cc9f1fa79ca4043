#include "pomelomill/membership/slot_shares.h"

#include <algorithm>
#include <cstdint>

namespace pomelomill {
namespace {

bool IsShuttingDown(const FencingView& view, const IncarnationId& incarnation) {
  const Member* member = view.table().Find(incarnation);
  return member != nullptr && member->report.is_leaving;
}

/// Registered incarnations and this entry itself, in the order of their ids,
/// without those that are shutting down.
std::vector<Registration> Candidates(const FencingView& view) {
  std::vector<Registration> candidates;
  for (const auto& [incarnation, item] : view.registrations().current()) {
    if (!view.table().is_dead(incarnation) &&
        !IsShuttingDown(view, incarnation)) {
      candidates.push_back(item);
    }
  }
  return candidates;
}

bool IsReplaced(const FencingView& view, const EntryShare& share) {
  const auto& current = view.registrations().current();
  return std::any_of(current.begin(), current.end(), [&](const auto& item) {
    return item.second.entry == share.entry && item.first != share.incarnation;
  });
}

/// The holder never takes its own share out of use: it would have to wait
/// for itself to be fenced.
bool ShouldLeave(const FencingView& view, const EntryShare& share,
                 Instant now) {
  if (share.incarnation == view.table().self().incarnation) return false;
  return IsShuttingDown(view, share.incarnation) || IsReplaced(view, share) ||
         view.IsFenced(share.incarnation, Version(), now);
}

}  // namespace

std::optional<ShareChange> SlotShares::Next(
    const std::vector<EntryShare>& shares, Version changed_at,
    Version self_shares_version, const FencingView& view, Instant now) {
  if (!view.registrations().has_listing()) return std::nullopt;

  // All entries but the joining ones must keep to the current list before it
  // may change again: then every entry acts on this list or the one before.
  bool is_settled = true;
  for (const MissingEntry& missing :
       view.MissingForShares(changed_at, self_shares_version, now)) {
    const auto it = std::find_if(
        shares.begin(), shares.end(), [&](const EntryShare& share) {
          return share.incarnation == missing.incarnation;
        });
    if (it->phase != SharePhase::kJoining) is_settled = false;
  }

  ShareChange change{.shares = shares, .reason = ""};
  // First step: take shares out of use. Votes change but the list does not,
  // so this need not wait for anything.
  for (EntryShare& share : change.shares) {
    if (share.phase != SharePhase::kActive || !ShouldLeave(view, share, now)) {
      continue;
    }
    share.phase = SharePhase::kLeaving;
    change.reason += share.entry.value() + " leaves; ";
  }
  if (!change.reason.empty()) return change;
  if (!is_settled) return std::nullopt;

  // Second step: pass on or drop released shares, activate joined ones.
  const std::vector<Registration> candidates = Candidates(view);
  const auto is_candidate = [&](const IncarnationId& incarnation) {
    return std::any_of(candidates.begin(), candidates.end(),
                       [&](const Registration& item) {
                         return item.incarnation == incarnation;
                       });
  };
  std::vector<EntryShare> next;
  for (const EntryShare& share : shares) {
    if (share.phase == SharePhase::kLeaving &&
        view.HasReleased(share.incarnation, changed_at, now)) {
      change.reason += share.entry.value() + " has left; ";
      continue;
    }
    if (share.phase == SharePhase::kJoining) {
      if (!is_candidate(share.incarnation)) {
        change.reason += share.entry.value() + " did not join; ";
        continue;
      }
      EntryShare active = share;
      active.phase = SharePhase::kActive;
      next.push_back(active);
      change.reason += share.entry.value() + " is active; ";
      continue;
    }
    next.push_back(share);
  }
  if (!change.reason.empty()) {
    change.shares = std::move(next);
    return change;
  }

  // Joining members are added to a settled list only, so that two successive
  // lists never differ by members that joined and members that left.
  for (const Registration& item : candidates) {
    const bool has_share = std::any_of(
        shares.begin(), shares.end(),
        [&](const EntryShare& share) { return share.entry == item.entry; });
    if (has_share) continue;
    change.shares.push_back(
        {.entry = item.entry,
         .incarnation = item.incarnation,
         .weight = 1,
         // The first owners of a new region need not wait for anyone.
         .phase = shares.empty() ? SharePhase::kActive : SharePhase::kJoining});
    change.reason += item.entry.value() + " joins; ";
  }
  if (change.reason.empty()) return std::nullopt;
  return change;
}

}  // namespace pomelomill
