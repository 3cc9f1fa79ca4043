#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "pomelomill/base/event_log.h"
#include "pomelomill/base/timer_service.h"
#include "pomelomill/dispatch/dispatcher.h"
#include "pomelomill/jobserver/platform_hooks.h"
#include "pomelomill/jobserver/worker_link.h"
#include "worker_backlogs.h"

namespace pomelomill {

struct PoolWorkersHooks {
  /// Called only after a link was created.
  std::function<Dispatcher&()> dispatcher;
  std::function<void(std::string_view event, std::vector<EventField>)> event;
  /// A worker has reported or is lost: the next plan may differ.
  std::function<void()> on_change;
  /// A worker has seen the token of a later owner.
  std::function<void()> on_fenced;
  /// See WorkerLinkHooks.
  std::function<bool()> may_send_orders;
  std::function<FencingToken()> newest_token;
  std::function<void()> request_token;
  /// Unix time in milliseconds.
  std::function<std::int64_t()> wall_ms;
};

/// The workers of one pool as its owner knows them: the platform's list, a link
/// to each worker, and the workers on which nothing runs any more. Passes what
/// the links report to the dispatcher.
class PoolWorkers {
 public:
  PoolWorkers(const WorkerCalls& calls, TimerService& timers,
              Duration task_lease, PoolWorkersHooks hooks);
  PoolWorkers(const PoolWorkers&) = delete;
  PoolWorkers& operator=(const PoolWorkers&) = delete;

  /// Ends all links; no hook is called afterwards.
  void Halt();

  void SetListed(const std::vector<ListedWorker>& workers) {
    listed_ = workers;
  }
  const std::vector<ListedWorker>& listed() const { return listed_; }
  /// Whether a worker has reported again or was lost since the last call, or
  /// its last open start has expired, so that the roster may differ.
  bool TakeRosterChange();
  /// Returns the workers that the roster must have, with their addresses:
  /// those of `roster` and those listed, without those on which nothing runs
  /// any more. A lost worker whose next incarnation may carry out a start
  /// stays: the next owner must call it before it starts the task elsewhere.
  std::map<WorkerId, std::string> WantedRoster(
      std::map<WorkerId, std::string> roster) const;

  /// Opens a link to the worker unless there is one to this address. Earlier
  /// owners extended its lease by at most `inherited_lease` from now.
  void EnsureLink(const WorkerAddress& worker, Duration inherited_lease);
  /// Null when there is none.
  WorkerLink* FindLink(const WorkerId& worker) const;
  /// Ends the links to lost workers that the platform no longer lists.
  void DropGoneLinks();
  /// Whether the worker has no link, is lost, or has reported and runs no task.
  bool IsEmpty(const WorkerId& worker) const;

  /// Tells the dispatcher which workers must get no start now.
  void ReportBlockedWorkers();
  /// See WorkerLink.
  void LimitInheritedLeases(Duration longest);
  void OnNewerToken();
  void OnEndsStored();

 private:
  bool IsListed(const WorkerId& worker) const;
  WorkerLinkHooks LinkHooks(const WorkerId& worker);
  void OnReport(const WorkerId& worker, const WorkerReport& report);
  void OnLost(const WorkerId& worker, WorkerLoss loss);
  /// Age of an incarnation of a worker by this process's clock, which may
  /// differ from the worker's.
  std::int64_t AgeMs(std::int64_t started_ms) const;

  const WorkerCalls& calls_;
  TimerService& timers_;
  const Duration task_lease_;
  PoolWorkersHooks hooks_;
  std::map<WorkerId, std::unique_ptr<WorkerLink>> links_;
  std::vector<ListedWorker> listed_;
  /// Workers on which nothing runs any more, see WorkerLinkHooks::on_lost.
  std::set<WorkerId> lost_workers_;
  /// Those of them that had an open start when they were lost.
  std::set<WorkerId> lost_with_open_starts_;
  WorkerBacklogs backlogs_;
  bool is_roster_outdated_ = false;
};

}  // namespace pomelomill
