#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include "pomelomill/base/virtual_timer_service.h"
#include "pomelomill/jobserver/worker_link.h"

namespace pomelomill {

/// A link whose renewals are answered by the test.
class LinkFixture {
 public:
  /// `former` is a link to the worker at another address, or null.
  explicit LinkFixture(const WorkerLink* former = nullptr) {
    calls_.renew = [this](const WorkerAddress&, const RenewRequest& call,
                          std::function<void(Result<WorkerReport>)> done) {
      sent.push_back(call);
      former_done_ = std::exchange(done_, std::move(done));
    };
    WorkerLinkHooks hooks;
    hooks.on_report = [this](const WorkerReport& it) {
      reported_starts.push_back(it.started_ms);
    };
    hooks.on_unresponsive = [this](std::error_code) { ++unresponsive_count; };
    hooks.on_lost = [this](WorkerLoss) { ++lost_count; };
    hooks.on_fenced = [] {};
    hooks.ack_limit = [this] { return ack_limit; };
    hooks.has_unstored_ends = [this] { return has_unstored_ends; };
    hooks.has_tasks = [this] { return has_tasks; };
    hooks.may_send_orders = [] { return true; };
    hooks.newest_token = [this] { return newest_token; };
    hooks.request_token = [this] { ++token_requests; };
    link = std::make_unique<WorkerLink>(
        calls_, timers,
        WorkerAddress{.id = WorkerId("w"), .address = "127.0.0.1:1"},
        FencingToken(1), hooks);
    if (former != nullptr) link->InheritOrders(*former);
    link->Start();
  }

  /// Answers the pending renewal for a worker that started at `start_ms`.
  void Answer(std::int64_t clock_ms, std::int64_t start_ms = 1) {
    auto done = std::move(done_);
    done(WorkerReport{.clock_ms = clock_ms, .started_ms = start_ms});
  }

  /// Answers the renewal before the pending one.
  void AnswerFormer(std::int64_t clock_ms, std::int64_t start_ms = 1) {
    auto done = std::move(former_done_);
    done(WorkerReport{.clock_ms = clock_ms, .started_ms = start_ms});
  }

  void Fail(std::error_code ec) {
    auto done = std::exchange(done_, {});
    done(tl::unexpected(ec));
  }

  bool is_renewing() const { return done_ != nullptr; }

  VirtualTimerService timers;
  FencingToken newest_token{1};
  int token_requests = 0;
  int unresponsive_count = 0;
  int lost_count = 0;
  std::uint64_t ack_limit = 0;
  bool has_unstored_ends = false;
  bool has_tasks = true;
  std::vector<RenewRequest> sent;
  /// Start time in each report.
  std::vector<std::int64_t> reported_starts;
  std::unique_ptr<WorkerLink> link;

 private:
  WorkerCalls calls_;
  std::function<void(Result<WorkerReport>)> done_;
  std::function<void(Result<WorkerReport>)> former_done_;
};

}  // namespace pomelomill
