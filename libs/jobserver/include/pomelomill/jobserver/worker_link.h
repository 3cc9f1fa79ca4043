#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "pomelomill/base/late_calls.h"
#include "pomelomill/base/timer_service.h"
#include "pomelomill/jobserver/worker_calls.h"

namespace pomelomill {

struct WorkerLinkOptions {
  /// Length of the lease of the worker's tasks.
  Duration task_lease = std::chrono::seconds(6);
  /// Longest lease that a worker grants; a later deadline is cut down to it.
  Duration longest_lease = std::chrono::seconds(10);
  /// Longest time for which the worker may hold a renewal until a task ends. A
  /// worker that stops responding is detected after this time plus the timeout
  /// of a call.
  Duration long_poll_wait = std::chrono::milliseconds(600);
  /// As long_poll_wait, for a worker on which no task is placed and to which no
  /// start of this link is open: nothing there can fail, and idle workers are
  /// most of a fleet between load peaks.
  Duration idle_long_poll_wait = std::chrono::milliseconds(1800);
  /// Delay before the next renewal after a failed one, or while a higher token
  /// is requested.
  Duration retry_delay = std::chrono::milliseconds(100);
  /// Delay before the next renewal while ended tasks are not stored yet.
  Duration unstored_ends_delay = std::chrono::milliseconds(100);
  /// A result is stale when it is handled more than this after the end of the
  /// call's max_wait: this process was delayed, so the result may no longer
  /// describe the worker.
  Duration max_handling_delay = std::chrono::milliseconds(1200);
  /// Ended tasks may be acknowledged for this long after the last time at which
  /// the worker's incarnation was certainly alive: within this time no process
  /// can end, be started again and run a task. Later they are acknowledged only
  /// if a next incarnation cannot have been given a task.
  Duration same_incarnation_window = std::chrono::milliseconds(300);
  /// An order without a response, from this owner or an earlier one, may still
  /// be carried out for this long.
  Duration unanswered_order_lifetime = kLateCallLifetime;
  /// When ended tasks have waited longer than this for their acknowledgement,
  /// no tasks are started, provided that the worker responds and that no order
  /// without a response can still be carried out.
  Duration max_ack_delay = std::chrono::seconds(3);
  /// Delay between renewals sent to a lost worker, which may come back. As long
  /// as an order to it can still be carried out, `retry_delay` applies: the
  /// sooner the next incarnation is called, the sooner it refuses such orders.
  Duration lost_retry_delay = std::chrono::milliseconds(700);
  /// Largest relative error of the worker's clock for which the link allows.
  /// More than the 2% that the platform permits.
  double max_clock_drift = 0.025;
  /// Consecutive refused connections that prove that the process has ended,
  /// if its machine closed a connection before (WorkerError::kProcessEnded).
  std::uint32_t refusals_until_lost = 3;
  /// An earlier owner may have extended the worker's lease up to this long
  /// after the link was created. Applies until the worker has responded to a
  /// call with this owner's token.
  Duration max_inherited_lease = std::chrono::seconds(21);
};

/// A time in which a worker did not respond to renewals.
struct WorkerSilence {
  /// From the first renewal that failed to the response; 0 when none failed.
  Duration lasted{};
  /// Time after which that renewal was known to have failed.
  Duration first_wait{};
  /// Renewals that failed, and those of them that timed out.
  std::uint32_t failures = 0;
  std::uint32_t timeouts = 0;
  bool is_new_incarnation = false;
};

struct WorkerLinkHooks {
  std::function<void(const WorkerReport&)> on_report;
  /// The worker responds again after a failed renewal, or for the first time in
  /// another incarnation. Called before on_report; optional.
  std::function<void(const WorkerReport&, const WorkerSilence&)> on_responsive;
  /// The platform's list names another start time than before, in milliseconds
  /// of Unix time, and the worker has not responded in that incarnation. The
  /// link calls it next and starts nothing there meanwhile. Optional.
  std::function<void(std::int64_t started_ms)> on_relisted;
  /// The worker has become unresponsive: a renewal failed, and it was the first
  /// one or the worker has responded since the last failure. Not called for
  /// WorkerError::kFenced, nor for calls that could not be sent
  /// (WorkerError::kNotSent) while the lease has not expired.
  std::function<void(std::error_code)> on_unresponsive;
  /// No task runs on the worker any more. Called once until the worker responds
  /// again, and once more when another worker responds at its address.
  std::function<void(WorkerLoss)> on_lost;
  /// The worker has seen a higher fencing token: this owner has been replaced.
  std::function<void()> on_fenced;
  /// Highest number of the worker's ended tasks that may be acknowledged.
  std::function<std::uint64_t()> ack_limit;
  /// Whether ended tasks of the worker wait for their progress to be stored.
  std::function<bool()> has_unstored_ends;
  /// Whether tasks are placed on the worker.
  std::function<bool()> has_tasks;
  /// False when the owner may no longer extend leases or send orders.
  std::function<bool()> may_send_orders;
  /// The highest token that this owner may use: its own, or a higher one that
  /// no other owner will ever have.
  std::function<FencingToken()> newest_token;
  /// Requests that newest_token() returns a higher one soon.
  std::function<void()> request_token;
};

/// The owner's connection to one worker: renews the lease of the worker's tasks
/// by long polling, acknowledges ended tasks, and determines when the lease has
/// certainly expired.
///
/// A worker that starts again under its id has seen no token and may carry out
/// orders that were sent to its former incarnation. After a call without a
/// response the link therefore raises its token, and it starts no tasks on
/// another incarnation before that one has responded to a higher token than
/// all earlier calls had.
class WorkerLink {
 public:
  WorkerLink(const WorkerCalls& calls, TimerService& timers,
             WorkerAddress address, FencingToken token, WorkerLinkHooks hooks,
             const WorkerLinkOptions& options = {});
  ~WorkerLink();
  WorkerLink(const WorkerLink&) = delete;
  WorkerLink& operator=(const WorkerLink&) = delete;

