#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "order_repeater.h"
#include "pomelomill/base/timer_service.h"
#include "pomelomill/dispatch/dispatcher.h"
#include "pomelomill/jobserver/worker_calls.h"
#include "pomelomill/jobserver/worker_link.h"

namespace pomelomill {

struct OrderSenderHooks {
  /// The link to the worker; null when there is none.
  std::function<WorkerLink*(const WorkerId&)> find_link;
  /// Asked when an order is sent and before each repeat.
  std::function<bool()> may_start_tasks;
  std::function<bool()> may_send_orders;
  /// `clock_ms` is the worker's clock, see Dispatcher::OnStartResult().
  std::function<void(const StartOrder&, StartOutcome, std::int64_t clock_ms)>
      on_start_result;
  /// No copy of the start is in transit any more, see
  /// Dispatcher::OnStartSettled().
  std::function<void(const StartOrder&, bool is_answered)> on_start_settled;
  /// See Dispatcher::OnStopResult().
  std::function<void(const StopOrder&, std::optional<std::int64_t> clock_ms)>
      on_stop_result;
  /// The worker has seen the token of a later owner.
  std::function<void()> on_fenced;
};

/// Sends the orders of an owner's plans with the token and the lease deadline
/// of the worker's link, and passes their results on.
class OrderSender {
 public:
  OrderSender(const WorkerCalls& calls, TimerService& timers,
              OrderSenderHooks hooks);
  ~OrderSender();
  OrderSender(const OrderSender&) = delete;
  OrderSender& operator=(const OrderSender&) = delete;

  /// The result is kNotSent when the order may not be sent now.
  void Send(const StartOrder& order);
  /// Has no effect, and no result, when the worker has no link or is lost.
  void Send(const StopOrder& order);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace pomelomill
