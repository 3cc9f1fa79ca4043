#include "order_repeater.h"

#include <memory>
#include <optional>
#include <utility>

namespace pomelomill {
namespace {

/// A start and its copies.
struct PendingStart {
  WorkerAddress worker;
  StartRequest request;
  std::function<void(StartResponse)> on_result;
  std::function<void(bool)> on_settled;
  std::size_t in_transit = 0;
  bool has_unanswered = false;
  /// The latest answer that is not kStarted.
  StartResponse refusal;

  bool has_ended() const { return !on_result; }

  void OnAnswer(const StartResponse& response) {
    --in_transit;
    if (response.outcome == StartOutcome::kUnknown) {
      has_unanswered = true;
    } else {
      refusal = response;
    }
    if (response.outcome == StartOutcome::kStarted ||
        response.outcome == StartOutcome::kFenced) {
      if (const auto done = std::exchange(on_result, {})) done(response);
    }
    if (in_transit != 0) return;
    // A copy that was not answered may still start the run.
    if (const auto done = std::exchange(on_result, {}))
      done(has_unanswered ? StartResponse{} : refusal);
    on_settled(!has_unanswered);
  }
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
  auto pending = std::make_shared<PendingStart>();
  pending->worker = worker;
  pending->request = request;
  pending->on_result = std::move(on_result);
  pending->on_settled = std::move(on_settled);
  const auto send = [&calls = calls_, &timers = timers_, delay = delay_,
                     pending] {
    ++pending->in_transit;
    calls.start(pending->worker, pending->request,
                [&timers, delay, pending,
                 sent_at = timers.Now()](const StartResponse& response) {
                  if (response.outcome != StartOutcome::kUnknown)
                    delay->OnAnswer(timers.Now() - sent_at);
                  pending->OnAnswer(response);
                });
  };
  send();
  // An order that was answered, even by a refusal, is not repeated.
  Repeat(send, [pending, may_send = std::move(may_send)] {
    return !pending->has_ended() && pending->in_transit != 0 &&
           pending->refusal.outcome == StartOutcome::kUnknown && may_send();
  });
}

void OrderRepeater::Stop(const WorkerAddress& worker, const TaskKey& key,
                         std::uint32_t run, FencingToken token,
                         std::function<bool()> may_send,
                         std::function<void(Result<std::int64_t>)> on_result) {
  struct PendingStop {
    std::function<void(Result<std::int64_t>)> on_result;
    std::size_t in_transit = 0;
  };
  auto pending = std::make_shared<PendingStop>();
  pending->on_result = std::move(on_result);
  const auto send = [&calls = calls_, pending, worker, key, run, token] {
    ++pending->in_transit;
    calls.stop(worker, key, run, token,
               [pending](const Result<std::int64_t>& result) {
                 --pending->in_transit;
                 const bool is_last = pending->in_transit == 0;
                 const bool is_answer =
                     result || result.error() != WorkerError::kNoResponse;
                 if (!is_answer && !is_last) return;
                 if (const auto done = std::exchange(pending->on_result, {}))
                   done(result);
               });
  };
  send();
  Repeat(send, [pending, may_send = std::move(may_send)] {
    return pending->on_result && may_send();
  });
}

}  // namespace pomelomill
