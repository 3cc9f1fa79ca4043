#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "pomelomill/base/timer_service.h"
#include "pomelomill/jobserver/worker_calls.h"
#include "pomelomill/store/answer_timeout.h"

namespace pomelomill {

struct OrderRepeaterOptions {
  /// Bounds of the time after which an order without an answer is sent again;
  /// it follows the time that answers take. A healthy worker on an idle link
  /// answers within a few milliseconds. No order is repeated once its first
  /// copy has timed out, after 0.8 s.
  Duration shortest_delay = std::chrono::milliseconds(100);
  Duration longest_delay = std::chrono::milliseconds(800);
  /// Multiples of that time at which an order is sent again.
  std::vector<int> repeat_at = {1, 2, 4};
};

/// Sends orders to workers, and sends those that get no answer again: workers
/// carry out a start of a run, and a stop, once, however often they are asked.
///
/// Answers the load pattern of workers or networks that lose a part of the
/// answers or carry orders out seconds late: without a repeat, each task whose
/// start is lost waits for the call's timeout, a stop, and the report that the
/// run is not there. On an overloaded link all answers are late, and nothing is
/// repeated. An order whose connection ends is sent again once, at once.
class OrderRepeater {
 public:
  OrderRepeater(const WorkerCalls& calls, TimerService& timers,
                OrderRepeaterOptions options = {});

  /// Sends a start. `may_send` is asked before each repeat. `on_result` runs
  /// once, with the first answer that says that the run was started, otherwise
  /// when no copy is left in transit: kUnknown if any of them got no answer.
  /// `on_settled` runs once, when all copies have ended, with whether each was
  /// answered.
  void Start(const WorkerAddress& worker, const StartRequest& request,
             std::function<bool()> may_send,
             std::function<void(StartResponse)> on_result,
             std::function<void(bool is_settled)> on_settled);

  /// Sends a stop in the same way; the first answer ends it.
  void Stop(const WorkerAddress& worker, const TaskKey& key, std::uint32_t run,
            FencingToken token, std::function<bool()> may_send,
            std::function<void(Result<std::int64_t>)> on_result);

 private:
  /// Runs `send` at each of the repeat times for as long as `may_repeat` holds.
  void Repeat(const std::function<void()>& send,
              const std::function<bool()>& may_repeat);

  const WorkerCalls& calls_;
  TimerService& timers_;
  const OrderRepeaterOptions options_;
  /// Shared with the callbacks of calls that outlive this object.
  std::shared_ptr<AnswerTimeout> delay_;
};

}  // namespace pomelomill
