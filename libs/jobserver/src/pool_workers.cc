#include "pool_workers.h"

#include <algorithm>
#include <utility>

#include "dispatch_event_fields.h"

namespace pomelomill {

PoolWorkers::PoolWorkers(const WorkerCalls& calls, TimerService& timers,
                         Duration task_lease, PoolWorkersHooks hooks)
    : calls_(calls),
      timers_(timers),
      task_lease_(task_lease),
      hooks_(std::move(hooks)) {}

void PoolWorkers::Halt() {
  links_.clear();
  hooks_ = {};
}

bool PoolWorkers::TakeRosterChange() {
  const auto expired =
      std::erase_if(lost_with_open_starts_, [&](const WorkerId& id) {
        const WorkerLink* const link = FindLink(id);
        return link == nullptr || !link->has_open_starts();
      });
  return std::exchange(is_roster_outdated_, false) || expired != 0;
}

std::map<WorkerId, std::string> PoolWorkers::WantedRoster(
    std::map<WorkerId, std::string> roster) const {
  for (const ListedWorker& it : listed_) roster[it.spec.id] = it.address;
  std::erase_if(roster, [&](const auto& it) {
    const WorkerLink* const link = FindLink(it.first);
    const bool is_called =
        link != nullptr && link->address().address == it.second;
    return lost_workers_.contains(it.first) &&
           !(is_called && link->has_open_starts()) &&
           (is_called || !IsListed(it.first));
  });
  return roster;
}

bool PoolWorkers::IsListed(const WorkerId& worker) const {
  return std::any_of(listed_.begin(), listed_.end(),
                     [&](const auto& it) { return it.spec.id == worker; });
}

void PoolWorkers::EnsureLink(const WorkerAddress& worker,
                             Duration inherited_lease) {
  auto& link = links_[worker.id];
  if (link != nullptr && link->address() == worker) return;
  lost_workers_.erase(worker.id);
  const auto former = std::exchange(
      link,
      std::make_unique<WorkerLink>(
          calls_, timers_, worker, hooks_.newest_token(), LinkHooks(worker.id),
          WorkerLinkOptions{.task_lease = task_lease_,
                            .max_inherited_lease = inherited_lease}));
  if (former != nullptr) link->InheritOrders(*former);
  link->Start();
}

WorkerLink* PoolWorkers::FindLink(const WorkerId& worker) const {
  const auto it = links_.find(worker);
  return it == links_.end() ? nullptr : it->second.get();
}

void PoolWorkers::DropGoneLinks() {
  std::erase_if(links_, [&](const auto& it) {
    const auto& [id, link] = it;
    if (!link->is_lost() || listed_.empty() || IsListed(id)) return false;
    // The next incarnation of a process that is up would be listed.
    hooks_.dispatcher().ReleaseHeldTasks(id, timers_.Now());
    // As long as an order is open, the link calls that incarnation early.
    return !link->has_open_orders();
  });
}

bool PoolWorkers::IsEmpty(const WorkerId& worker) const {
  const WorkerLink* const link = FindLink(worker);
  return link == nullptr || link->is_lost() ||
         hooks_.dispatcher().IsEmpty(worker);
}

void PoolWorkers::ReportBlockedWorkers() {
  for (const auto& [id, link] : links_)
    if (!link->may_start()) hooks_.dispatcher().OnWorkerUnresponsive(id);
}

void PoolWorkers::LimitInheritedLeases(Duration longest) {
  for (auto& [id, link] : links_) link->LimitInheritedLease(longest);
}

void PoolWorkers::OnNewerToken() {
  for (auto& [id, link] : links_) link->OnNewerToken();
}

void PoolWorkers::OnEndsStored() {
  for (auto& [id, link] : links_) link->OnEndsStored();
}

WorkerLinkHooks PoolWorkers::LinkHooks(const WorkerId& id) {
  return {
      .on_report = [this, id](const WorkerReport& it) { OnReport(id, it); },
      .on_responsive =
          [this, id](const WorkerReport& report, const WorkerSilence& silence) {
            hooks_.event("worker-responds", FieldsOf(id, report, silence,
                                                     AgeMs(report.started_ms)));
          },
      .on_relisted =
          [this, id](std::int64_t started_ms) {
            hooks_.event("worker-relisted",
                         {{"worker", id.value()},
                          {"started_ms", std::to_string(started_ms)},
                          {"age_ms", std::to_string(AgeMs(started_ms))}});
            hooks_.dispatcher().OnWorkerUnresponsive(id);
          },
      .on_unresponsive =
          [this, id](std::error_code ec) {
            hooks_.event("worker-silent", {{"worker", id.value()},
                                           {"error", ec.message()},
                                           {"listed", YesOrNo(IsListed(id))}});
            hooks_.dispatcher().OnWorkerUnresponsive(id);
          },
      .on_lost = [this, id](WorkerLoss loss) { OnLost(id, loss); },
      .on_fenced = [this] { hooks_.on_fenced(); },
      .ack_limit = [this, id] { return hooks_.dispatcher().AckLimit(id); },
      .has_unstored_ends =
          [this, id] { return hooks_.dispatcher().HasUnstoredEnds(id); },
      .has_tasks = [this, id] { return hooks_.dispatcher().HasTasks(id); },
      .may_send_orders = [this] { return hooks_.may_send_orders(); },
      .newest_token = [this] { return hooks_.newest_token(); },
      .request_token = [this] { hooks_.request_token(); }};
}

void PoolWorkers::OnReport(const WorkerId& id, const WorkerReport& report) {
  is_roster_outdated_ |= lost_workers_.erase(id) != 0;
  lost_with_open_starts_.erase(id);
  const std::size_t ends = report.ended.size();
  if (backlogs_.Begins(id, ends)) {
    hooks_.event("worker-backlog",
                 {{"worker", id.value()}, {"ends", std::to_string(ends)}});
  }
  hooks_.dispatcher().OnReport(id, report, timers_.Now(), hooks_.wall_ms());
  if (!links_.at(id)->needs_token())
    hooks_.dispatcher().ReleaseHeldTasks(id, timers_.Now());
  hooks_.on_change();
}

void PoolWorkers::OnLost(const WorkerId& id, WorkerLoss loss) {
  hooks_.event("worker-lost", {{"worker", id.value()},
                               {"reason", ToText(loss)},
                               {"listed", YesOrNo(IsListed(id))}});
  lost_workers_.insert(id);
  if (links_.at(id)->has_open_starts()) lost_with_open_starts_.insert(id);
  is_roster_outdated_ = true;
  hooks_.dispatcher().OnWorkerGone(id, loss, timers_.Now(), hooks_.wall_ms());
  hooks_.on_change();
}

std::int64_t PoolWorkers::AgeMs(std::int64_t started_ms) const {
  return hooks_.wall_ms() - started_ms;
}

}  // namespace pomelomill
