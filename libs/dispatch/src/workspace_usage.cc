#include "workspace_usage.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

#include "pomelomill/workspaces/fair_share.h"

namespace pomelomill {
namespace {

/// Workspaces get their parts of a pool over about this time, within which a
/// job is of use to its caller.
constexpr Duration kFairnessPeriod = std::chrono::seconds(5);
/// A workspace yields to others once it has had its part this many times over:
/// parts are estimates, and jobs that yield wait behind larger ones of others.
constexpr double kToleratedParts = 2;
constexpr double kMaxExcess = 15;

ResourceAmount Find(const std::map<WorkspaceId, ResourceAmount>& amounts,
                    const WorkspaceId& workspace) {
  const auto it = amounts.find(workspace);
  return it == amounts.end() ? ResourceAmount{} : it->second;
}

}  // namespace

ResourceAmount Times(const TaskSize& size, std::uint64_t tasks) {
  return {size.cpu_millis * tasks, size.memory_mb * tasks, size.gpus * tasks};
}

void WorkspaceUsage::Add(const WorkspaceId& workspace, const TaskSize& size) {
  if (workspace.empty()) return;
  ResourceAmount& amount = placed_[workspace];
  amount = amount + Times(size, 1);
}

void WorkspaceUsage::Remove(const WorkspaceId& workspace,
                            const TaskSize& size) {
  const auto it = placed_.find(workspace);
  if (it == placed_.end()) return;
  it->second = it->second - Times(size, 1);
  if (it->second.IsZero()) placed_.erase(it);
}

ResourceAmount WorkspaceUsage::Used(const WorkspaceId& workspace) const {
  return Find(placed_, workspace) + Find(held_, workspace);
}

double WorkspaceUsage::WeightOf(const WorkspaceId& workspace) const {
  const auto it = weights_.find(workspace);
  return it == weights_.end() ? 1 : it->second;
}

bool WorkspaceUsage::MayPlace(const WorkspaceId& workspace,
                              const TaskSize& size, std::uint64_t tasks) const {
  if (workspace.empty()) return true;
  const auto it = limits_.find(workspace);
  if (it == limits_.end()) return true;
  return (Used(workspace) + Times(size, tasks)).FitsInto(it->second.placed);
}

std::uint64_t WorkspaceUsage::TasksWithinCap(const WorkspaceId& workspace,
                                             const ResourceAmount& others,
                                             const TaskSize& size,
                                             std::uint64_t tasks) const {
  const auto it = limits_.find(workspace);
  if (it == limits_.end()) return tasks;
  const ResourceAmount left = it->second.cap - (Used(workspace) + others);
  const auto limit = [&](std::uint64_t one, std::uint64_t all) {
    if (one != 0) tasks = std::min(tasks, all / one);
  };
  limit(size.cpu_millis, left.cpu_millis);
  limit(size.memory_mb, left.memory_mb);
  limit(size.gpus, left.gpus);
  return tasks;
}

void WorkspaceUsage::Charge(const WorkspaceId& workspace, const TaskSize& size,
                            Duration run_time, Instant now) {
  Decay(now);
  charges_[workspace] += static_cast<double>(size.cpu_millis) *
                         static_cast<double>(ToMillis(run_time));
}

void WorkspaceUsage::Decay(Instant now) {
  if (now <= decayed_at_) return;
  const double factor =
      std::exp(-ToSeconds(now - decayed_at_) / ToSeconds(kFairnessPeriod));
  decayed_at_ = now;
  for (auto& [id, charge] : charges_) charge *= factor;
}

double WorkspaceUsage::RecentCpu(const WorkspaceId& workspace) const {
  const auto it = charges_.find(workspace);
  return it == charges_.end()
             ? 0
             : it->second / static_cast<double>(ToMillis(kFairnessPeriod));
}

void WorkspaceUsage::BeginPlan(std::map<WorkspaceId, ResourceAmount> waiting,
                               const ResourceAmount& capacity,
                               const ResourceAmount& used, Instant now) {
  waiting_ = std::move(waiting);
  unused_ = capacity - used;
  Decay(now);
  // Less than a thousandth of a core.
  std::erase_if(charges_, [this](const auto& it) {
    return RecentCpu(it.first) < 1 && !waiting_.contains(it.first);
  });
  std::map<WorkspaceId, double> demands;
  for (const auto& [id, charge] : charges_) demands[id] = RecentCpu(id);
  for (const auto& [id, amount] : waiting_)
    demands[id] += static_cast<double>(amount.cpu_millis);
  std::vector<WeightedDemand> shares;
  shares.reserve(demands.size());
  for (const auto& [id, demand] : demands)
    shares.push_back({WeightOf(id), demand});
  std::uint64_t placed = 0;
  for (const auto& [id, amount] : placed_) placed += amount.cpu_millis;
  const std::uint64_t others = SaturatingSubtract(used.cpu_millis, placed);
  fair_level_ = FairLevel(
      std::move(shares),
      static_cast<double>(SaturatingSubtract(capacity.cpu_millis, others)));
}

std::uint32_t WorkspaceUsage::Excess(const WorkspaceId& workspace) const {
  if (workspace.empty() ||
      fair_level_ == std::numeric_limits<double>::infinity())
    return 0;
  const double part = kToleratedParts * fair_level_ * WeightOf(workspace);
  const double recent = RecentCpu(workspace);
  if (recent < part) return 0;
  return static_cast<std::uint32_t>(
      part * kMaxExcess <= recent ? kMaxExcess : recent / part);
}

std::map<WorkspaceId, WorkspaceUse> WorkspaceUsage::uses() const {
  std::map<WorkspaceId, WorkspaceUse> uses;
  for (const auto& [id, amount] : placed_) uses[id].used = amount;
  for (const auto& [id, amount] : held_) uses[id].used = uses[id].used + amount;
  for (const auto& [id, amount] : waiting_)
    uses[id].waiting = Min(amount, unused_);
  return uses;
}

}  // namespace pomelomill
