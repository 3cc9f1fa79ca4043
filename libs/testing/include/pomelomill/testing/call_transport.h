#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <system_error>
#include <utility>
#include <vector>

#include "pomelomill/base/result.h"
#include "pomelomill/testing/fake_process.h"
#include "pomelomill/testing/fault_injector.h"

namespace pomelomill::testing {

/// Carries calls of processes to one fake service and the responses back,
/// and applies faults on messages. Every call is one step of the injector.
class CallTransport {
 public:
  /// `injector` may be null.
  CallTransport(VirtualTimerService& world, FaultInjector* injector)
      : world_(world), injector_(injector) {}

  /// One way.
  Duration latency = std::chrono::milliseconds(1);
  /// Added to a late message; longer than the timeouts of the cores.
  Duration late = std::chrono::seconds(6);
  /// A duplicate request arrives this much after the original.
  Duration duplicate_after = std::chrono::milliseconds(700);
  /// A reordered request waits for the next one of its process, at most this
  /// long.
  Duration reorder_limit = std::chrono::seconds(1);
  /// True while no message passes from, or to, this process.
  std::function<bool(const FakeProcess&)> drops_request;
  std::function<bool(const FakeProcess&)> drops_response;

  /// Calls `serve(fault, respond)` at the service for every arrival of the
  /// request, and `callback` once in the process: with the first response, or
  /// with `timeout_error`. Calls of a crashed process go nowhere.
  template <typename T>
  void Carry(FakeProcess& process, const std::string& step, Duration timeout,
             std::error_code timeout_error,
             std::function<void(Fault, std::function<void(Result<T>)>)> serve,
             std::function<void(Result<T>)> callback) {
    if (!process.is_running()) return;
    const std::uint64_t run = process.run();
    const Fault fault =
        injector_ ? injector_->Before(step, process) : Fault::kNone;
    if (!process.is_running()) return;

    struct Call {
      bool is_done = false;
      TimerId timer = 0;
      std::function<void(Result<T>)> callback;
    };
    auto call = std::make_shared<Call>();
    call->callback = std::move(callback);
    auto complete = [call, &process](Result<T> result) {
      if (call->is_done) return;
      call->is_done = true;
      process.Cancel(call->timer);
      auto done = std::move(call->callback);
      done(std::move(result));
    };
    call->timer =
        process.ScheduleAfter(timeout, [complete, timeout_error]() mutable {
          complete(Unexpected(timeout_error));
        });
    auto respond = [this, complete, fault, run, &process](Result<T> result) {
      if (fault == Fault::kLoseResponse) return;
      if (drops_response && drops_response(process)) return;
      const Duration delay =
          latency + (fault == Fault::kLateResponse ? late : Duration(0));
      world_.ScheduleAfter(delay, [complete, result, run, &process] {
        process.RunInside(
            run, [complete, result]() mutable { complete(std::move(result)); });
      });
    };
    auto arrive = [serve = std::move(serve), fault, respond] {
      serve(fault, respond);
    };
    // A process that was paused at this step sends when it wakes.
    process.RunInside(
        run, [this, fault, arrive, &process] { Send(process, fault, arrive); });
    if (injector_) injector_->After(fault, process);
  }

 private:
  void Send(FakeProcess& process, Fault fault,
            const std::function<void()>& arrive);
  void Arrive(const std::string& process, const std::function<void()>& arrive);

  VirtualTimerService& world_;
  FaultInjector* injector_;
  std::map<std::string, std::vector<std::function<void()>>> held_;
};

}  // namespace pomelomill::testing
