#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "pomelomill/base/timer_service.h"
#include "pomelomill/jobserver/worker_calls.h"

namespace pomelomill {

struct WorkerLinkOptions {
  /// Length of the lease of the worker's tasks.
  Duration task_lease = std::chrono::seconds(6);
  /// Longest wait of one call for an end. A silent worker is noticed after
  /// this time and the time of a call.
  Duration long_poll_wait = std::chrono::milliseconds(600);
  /// Pause after a failed call, and while ends wait for the store.
  Duration retry_delay = std::chrono::milliseconds(100);
  Duration unstored_ends_delay = std::chrono::milliseconds(100);
  /// An outcome that is handled this long after the wait of its call was over
  /// says more about this process than about the worker.
  Duration max_handling_delay = std::chrono::milliseconds(1200);
  /// Ends are acknowledged this long after the worker certainly lived: a
  /// process cannot have ended, started and run a task again within this time.
  /// Later only if the worker has had nothing to run in a next life.
  Duration same_incarnation_window = std::chrono::milliseconds(300);
  /// An order without an answer, of this owner or an earlier one, may be
  /// carried out for this long.
  Duration unanswered_order_lifetime = std::chrono::seconds(10);
  /// Ends that wait this long for their acknowledgement hold back starts.
  Duration max_ack_delay = std::chrono::seconds(3);
  /// Pause between calls to a worker that is lost, which may come back.
  Duration lost_retry_delay = std::chrono::milliseconds(700);
  /// Relative error of the worker's clock: the platform allows 2%.
  double max_clock_drift = 0.025;
  /// Refused connections in a row that prove that the process has ended.
  std::uint32_t refusals_until_lost = 3;
  /// Without any answer under this token, an earlier owner may have extended
  /// the worker's lease up to this long after the link was made.
  Duration max_inherited_lease = std::chrono::seconds(21);
};

struct WorkerLinkHooks {
  std::function<void(const WorkerReport&)> on_report;
  /// A call failed after one that succeeded.
  std::function<void(std::error_code)> on_unresponsive;
  /// Nothing of earlier orders runs there or can start any more.
  std::function<void(const char* reason)> on_lost;
  /// A higher fencing token was seen there: this owner has been replaced.
  std::function<void()> on_fenced;
  std::function<std::uint64_t()> ack_limit;
  std::function<bool()> has_unstored_ends;
  /// False when the owner may no longer extend leases or send orders.
  std::function<bool()> may_send_orders;
};

/// One worker as its owner talks to it: renews the lease, waits for ends and
/// knows when the lease has certainly lapsed.
class WorkerLink {
 public:
  WorkerLink(const WorkerCalls& calls, TimerService& timers,
             WorkerAddress address, FencingToken token, WorkerLinkHooks hooks,
             const WorkerLinkOptions& options = {});
  ~WorkerLink();
  WorkerLink(const WorkerLink&) = delete;
  WorkerLink& operator=(const WorkerLink&) = delete;

  void Start();
  /// Ends are stored: a call that pauses for them goes on.
  void OnEndsStored();

  const WorkerAddress& address() const;
  /// The deadline to send with an order; nothing while the clock is unknown.
  std::optional<std::int64_t> order_deadline_ms() const;
  /// A start with that deadline is sent. Returns what to call when its outcome
  /// is known, with false when the order may still be carried out.
  std::function<void(bool is_outcome_known)> TrackStart(
      std::int64_t deadline_ms);
  /// False while starts would be lost or would keep ends from being
  /// acknowledged; none may be sent then.
  bool may_start() const;
  bool is_lost() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace pomelomill
