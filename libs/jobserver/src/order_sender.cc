#include "order_sender.h"

#include <utility>

namespace pomelomill {

class OrderSender::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(const WorkerCalls& calls, TimerService& timers, OrderSenderHooks hooks)
      : orders_(calls, timers), hooks_(std::move(hooks)) {}

  void Halt() {
    is_halted_ = true;
    hooks_ = {};
  }

  void Send(const StartOrder& order) {
    WorkerLink* const link = hooks_.find_link(order.worker);
    // Asked again, since the decision may have outlasted the lease.
    const auto deadline =
        link == nullptr || !link->may_start() || !hooks_.may_start_tasks()
            ? std::nullopt
            : link->order_deadline_ms();
    if (!deadline) {
      hooks_.on_start_settled(order, true);
      return hooks_.on_start_result(order, StartOutcome::kNotSent, 0);
    }
    const StartRequest request{.key = order.key,
                               .run = order.run,
                               .payload = {order.spec, &order.spec->payload},
                               .saved = order.checkpoint,
                               .token = link->token(),
                               .deadline_ms = *deadline};
    orders_.Start(
        link->address(), request, RightToRepeat(order.worker, request.token),
        [weak = weak_from_this(), order,
         token = request.token](const StartResponse& response) {
          if (const auto self = Alive(weak))
            self->OnStartResponse(order, token, response);
        },
        [weak = weak_from_this(), order,
         on_settled = link->TrackStart(*deadline)](bool is_answered) {
          on_settled(is_answered);
          if (const auto self = Alive(weak))
            self->hooks_.on_start_settled(order, is_answered);
        });
  }

  void Send(const StopOrder& order) {
    WorkerLink* const link = hooks_.find_link(order.worker);
    if (link == nullptr || link->is_lost()) return;
    const FencingToken token = link->token();
    orders_.Stop(link->address(), order.key, order.run, token,
                 Right(&OrderSenderHooks::may_send_orders),
                 [weak = weak_from_this(), order,
                  token](const Result<std::int64_t>& result) {
                   if (const auto self = Alive(weak))
                     self->OnStopResponse(order, token, result);
                 });
  }

 private:
  static std::shared_ptr<Impl> Alive(const std::weak_ptr<Impl>& weak) {
    auto self = weak.lock();
    return self == nullptr || self->is_halted_ ? nullptr : self;
  }

  /// Checks the right at the time at which an order is sent again.
  std::function<bool()> Right(std::function<bool()> OrderSenderHooks::*right) {
    return [weak = weak_from_this(), right] {
      const auto self = Alive(weak);
      return self != nullptr && (self->hooks_.*right)();
    };
  }

  /// As Right(), for a start: a copy with the former token would be carried out
  /// by a next incarnation that has not seen the newer one.
  std::function<bool()> RightToRepeat(const WorkerId& worker,
                                      FencingToken token) {
    return [weak = weak_from_this(), worker, token] {
      const auto self = Alive(weak);
      if (self == nullptr || !self->hooks_.may_start_tasks()) return false;
      const WorkerLink* const link = self->hooks_.find_link(worker);
      return link != nullptr && link->may_repeat_start(token);
    };
  }

  /// Whether this owner has raised its token on the worker since the order was
  /// sent, so that a refusal does not show a later owner.
  bool HasRaisedToken(const WorkerId& worker, FencingToken sent) const {
    const WorkerLink* const link = hooks_.find_link(worker);
    return link == nullptr || link->token() != sent;
  }

  void OnStartResponse(const StartOrder& order, FencingToken token,
                       const StartResponse& response) {
    if (response.outcome != StartOutcome::kFenced)
      return hooks_.on_start_result(order, response.outcome, response.clock_ms);
    if (!HasRaisedToken(order.worker, token)) return hooks_.on_fenced();
    // An earlier copy may have been carried out.
    hooks_.on_start_result(order, StartOutcome::kUnknown, 0);
  }

  void OnStopResponse(const StopOrder& order, FencingToken token,
                      const Result<std::int64_t>& result) {
    if (!result && result.error() == WorkerError::kFenced &&
        !HasRaisedToken(order.worker, token))
      return hooks_.on_fenced();
    hooks_.on_stop_result(order,
                          result ? std::optional(*result) : std::nullopt);
  }

  OrderRepeater orders_;
  OrderSenderHooks hooks_;
  bool is_halted_ = false;
};

OrderSender::OrderSender(const WorkerCalls& calls, TimerService& timers,
                         OrderSenderHooks hooks)
    : impl_(std::make_shared<Impl>(calls, timers, std::move(hooks))) {}

OrderSender::~OrderSender() { impl_->Halt(); }

void OrderSender::Send(const StartOrder& order) { impl_->Send(order); }
void OrderSender::Send(const StopOrder& order) { impl_->Send(order); }

}  // namespace pomelomill