  void Start();
  /// Ended tasks have been stored: a renewal that was delayed until then is
  /// sent now.
  void OnEndsStored();
  /// Earlier owners extended the worker's lease by at most `longest` from now.
  /// Replaces WorkerLinkOptions::max_inherited_lease if it is a tighter bound.
  void LimitInheritedLease(Duration longest);
  /// The platform's list names an incarnation of the worker that started at
  /// `started_ms`, in milliseconds of Unix time; 0 when the time is unknown.
  /// The list may lag or be wrong, so that another incarnation than the known
  /// one is only called, at once and on a new connection.
  void OnListed(std::int64_t started_ms);
  /// WorkerLinkHooks::newest_token() has become higher.
  void OnNewerToken();
  /// Calls that `former` made on the worker, at another address, may still be
  /// carried out. To be called before Start().
  void InheritOrders(const WorkerLink& former);

  const WorkerAddress& address() const;
  /// Fencing token for orders to the worker.
  FencingToken token() const;
  /// Whether the present incarnation may still carry out orders to a former
  /// one, because it has not responded to a higher token.
  bool needs_token() const;
  /// Whether a start, of this owner or an earlier one, may still be carried
  /// out.
  bool has_open_orders() const;
  /// As has_open_orders(), for starts of this link alone.
  bool has_open_starts() const;
  /// Lease deadline to send with a start order, in milliseconds of the worker's
  /// clock; empty while that clock is unknown.
  std::optional<std::int64_t> order_deadline_ms() const;
  /// Records that a start order with that deadline is being sent. The returned
  /// function must be called when the order's outcome arrives, with false when
  /// the order may still be carried out.
  std::function<void(bool is_outcome_known)> TrackStart(
      std::int64_t deadline_ms);
  /// Whether start orders may be sent to the worker. False while the worker is
  /// lost or its state is uncertain, and while further starts would keep ended
  /// tasks from being acknowledged.
  bool may_start() const;
  /// Whether a start that was sent with the token may be sent again: the
  /// incarnation that was asked has not failed to respond since.
  bool may_repeat_start(FencingToken token) const;
  /// Whether nothing runs on the worker, see WorkerLinkHooks::on_lost.
  bool is_lost() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace pomelomill
