#include "order_repeater.h"

#include <memory>
#include <optional>
#include <utility>

namespace pomelomill {
namespace {

/// A start and its copies.
class PendingStart : public std::enable_shared_from_this<PendingStart> {
 public:
  PendingStart(const WorkerCalls& calls, TimerService& timers,
               std::shared_ptr<AnswerTimeout> delay, WorkerAddress worker,
               StartRequest request, std::function<bool()> may_send,
               std::function<void(StartResponse)> on_result,
               std::function<void(bool)> on_settled)
      : calls_(calls),
        timers_(timers),
        delay_(std::move(delay)),
        worker_(std::move(worker)),
        request_(std::move(request)),
        may_send_(std::move(may_send)),
        on_result_(std::move(on_result)),
        on_settled_(std::move(on_settled)) {}

  void Send() {
    ++in_transit_;
    calls_.start(worker_, request_,
                 [self = shared_from_this(),
                  sent_at = timers_.Now()](const StartResponse& response) {
                   self->OnResponse(response, sent_at);
                 });
  }

  /// An order that was answered, even by a refusal, is not repeated.
  bool may_repeat() const {
    return on_result_ && in_transit_ != 0 &&
           refusal_.outcome == StartOutcome::kUnknown && may_send_();
  }

 private:
  void OnResponse(const StartResponse& response, Instant sent_at) {
    if (response.outcome == StartOutcome::kUnknown) {
      has_unanswered_ = true;
    } else {
      delay_->OnAnswer(timers_.Now() - sent_at);
      refusal_ = response;
    }
    if (response.has_connection_ended && !has_reconnected_ && may_repeat()) {
      has_reconnected_ = true;
      Send();
    }
    --in_transit_;
    if (response.outcome == StartOutcome::kStarted ||
        response.outcome == StartOutcome::kFenced) {
      if (const auto done = std::exchange(on_result_, {})) done(response);
    }
    if (in_transit_ != 0) return;
    // A copy that was not answered may still start the run.
    if (const auto done = std::exchange(on_result_, {}))
      done(has_unanswered_ ? StartResponse{} : refusal_);
    on_settled_(!has_unanswered_);
  }

  const WorkerCalls& calls_;
  TimerService& timers_;
  const std::shared_ptr<AnswerTimeout> delay_;
  const WorkerAddress worker_;
  const StartRequest request_;
  const std::function<bool()> may_send_;
  std::function<void(StartResponse)> on_result_;
  const std::function<void(bool)> on_settled_;
  std::size_t in_transit_ = 0;
  bool has_unanswered_ = false;
  /// A copy was sent at once because the connection of another had ended.
  bool has_reconnected_ = false;
  /// The latest answer that is not kStarted.
  StartResponse refusal_;
};

/// A stop and its copies.
class PendingStop : public std::enable_shared_from_this<PendingStop> {
 public:
  PendingStop(const WorkerCalls& calls, WorkerAddress worker, TaskKey key,
              std::uint32_t run, FencingToken token,
              std::function<bool()> may_send,
              std::function<void(Result<std::int64_t>)> on_result)
      : calls_(calls),
        worker_(std::move(worker)),
        key_(std::move(key)),
        run_(run),
        token_(token),
        may_send_(std::move(may_send)),
        on_result_(std::move(on_result)) {}

  void Send() {
    ++in_transit_;
    calls_.stop(
        worker_, key_, run_, token_,
        [self = shared_from_this()](const Result<std::int64_t>& result) {
          self->OnResult(result);
        });
  }

  bool may_repeat() const { return on_result_ && may_send_(); }

 private:
  void OnResult(const Result<std::int64_t>& result) {
    const bool is_answer = result || !IsOutcomeUnknown(result.error());
    if (!is_answer && result.error() == WorkerError::kConnectionEnded &&
        !has_reconnected_ && may_repeat()) {
      has_reconnected_ = true;
      Send();
    }
    --in_transit_;
    if (!is_answer && in_transit_ != 0) return;
    if (const auto done = std::exchange(on_result_, {})) done(result);
  }

  const WorkerCalls& calls_;
  const WorkerAddress worker_;
  const TaskKey key_;
  const std::uint32_t run_;
  const FencingToken token_;
  const std::function<bool()> may_send_;
  std::function<void(Result<std::int64_t>)> on_result_;
  std::size_t in_transit_ = 0;
  /// A copy was sent at once because the connection of another had ended.
  bool has_reconnected_ = false;
};

}  // namespace

OrderRepeater::OrderRepeater(const WorkerCalls& calls, TimerService& timers,
                             OrderRepeaterOptions options)
    : calls_(calls),
      timers_(timers),
      options_(std::move(options)),
      delay_(std::make_shared<AnswerTimeout>(options_.shortest_delay,
                                             options_.longest_delay)) {}

void OrderRepeater::Repeat(const std::function<void()>& send,
                           const std::function<bool()>& may_repeat) {
  for (const int it : options_.repeat_at) {
    const Duration delay = it * delay_->current();
    if (delay >= options_.longest_delay) return;
    timers_.ScheduleAfter(delay, [send, may_repeat] {
      if (may_repeat()) send();
    });
  }
}

void OrderRepeater::Start(const WorkerAddress& worker,
                          const StartRequest& request,
                          std::function<bool()> may_send,
                          std::function<void(StartResponse)> on_result,
                          std::function<void(bool)> on_settled) {
  const auto pending = std::make_shared<PendingStart>(
      calls_, timers_, delay_, worker, request, std::move(may_send),
      std::move(on_result), std::move(on_settled));
  pending->Send();
  Repeat([pending] { pending->Send(); },
         [pending] { return pending->may_repeat(); });
}

void OrderRepeater::Stop(const WorkerAddress& worker, const TaskKey& key,
                         std::uint32_t run, FencingToken token,
                         std::function<bool()> may_send,
                         std::function<void(Result<std::int64_t>)> on_result) {
  const auto pending =
      std::make_shared<PendingStop>(calls_, worker, key, run, token,
                                    std::move(may_send), std::move(on_result));
  pending->Send();
  Repeat([pending] { pending->Send(); },
         [pending] { return pending->may_repeat(); });
}

}  // namespace pomelomill
