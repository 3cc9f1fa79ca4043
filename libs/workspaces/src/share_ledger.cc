#include "pomelomill/workspaces/share_ledger.h"

#include <algorithm>
#include <utility>

namespace pomelomill {
namespace {

/// A waiting pool that runs nothing gives its part back first, and takes what
/// is free after this many times as long.
constexpr int kIdlePeriodsToExceedPart = 4;

ResourceAmount SumOf(const ShareRecord& record) {
  ResourceAmount sum;
  for (const auto& [pool, share] : record) sum = sum + share.amount;
  return sum;
}

/// Returns `amount` x `part` / `whole`, rounded down.
std::uint64_t Scale(std::uint64_t amount, std::uint64_t part,
                    std::uint64_t whole) {
  return static_cast<std::uint64_t>(static_cast<long double>(amount) * part /
                                    whole);
}

bool IsUnlimited(std::uint64_t cap) {
  return cap == ResourceAmount::kUnlimited;
}

/// Returns a zero for each resource without a limit, which no share needs.
ResourceAmount LimitedPart(const ResourceAmount& amount,
                           const ResourceAmount& cap) {
  return CombineAmounts(amount, cap, [](std::uint64_t x, std::uint64_t most) {
    return IsUnlimited(most) ? 0 : x;
  });
}

}  // namespace

ShareLedger::ShareLedger(PoolId pool, const Options& options)
    : pool_(std::move(pool)), options_(options) {}

void ShareLedger::SetCaps(const std::map<WorkspaceId, ResourceAmount>& caps) {
  const auto or_unlimited = [](std::uint64_t cap) {
    return cap == 0 ? ResourceAmount::kUnlimited : cap;
  };
  for (const auto& [id, cap] : caps) {
    const ResourceAmount limit{or_unlimited(cap.cpu_millis),
                               or_unlimited(cap.memory_mb),
                               or_unlimited(cap.gpus)};
    const auto it = entries_.find(id);
    if (it != entries_.end()) {
      it->second.cap = limit;
    } else if (limit != ResourceAmount::Unlimited()) {
      entries_[id].cap = limit;
    }
  }
}

void ShareLedger::SetLoaded() {
  if (std::exchange(is_loaded_, true)) return;
  for (auto& [id, entry] : entries_) entry.inherited = OwnShare(entry).amount;
}

void ShareLedger::SetRecord(const WorkspaceId& workspace,
                            const ShareRecord& record, Version version) {
  Entry& entry = entries_[workspace];
  if (version <= entry.version) return;
  entry.record = record;
  entry.version = version;
}

PoolShare ShareLedger::OwnShare(const Entry& entry) const {
  const auto it = entry.record.find(pool_);
  return it == entry.record.end() ? PoolShare{} : it->second;
}

ResourceAmount ShareLedger::Inherited(const Entry& entry) const {
  return is_takeover_complete_ ? ResourceAmount{} : entry.inherited;
}

ResourceAmount ShareLedger::LimitToCap(const Entry& entry,
                                       const ResourceAmount& amount) const {
  const ResourceAmount sum = SumOf(entry.record);
  const auto limit = [](std::uint64_t own, std::uint64_t all,
                        std::uint64_t cap) {
    return all <= cap ? own : Scale(own, cap, all);
  };
  return {limit(amount.cpu_millis, sum.cpu_millis, entry.cap.cpu_millis),
          limit(amount.memory_mb, sum.memory_mb, entry.cap.memory_mb),
          limit(amount.gpus, sum.gpus, entry.cap.gpus)};
}

std::size_t ShareLedger::WaitingPools(const Entry& entry) const {
  return static_cast<std::size_t>(std::count_if(
      entry.record.begin(), entry.record.end(), [this](const auto& it) {
        return it.first != pool_ && it.second.is_waiting;
      }));
}

ResourceAmount ShareLedger::EqualPart(const Entry& entry,
                                      std::size_t pools) const {
  const auto divide = [&](std::uint64_t cap) {
    return IsUnlimited(cap) ? cap : cap / pools;
  };
  return {divide(entry.cap.cpu_millis), divide(entry.cap.memory_mb),
          divide(entry.cap.gpus)};
}

ResourceAmount ShareLedger::Limit(const WorkspaceId& workspace) const {
  const auto it = entries_.find(workspace);
  if (it == entries_.end()) return ResourceAmount::Unlimited();
  const Entry& entry = it->second;
  if (entry.cap == ResourceAmount::Unlimited()) return entry.cap;
  ResourceAmount own;
  if (is_loaded_) {
    own = OwnShare(entry).amount;
    if (entry.pending) own = Min(own, entry.pending->amount);
    own = LimitToCap(entry, own);
    own = own - Inherited(entry);
  }
  return CombineAmounts(own, entry.cap,
                        [](std::uint64_t share, std::uint64_t cap) {
                          return IsUnlimited(cap) ? cap : share;
                        });
}

ResourceAmount ShareLedger::Cap(const WorkspaceId& workspace) const {
  const auto it = entries_.find(workspace);
  return it == entries_.end() ? ResourceAmount::Unlimited() : it->second.cap;
}

std::vector<WorkspaceId> ShareLedger::CappedWorkspaces() const {
  std::vector<WorkspaceId> capped;
  for (const auto& [id, entry] : entries_)
    if (entry.cap != ResourceAmount::Unlimited()) capped.push_back(id);
  return capped;
}

ResourceAmount ShareLedger::ContendedShare(Entry& entry,
                                           const ResourceAmount& used,
                                           const ResourceAmount& need,
                                           std::size_t others,
                                           Instant now) const {
  if (!used.IsZero()) {
    entry.surplus_since.reset();
    // What exceeds the pool's part is given back as tasks end.
    return Min(need, Max(EqualPart(entry, others + 1), used));
  }
  if (!entry.surplus_since) entry.surplus_since = now;
  const Duration idle = now - *entry.surplus_since;
  if (idle >= kIdlePeriodsToExceedPart * options_.unusable_retention)
    return need;
  // A part in which no task fits is of use to another pool.
  if (idle >= options_.unusable_retention) return {};
  return Min(need, EqualPart(entry, others + 1));
}

PoolShare ShareLedger::Wanted(Entry& entry, const WorkspaceUse& use,
                              Instant now) const {
  const PoolShare own = OwnShare(entry);
  const ResourceAmount used =
      LimitedPart(use.used + Inherited(entry), entry.cap);
  const ResourceAmount need = used + LimitedPart(use.waiting, entry.cap);
  const ResourceAmount all = SumOf(entry.record);
  const ResourceAmount free = entry.cap - (all - own.amount);
  const std::size_t others = WaitingPools(entry);
  const ResourceAmount step = CombineAmounts(
      entry.cap, need, [this](std::uint64_t cap, std::uint64_t needed) {
        if (IsUnlimited(cap) || needed == 0) return std::uint64_t{0};
        return std::max(cap / options_.step_divisor, needed / 4);
      });
  if (!need.FitsInto(own.amount) || !all.FitsInto(entry.cap)) {
    if (others == 0) entry.surplus_since.reset();
    const ResourceAmount target =
        others == 0 ? need + step
                    : ContendedShare(entry, used, need, others, now);
    // What runs is not given back.
    const ResourceAmount share = Max(Min(target, free), Min(used, own.amount));
    return {share, !need.FitsInto(share)};
  }
  if (others != 0) {
    entry.surplus_since.reset();
    return {need, false};
  }
  if (own.amount.FitsInto(need + step + step)) {
    entry.surplus_since.reset();
    return {own.amount, false};
  }
  if (!entry.surplus_since) entry.surplus_since = now;
  if (now - *entry.surplus_since < options_.surplus_retention)
    return {own.amount, false};
  return {Min(own.amount, need + step), false};
}

std::vector<ShareChange> ShareLedger::Plan(
    const std::map<WorkspaceId, WorkspaceUse>& uses, Instant now,
    std::size_t most) {
  std::vector<ShareChange> changes;
  if (!is_loaded_) return changes;
  for (auto& [id, entry] : entries_) {
    if (changes.size() >= most) break;
    if (entry.cap == ResourceAmount::Unlimited() || entry.pending) continue;
    const auto use = uses.find(id);
    const PoolShare own = OwnShare(entry);
    const PoolShare wanted =
        Wanted(entry, use == uses.end() ? WorkspaceUse{} : use->second, now);
    if (wanted == own) continue;
    entry.pending = wanted;
    ShareChange change{.workspace = id,
                       .expected = entry.version,
                       .record = entry.record,
                       .former = own,
                       .share = wanted};
    if (wanted == PoolShare{}) {
      change.record.erase(pool_);
    } else {
      change.record[pool_] = wanted;
    }
    changes.push_back(std::move(change));
  }
  return changes;
}

void ShareLedger::OnStored(const ShareChange& change, Version version) {
  entries_[change.workspace].pending.reset();
  SetRecord(change.workspace, change.record, version);
}

void ShareLedger::OnConflict(const ShareChange& change,
                             const ShareRecord& record, Version version) {
  entries_[change.workspace].pending.reset();
  SetRecord(change.workspace, record, version);
}

}  // namespace pomelomill
